#pragma once

#include <celerylift/fleet/cell_load.hpp>
#include <celerylift/fleet/config.hpp>
#include <celerylift/fleet/domain_evacuation.hpp>
#include <celerylift/fleet/growing_timeout.hpp>
#include <celerylift/fleet/job_index.hpp>
#include <celerylift/fleet/jobs.hpp>
#include <celerylift/fleet/placement.hpp>
#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/scheduling_policy.hpp>
#include <celerylift/fleet/server_health.hpp>
#include <celerylift/fleet/server_risk.hpp>
#include <celerylift/fleet/server_speed.hpp>
#include <celerylift/fleet/shape_mix.hpp>
#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace celerylift::fleet {

/// A run's end that has been applied but whose effect on the job's record is
/// not stored yet. The backend server must keep the end until it is.
struct unstored_end {
    std::int64_t number = 0;
    std::string job;
    std::uint64_t version = 0;
};

/// A task that is assigned to a server, and its job. The pointers stay valid
/// for as long as the task is assigned.
struct assigned_task {
    job* job_ref = nullptr;
    task* task_ref = nullptr;
};

/// Whose tasks are on a server.
struct server_occupancy {
    std::string job; // The only one, or the first of several.
    bool is_shared = false;
    std::string last_job;
    int job_count = 0;
    /// A task there is suspected of crashing its servers.
    bool has_suspect = false;
    /// The crash that all tasks there are weak suspects of, or empty.
    std::string crash;
};

/// The part of a server's capacity that is in use, cached until something on
/// the server changes.
struct server_usage {
    bool stale = true;
    /// False while the server lists a run whose task is not on record.
    bool all_runs_known = false;
    resources in_use;
    std::vector<std::pair<std::string, resources>> by_organisation;
    server_occupancy occupancy;
    /// A run there will tell the server's speed.
    bool measures_speed = false;
};

/// The owner's view of a backend server and of the agent that manages it.
struct server {
    std::string agent;
    std::string failure_domain;
    ServerState state;
    bool has_reported = false; // Since this owner became active.
    /// Whether the agent's last report names the backend server. An agent that
    /// has started again names none until the server has answered it.
    bool is_named = false;
    /// Of the last report that names the server. Others are no sign of life of
    /// it.
    time_point last_report_at{};
    /// When its agent sent that report, on the clock of the agent's host.
    std::int64_t answered_sent_at_ms = 0;
    bool reads_shared_payloads = false; // Of the agent, by its last report.
    /// The last report was about an earlier incarnation, and was ignored.
    bool sends_superseded_reports = false;
    /// No run covered by a grant so far can go on beyond this time.
    time_point granted_until{};
    std::vector<RunningTask> running;
    std::int64_t lists_as_of_ms = 0; // Time of `running`, server's clock.
    std::map<task_name, assigned_task> assigned;
    std::vector<std::string> labels;
    server_usage usage;
    /// Numbers of run ends of the current incarnation: the last that was
    /// applied, and the last that the server may forget.
    std::int64_t applied_up_to = 0;
    std::int64_t acknowledged_up_to = 0;
    std::deque<unstored_end> unstored_ends;
    /// Crashed incarnations that the agent reports, and whose effect on the
    /// jobs' records is stored.
    std::vector<std::string> recorded_crashes;
    server_health health;
    /// Of the current incarnation: the latest estimate, and the one that a
    /// former owner has left with the agent.
    speed_estimate speed;
    speed_estimate inherited_speed;
    time_point cold_until{}; // The server is slow after its start until then.
    /// Of the host. Kept when the server starts again, unlike its health.
    server_history history;
    int known_risk = no_risk; // Risk class at the last check.
};

/// Capacity on some servers that is reserved for the tasks of a step until
/// the runs that still use it have ended.
struct reservation {
    std::string job;
    int occurrence = 0;
    int step = 0;
    std::vector<std::string> agents;
    resources each;
    time_point expires{};
    /// Work of a higher priority may still use the capacity, and so may work
    /// that is expected to end before `ready_at`.
    int priority = 0;
    time_point ready_at{};
    /// For an urgent gang on servers up to this slowness, on which it can be in
    /// time.
    double slowness_limit = no_slowness_limit;
};

/// How long the recent runs of a queue's tasks have taken.
struct run_time_estimate {
    duration expected{0};     // Moving average.
    duration max_expected{0}; // Decays slowly towards the average.
    int sample_count = 0;
};

