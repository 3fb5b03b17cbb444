#pragma once

#include "simulation.hpp"

#include <celerylift/fleet/backend_server.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace celerylift::test {

/// A fault of the calls from an agent to its backend server.
enum class call_fault {
    none,
    lost,  // Calls take effect, and their replies are lost.
    late,  // Calls take effect three seconds later, and get no reply.
    silent // Calls have no effect and get no reply.
};

/// The runs of all servers, and the invariant violations among them.
struct run_history {
    struct done_run {
        std::string task;
        int run = 0;
        time_point at{};
        bool noted = false;
        bool lapsed = false; // The lease expired before it was noted.
        std::string server;
    };
    std::map<std::string, std::string> at_work; // Server by task.
    std::map<std::string, std::vector<done_run>> done;
    std::vector<std::string> broken;
    int starts = 0;
    int failures = 0;
    std::map<std::string, int> starts_of;        // By task.
    std::vector<duration> resumed_from;          // Checkpoints of starts.
    std::map<std::string, std::string> payloads; // By job, as submitted.
};

/// A fake backend server in virtual time. A run with the payload "ms=N" takes
/// N milliseconds; "fail" fails after 50 ms; "hang" makes no progress.
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
    /// Starts again under the same id, as a new incarnation.
    void restart();

    call_fault fault = call_fault::none;
    bool fails_everything = false;
    bool draining = false;
    duration remaining{0}; // Announced in heartbeats while it drains.
    fleet::resources capacity{128'000, 262'144, 8};
    int duration_percent = 100;

    std::size_t running_count() const { return runs_.size(); }
    std::int64_t highest_fence() const { return fence_; }
    const std::string& id() const { return id_; }

private:
    struct run {
        std::string payload;
        time_point began{};
        time_point ends{};
        bool fails = false;
        duration saved{0};
    };
    using key = std::pair<std::string, int>;
    friend class virtual_server_client;

    fleet::server_reply start(const fleet::start_call& call);
    fleet::server_reply stop(const fleet::stop_call& call);
    fleet::poll_reply look(const fleet::poll_call& call);
    void extend(std::int64_t deadline_ms);
    void tick();
    void end(const key& which, fleet::RunEnd how);
    std::int64_t clock() const;
    bool takes_fence(std::int64_t fence);

    simulation& sim_;
    run_history& history_;
    std::string id_;
    std::string rack_;
    bool up_ = true;
    time_point born_{};
    std::int64_t sequence_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t last_end_ = 0;
    std::int64_t deadline_ms_ = 0;
    std::map<key, run> runs_;
    std::map<std::string, int> barred_up_to_;
    std::vector<fleet::EndedTask> ended_;
    std::uint64_t incarnation_ = 0;
};

} // namespace celerylift::test
