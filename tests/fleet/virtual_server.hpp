#pragma once

#include "simulation.hpp"

#include <celerylift/fleet/backend_server.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celerylift::test {

/// A fault of the calls from an agent to its backend server.
enum class call_fault {
    none,
    lost_replies, // Calls take effect, and their replies are lost.
    delayed,      // Calls take effect three seconds later, and get no reply.
    unresponsive  // Calls have no effect and get no reply.
};

/// The runs of all servers, and the invariant violations among them.
struct run_history {
    struct completed_run {
        std::string task;
        int run = 0;
        time_point completed_at{};
        bool acknowledged = false;
        bool expired = false; // The lease ended before the acknowledgement.
        std::string server;
    };
    std::map<std::string, std::string> running; // Server by task.
    std::map<std::string, std::vector<completed_run>> completed;
    std::vector<std::string> violations;
    int starts = 0;
    int failures = 0;
    std::map<std::string, int> starts_by_task;
    std::vector<duration> resumed_checkpoints;   // In order of starts.
    std::map<std::string, std::string> payloads; // By job, as submitted.
    /// By job, for each step: what one of its tasks needs.
    std::map<std::string, std::vector<fleet::resources>> needs;
    /// Of servers that ran a task with a payload that crashes them.
    std::map<std::string, int> crashes_by_task;
    /// When each failure domain was taken out of service.
    std::map<std::string, time_point> out_of_service_since;
    /// By such a task, once three servers have crashed under it.
    std::map<std::string, int> start_limits;
};

/// What a task needs, or nothing if its job is not known.
fleet::resources need_of(const run_history& history, const std::string& task);

/// A fake backend server in virtual time. A run with the payload "ms=N" takes
/// N milliseconds; "fail" fails after 50 ms; "hang" makes no progress.
/// "crash=N" crashes its server after N milliseconds; with "crash=N index=I"
/// only the task of that index does, and the others of the job run for two
/// seconds.
class virtual_server {
public:
    virtual_server(simulation& sim, run_history& history, std::string id,
                   std::string rack);

    fleet::server_heartbeat heartbeat();

    /// Creates the client of one process. Replies are dropped once that process
    /// has ended.
    std::unique_ptr<fleet::backend_server> client(std::weak_ptr<int> liveness);

    /// Ends at once. Its runs and its unacknowledged ends are lost.
    void crash();
    /// Ends after its end was announced: its host refuses connections.
    void leave();
    /// Starts again under the same id, as a new incarnation.
    void restart();
    /// Crashes, and starts again after a time.
    void crash_for(duration outage);
    bool is_up() const { return up_; }

    /// Ends all runs as failed.
    void fail_runs();

    /// A reduced capacity is announced at once, and tasks that exceed it are
    /// violations only once the fleet has had the time to notice.
    void set_capacity(const fleet::resources& capacity);
    const fleet::resources& capacity() const { return capacity_; }

    call_fault fault = call_fault::none;
    bool fails_all_runs = false;
    /// A late call takes effect on a later incarnation too: calls name only the
    /// id, which a server keeps when it starts again.
    bool next_incarnation_takes_calls = false;
    bool draining = false;
    duration remaining{0}; // Announced in heartbeats while it drains.
    int run_time_percent = 100;
    duration restore_time{0}; // Until a run goes on from its checkpoint.
    /// A stopped run is listed, and holds its resources, for this long.
    duration stop_time{0};
    std::string failure_domain;
    std::string kind = "a"; // Its first label.
    duration cold_left{0};  // Announced in heartbeats.

    std::size_t running_count() const { return runs_.size(); }
    std::int64_t highest_fencing_token() const { return fencing_token_; }
    const std::string& id() const { return id_; }

private:
    struct run {
        std::string payload;
        time_point began{};
        time_point ends{};
        bool fails = false;
        bool crashes_server = false;
        std::optional<time_point> stops_at;
        duration initial_progress{0};
    };
    using run_key = std::pair<std::string, int>;
    friend class virtual_server_client;

    fleet::server_reply start(const fleet::start_call& call);
    fleet::server_reply stop(const fleet::stop_call& call);
    fleet::poll_reply poll_runs(const fleet::poll_call& call);
    void extend(std::int64_t deadline_ms);
    void tick();
    std::optional<fleet::RunEnd> due_end(const run& active) const;
    void end(const run_key& key, fleet::RunEnd how);
    fleet::resources largest_recent_capacity() const;
    void check_start(const fleet::start_call& call);
    void check_capacity(const std::string& task);
    run begin_run(const fleet::start_call& call);
    std::int64_t clock() const;
    bool accept_fencing_token(std::int64_t token);

    simulation& sim_;
    run_history& history_;
    std::string id_;
    std::string rack_;
    bool up_ = true;
    bool has_left_ = false;
    time_point started_at_{};
    std::int64_t sequence_ = 0;
    std::int64_t fencing_token_ = 0;
    std::int64_t last_end_ = 0;
    std::int64_t deadline_ms_ = 0;
    std::map<run_key, run> runs_;
    std::map<std::string, int> fenced_up_to_;
    std::vector<fleet::EndedTask> ended_;
    std::uint64_t incarnation_ = 0;
    fleet::resources capacity_{128'000, 262'144, 8};
    /// Capacities that were reduced or extended, and until when they applied.
    std::vector<std::pair<time_point, fleet::resources>> former_capacities_;
};

} // namespace celerylift::test