/// A complete run that tells the speed of its server.
struct timed_run {
    std::string agent;
    std::string queue;
    task_name step; // With the index 0.
    duration declared{0};
    duration ran{0};
};

/// The demand for a service. Kept in memory; a new owner rebuilds it from
/// the jobs on record.
struct service_demand {
    shape_mix mix;
    /// Of the latest pass. Empty unless it packs tasks by the mix.
    shape_costs costs;
    time_point next_event{};  // The earliest time of a further journal line.
    time_point packs_until{}; // Since work has waited for room.
};

/// The load that this owner has published last.
struct published_load {
    std::optional<cell_load> published;
    time_point published_at{};
    time_point next_at{}; // When the load is computed again.
};

/// The state of the process that owns the cell. One owner at a time decides
/// what runs where. A new owner rebuilds this state from the store and from
/// the agents' reports.
struct owner {
    runtime& run;
    store& records;
    /// Whether this process certainly still owns the cell, by its lease.
    std::function<bool()> is_valid;
    std::function<void(const std::string& agent, const OwnerOrders&)> send;
    /// Passes records that were just written on to this entry and the
    /// others.
    std::function<void(const std::vector<store_item>&)> on_records_written;

    scheduling_policy policy{};
    std::int64_t epoch = 0; // 0 while this process does not own the cell.
    time_point active_since{};
    /// The first and the last of the latest series of counted crashes.
    time_point first_crash_at{};
    time_point last_crash_at{};
    fleet_restarts restarts{};
    time_point last_new_server_at{}; // Latest first report of any server.
    std::set<std::string> expected_agents{}; // Have not reported yet.
    std::shared_ptr<const fleet_config> config{};
    std::map<std::string, job> jobs{};
    std::map<std::string, server> servers{};
    std::vector<reservation> reservations{};
    /// The failure domains out of service. Kept while this process does not
    /// own the cell.
    evacuation_view evacuations{};
    bool placement_suspended = false; // Because that view is not fresh.
    std::map<std::string, run_time_estimate> run_time_estimates{}; // By queue.
    std::deque<timed_run> timed_runs{};                 // The latest ones.
    std::map<std::string, speed_distribution> speeds{}; // By service.
    time_point speeds_estimated_at{};
    std::map<std::string, service_demand> demand{}; // By service.
    /// Services for which the last pass has left work waiting for room.
    std::set<std::string> services_with_work_left{};
    /// Dominant shares on display, by organisation.
    std::map<std::string, double> shown_shares{};
    /// The earliest times of further journal lines, by service.
    std::map<std::string, time_point> next_share_events{};
    std::set<std::string> agents_to_update{};
    /// Jobs that may have tasks to place, and jobs whose record must be
    /// written.
    std::set<std::string> waiting_jobs{};
    std::set<std::string> unwritten_jobs{};
    int writes_in_flight = 0;
    std::size_t bytes_in_flight = 0; // Of records that are being written.
    growing_timeout write_timeout{duration{1000}, duration{16'000}};
    time_point next_write_at{};

    bool pass_scheduled = false;
    time_point earliest_pass_at{};

    published_load load{};
    /// Passes the load of the cell on to this entry and the others.
    std::function<void(const cell_load&)> on_load{};
};

/// Takes over the cell. `index` must hold all records up to the revision of
/// the epoch. Placement begins once all expected agents have reported, or
/// after a short timeout.
void activate(owner& self, std::int64_t epoch, const job_index& index,
              const std::set<std::string>& expected_agents);
void deactivate(owner& self);

void on_config(owner& self, std::shared_ptr<const fleet_config> config);

/// Handles a new or confirmed view of the failure domains out of service.
void on_evacuations(owner& self, const evacuation_view& view);

/// Handles a job that was submitted or cancelled.
void on_job_changed(owner& self, const stored_job& stored);

void on_report(owner& self, const std::string& agent,
               const AgentReport& report);

/// Handles timeouts and due occurrences, and publishes the load. To be called
/// about every 100 ms.
void on_tick(owner& self);

/// Writes the changed jobs, sends orders to the agents concerned, and
/// schedules a pass over the waiting work.
void process_changes(owner& self);

/// Places all waiting work that fits now. Changes that arrive within a few
/// milliseconds share one pass.
void run_pass(owner& self);

} // namespace celerylift::fleet
