#pragma once

#include <celerylift/fleet/config.hpp>
#include <celerylift/fleet/job_index.hpp>
#include <celerylift/fleet/jobs.hpp>
#include <celerylift/fleet/placement.hpp>
#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/server_health.hpp>
#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// A run's end that has been applied, and what must be stored before the
/// backend server may forget it.
struct applied_end {
    std::int64_t number = 0;
    std::string job;
    std::uint64_t version = 0;
};

/// A task that is assigned to a server, and its job. Both stay where they are
/// for as long as the task is assigned.
struct held_task {
    job* of = nullptr;
    task* what = nullptr;
};

/// What a server's tasks take of its capacity, kept until something changes.
struct used_room {
    bool stale = true;
    bool known = false; // Not where a run is there that no record explains.
    resources taken;
};

/// A backend server and the agent beside it, as the owner knows them.
struct server {
    std::string agent;
    std::string failure_domain;
    ServerState state;
    bool heard = false; // Since this owner took over.
    time_point heard_at{};
    std::int64_t answered_sent_at_ms = 0;
    /// Nothing that was granted so far can run beyond this time.
    time_point granted_until{};
    std::vector<RunningTask> running;
    std::int64_t lists_as_of_ms = 0; // By the server's clock.
    std::map<task_name, held_task> assigned;
    std::vector<std::string> labels;
    used_room used;
    std::int64_t applied_up_to = 0;
    std::int64_t noted_up_to = 0;
    std::deque<applied_end> unstored_ends;
    server_health sound;
};

/// Room that is kept for tasks until what runs there has ended.
struct reservation {
    std::string job;
    int occurrence = 0;
    int step = 0;
    std::vector<std::string> agents;
    resources each;
    time_point expires{};
    int priority = 0;      // Work that goes first may still take the room.
    time_point ready_at{}; // Work that will have ended by then may as well.
};

/// How long a task of a queue has run of late.
struct learned_run {
    duration usual{0};
    duration longest{0}; // Falls slowly towards the usual time.
    int samples = 0;
};

/// The one process that decides what runs where. It is rebuilt from the store
/// and from the agents' reports by whoever owns the cell.
struct owner {
    runtime& run;
    store& records;
    std::function<bool()> is_valid;
    std::function<void(const std::string& agent, const OwnerOrders&)> send;
    /// Shows what has been written to this entry and to the others.
    std::function<void(const std::vector<store_item>&)> stored;

    std::int64_t epoch = 0; // 0: this process doesn't own the cell.
    time_point active_since{};
    time_point new_server_at{}; // When one was last heard for the first time.
    std::set<std::string> expected_agents{}; // Not heard yet.
    std::shared_ptr<const fleet_config> config{};
    std::map<std::string, job> jobs{};
    std::map<std::string, server> servers{};
    std::vector<reservation> reservations{};
    std::map<std::string, learned_run> learned_runs{}; // By queue.
    std::set<std::string> changed_agents{};
    /// Jobs that may have tasks to place, and jobs to be written.
    std::set<std::string> waiting_jobs{};
    std::set<std::string> unwritten_jobs{};
    int writes_in_flight = 0;
    time_point write_again_at{};

    bool pass_wanted = false;
    time_point next_pass_at{};
};

/// Takes the cell over, with all records up to the epoch's revision. Work is
/// placed once the expected agents have reported, or have had time to.
void activate(owner& o, std::int64_t epoch, const job_index& d,
              const std::set<std::string>& expected_agents);
void deactivate(owner& o);

void on_config(owner& o, std::shared_ptr<const fleet_config> config);

/// A job was handed in or cancelled.
void on_job_changed(owner& o, const stored_job& stored);

void on_report(owner& o, const std::string& agent, const AgentReport& report);

/// Looks for what has become due; called every tenth of a second or so.
void on_tick(owner& o);

/// Writes what has changed, sends what that makes possible, and asks for a
/// pass over the work that waits.
void finish_step(owner& o);

/// Places what can be placed now. One pass serves all changes of a few
/// milliseconds.
void run_pass(owner& o);

} // namespace celerylift::fleet
