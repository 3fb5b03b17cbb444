#pragma once

#include <celerylift/fleet/fair_share.hpp>
#include <celerylift/fleet/owner.hpp>
#include <celerylift/fleet/run_lease.hpp>

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace celerylift::fleet {

/// A backend server without a report for this long gets no new work.
inline constexpr duration max_report_age{1600};

/// The time by which all runs covered by a grant from `from` have certainly
/// ended.
time_point end_of_grant(time_point from);

/// Marks a job as changed, so that its record is written.
void mark_changed(owner& self, job& job);

/// Invalidates the cached resource usage of a server.
void invalidate_usage(owner& self, const std::string& agent);

/// Drops all state of the last epoch.
void clear_state(owner& self);

/// Applies the end of a run. The end of a run that is no longer current
/// changes nothing.
void apply_end(owner& self, server& server, const EndedTask& end);

/// Counts a failed run against its server and against the attempts of its task
/// or gang.
void count_failure(owner& self, server& server, job& job, task& task);
bool has_no_attempts_left(const owner& self, const job& job, const task& task);

/// Fails the jobs with a waiting task that the configuration in force allows no
/// further run: it failed while its queue was away, or the queue allows fewer
/// attempts now. A run that has been started may still succeed.
void fail_jobs_without_attempts_left(owner& self);

/// Applies the reported crashes of a server's earlier incarnations. Counts each
/// against the tasks whose runs may have been active there, once, and fails
/// jobs with a task that crashes one server after the other.
void apply_crashes(owner& self, server& server, const AgentReport& report);

/// Counts a run that an earlier incarnation of its server has ended with,
/// unless the agent has reported a crash there.
void count_unexplained_loss(owner& self, task& task);

/// Whether a server has crashed under the task, and no run has cleared the task
/// since. Suspects share a server only with tasks of their own job, so that
/// another crash tells which job is at fault, and hits no other.
bool is_suspect(const task& task);

/// Whether all servers that crashed lately did so at once. Tasks that crash
/// their servers go on to do so.
bool crashed_at_once(const owner& self);

/// The incarnation of the one server that has crashed under the task, while
/// several jobs had tasks there; else empty. Most such suspects are innocent.
const std::string& weak_suspect_of(const task& task);

/// Whether an assigned suspect keeps other jobs off its server now.
bool closes_server(const owner& self, const task& task);

/// Withdraws the suspicion from a task whose run has outlived it.
void clear_suspect(owner& self, job& job, task& task);

/// Ends a job unsuccessfully, and stops what still runs of it.
void fail_job(owner& self, job& job, const task& task, const char* why);

/// Whether a task has failed too recently to be started again.
bool is_pausing(const owner& self, const job& job, const task& task);

/// Handles a run that cannot exist any more. Its task waits again.
void lose_run(owner& self, task& task, const char* why);

/// Orders a run to stop, together with all runs of its gang.
void stop_run(owner& self, job& job, task& task, const char* why);
void stop_all_runs(owner& self, job& job, const char* why);

/// Loses all runs assigned to a server, under any of its incarnations.
void lose_all_runs(owner& self, server& server, const char* why);

/// Completes a job once all of its work is done.
void update_state(owner& self, job& job);

/// Notes that the server of an agent has started again. Where so many servers
/// do so at once that they have lost power, that raises the risk of none.
void note_restart(owner& self, server& server);

/// Reports the servers whose risk class has risen, and counts the risky ones.
void check_risks(owner& self);

/// Applies the list of running tasks in a server's report. Stops runs that
/// stall or are slow, so that they restart elsewhere.
void apply_running(owner& self, server& server, const AgentReport& report);

/// How long a task of a job is expected to run: the average of its queue, or
/// the declared time while that is not known.
duration expected_run_time(const owner& self, const job& job, int step);

/// The maximum expected run time. At least the declared time. Declared times
/// are off in both directions, so that one which is too short must not cause a
/// task to be abandoned.
duration max_expected_run_time(const owner& self, const job& job, int step);

/// The remaining run time of a task, in milliseconds.
double remaining_run_time_ms(const owner& self, const server& server,
                             const job& job, const task& task);

/// Whether the runs of a step tell the speed of the server that they are on. A
/// gang runs at the pace of its slowest member; work that lasts or fills has no
/// pace of its own; work away from its data takes several times as long.
bool tells_speed(const server& server, const Step& step);

/// Keeps a complete run of a task as a sample of its server's speed.
void record_timed_run(owner& self, const server& server, const job& job,
                      const task& task, duration ran);

/// Drops what is known of a server's speed, because another incarnation of it
/// is followed.
void forget_speed(owner& self, server& server);

/// Takes over the estimate that a former owner has left with the agent.
void inherit_speed(owner& self, server& server, const SpeedEstimate& kept);

/// Estimates the speeds of all servers again, several times a second at most.
void update_speeds(owner& self);

/// What is known of the speeds of a service's servers as a whole.
const speed_distribution& speeds_of(const owner& self,
                                    const std::string& service);

/// Whether a server is still slow after its start.
bool is_cold(const server& server, time_point now);

/// The factor by which a server, or the slowest one of a gang, is expected to
/// take longer than an average server.
double expected_slowness_of(const owner& self, const std::string& agent);
double expected_pace(const owner& self, const job& job, const task& task);

/// The factor up to which servers suit the queue of urgent work with the
/// tightest objective.
double urgent_slowness_limit(const owner& self);

/// The factor up to which a server is fast enough for a job that is started
/// now to earn its payoff in full. No limit where that is out of reach anyway.
double slowness_limit_of(const owner& self, const job& job,
                         const occurrence& occurrence);

/// The projected time of a whole run of a task on its server, in milliseconds.
/// 0 if that cannot be estimated yet.
double projected_run_time_ms(const server& server, const task& task);

void schedule(owner& self);
void write_changes(owner& self);
void send_orders(owner& self);
void acknowledge_stored_ends(owner& self, server& server);

/// The queue of a job in the configuration, or null if it does not have it.
const queue_config* queue_in_force(const owner& self, const job& job);

/// The queue of a job with the terms that apply to it: those in force, else
/// those on record, since a job that was accepted is run although its queue is
/// gone. Null only for a job without terms, which cannot be placed.
const queue_config* queue_of(const owner& self, const job& job);

/// Puts the terms in force on record for a job that has none.
void record_missing_terms(owner& self, job& job);

/// Puts the terms in force on record for the open jobs whose queue `next` does
/// not have. Call before it is applied.
void record_terms_of_removed_queues(owner& self, const fleet_config& next);

/// Reports the open jobs whose queue or service the configuration does not
/// have.
void report_removed_queues(const owner& self);

int priority_of(const owner& self, const job& job);
/// The step that a task of the job belongs to.
step_run& step_run_of(job& job, const task_name& name);
const step_run& step_run_of(const job& job, const task_name& name);

/// The payoff of a job that is started now: in full if it ends within its
/// objective, in part if within three times its objective, else none. After an
/// outage or a burst, late work would otherwise occupy the capacity that work
/// still in time needs, and make that late as well.
enum class payoff { in_full, in_part, none };

struct prospect {
    payoff expected = payoff::in_full;
    /// The latest start, in Unix milliseconds, that still meets the objective.
    /// Nothing for recurring and lasting work, which is never too late.
    std::optional<std::int64_t> latest_start;
};
prospect prospect_of(const owner& self, const job& job,
                     const occurrence& occurrence);

/// The waiting tasks of one step. Members are in order of comparison: units
/// that compare less are placed first.
struct waiting_unit {
    bool no_payoff = false; // Ends too late for any payoff.
    int priority = 0;
    bool late = false; // Ends too late for the full payoff.
    unit_rank rank;
    std::int64_t submitted_unix_ms = 0;
    std::string job;
    std::size_t occurrence = 0;
    int step = 0;
    // What follows depends on the above, and never decides the order.
    const struct job* job_ref = nullptr;
    std::int64_t waiting_tasks = 0;
    std::optional<std::int64_t> latest_start;

    auto operator<=>(const waiting_unit&) const = default;
};

/// A request that did not fit. Free capacity only shrinks during a pass, so no
/// request that needs at least as much fits later in the same pass.
struct failed_request {
    std::string queue;
    bool may_use_emptiest_rack = false;
    placement_request request;
};

/// A task that could be preempted, and the work that its stop would lose.
struct preemption_candidate {
    task_name name;
    resources freed;
    double lost_core_seconds = 0;
    /// The job can start again and still be in time.
    bool is_affordable = false;
};

/// The capacity of servers of a service, and how much of it is free.
struct service_capacity {
    resources total;
    resources free;
    std::int64_t servers = 0;
};

/// What the organisations that have work at a service hold of it.
struct service_shares {
    resources total;
    std::map<std::string, resources> organisations; // In use by each.
};

/// One pass over the waiting work. Server state is gathered once per pass, so
/// that the cost grows with the waiting work plus the fleet, and not with their
/// product.
struct schedule_pass {
    std::vector<candidate_server> candidates;
    std::vector<server*> servers; // By candidate.
    std::unordered_map<std::string_view, std::size_t> index;
    std::unordered_map<std::string_view, service_capacity> services;
    /// Including servers that are excluded or out of service.
    std::unordered_map<std::string_view, service_capacity> reporting;
    /// The excluded servers that are not candidates yet.
    std::vector<candidate_server> excluded;
    std::vector<server*> excluded_servers; // By index in `excluded`.
    /// Of the services that lack room for all of the waiting work.
    std::map<std::string, service_shares, std::less<>> shares;
    std::int64_t started_unix_ms = 0;
    std::int64_t tasks_placed = 0;
    std::vector<failed_request> failed_requests;
    std::vector<placement_request> failed_reclaims;
    /// By candidate: tasks that urgent work could preempt, cheapest first, and
    /// the resources of runs that are stopping already. Filled on first use.
    std::vector<std::vector<preemption_candidate>> preemptible;
    std::vector<resources> being_freed;
    /// Accelerators in use by urgent work, by organisation. Filled on first
    /// use.
    std::optional<std::map<std::string, std::int64_t>> urgent_accelerators;
    /// Servers up to this factor are kept for urgent work where possible.
    double urgent_slowness_limit = no_slowness_limit;
    /// The candidates with the capacity that they have once the runs that end
    /// soon have ended. Filled on first use.
    std::vector<candidate_server> soon_available;
    /// Limits the reservation plans of one pass. Units beyond the limit wait
    /// for another pass.
    int reservation_plans_left = 8;
};

/// Whether the operators have taken the server's failure domain out of service.
bool is_out_of_service(const owner& self, const server& server);
/// Computes the load of the cell and publishes it if it is due. Each call but
/// one in `load_period` returns at once.
void publish_load(owner& self);

/// Gathers the servers that can be given work, with their free capacity.
schedule_pass begin_pass(owner& self);

/// Adds the excluded servers to the candidates of the rest of a pass. Only
/// requests that ask for them may use them.
void add_excluded_servers(schedule_pass& pass);

/// At most one journal line on the order and one on the packing of a service
/// in this time.
inline constexpr duration demand_event_interval{10'000};

/// Whether an event of which `next_at` tells the earliest time may be written.
bool is_due(const owner& self, time_point& next_at);

/// Determines what it costs in this pass to place tasks badly on a service.
/// Nothing until work has waited there for room.
void update_packing(owner& self, const std::string& service,
                    const service_capacity& capacity, const resources& waiting,
                    bool lacks_room);

/// Ranks the units of services that lack room for all of them, and determines
/// which services are packed by the shapes in demand.
void order_units(owner& self, schedule_pass& pass,
                 std::vector<waiting_unit>& units);

/// Places one of the units, and ranks the later ones again where that has
/// changed what their organisation may have.
void place_in_order(owner& self, schedule_pass& pass,
                    std::vector<waiting_unit>& units, std::size_t index);

/// Handles that no work waits.
void clear_shares(owner& self);

/// Adds the tasks of a submitted job to the demand for its service. Jobs of an
/// unknown queue count once the configuration has it.
void record_demand(owner& self, const job& job);
void rebuild_demand(owner& self);

/// What it costs to place tasks of a service badly, or null if that does not
/// matter now.
const shape_costs* packing_costs(const owner& self, const std::string& service);

/// How long a task has waited since it was submitted or its last run ended.
duration waiting_time(const owner& self, const task& task);

/// What each task of a step requires, without what its state adds.
placement_request request_for(const owner& self, const job& job,
                              const occurrence& occurrence, int step);

/// Whether a suspect still waits for servers that it shares with no other job.
bool needs_own_servers(const owner& self, const schedule_pass& pass,
                       const job& job, const task& task);

/// The candidates of a pass with the capacity that they have once the runs that
/// end soon have ended.
std::vector<candidate_server> soon_available(const owner& self,
                                             const schedule_pass& pass);

/// Tells which tasks of a step have waited long enough for the servers that
/// they prefer. They may use others that the step allows; those on which runs
/// have failed only where sound ones will not have room soon.
struct preference_expiry {
    time_point latest_waiting_since{};
    /// The tasks must be running within 3 s, on excluded servers if need be.
    bool must_start_soon = false;

    bool applies_to(const task& task) const {
        return task.waiting_since <= latest_waiting_since;
    }
};
preference_expiry expiry_of(const owner& self, const schedule_pass& pass,
                            const job& job, int step);

/// What all members of a gang require and prefer.
placement_request request_for_gang(const owner& self, const schedule_pass& pass,
                                   const job& job, const waiting_unit& unit);

/// What the tasks from `next` on require and prefer, up to the first one that
/// avoids another server, or differs in what it is suspected of or in whether
/// its preferences have expired.
placement_request request_for_group(const owner& self,
                                    const schedule_pass& pass, const job& job,
                                    const waiting_unit& unit,
                                    const std::vector<task*>& tasks,
                                    std::size_t next);

/// Assigns the tasks of a unit to servers. Where they do not fit, preempts
/// other work or reserves capacity for them.
void place_unit(owner& self, schedule_pass& pass, const waiting_unit& unit);

/// Whether an organisation's urgent work stays within its guarantee if a job
/// gets this many accelerators more.
bool is_guaranteed(const owner& self, schedule_pass& pass, const job& job,
                   std::int64_t accelerators);

/// Preempts tasks of lower priority for a job within its organisation's
/// guarantee. Returns whether capacity has been reserved. Outside a guarantee,
/// only urgent work that can still meet its objective preempts.
bool reclaim(owner& self, schedule_pass& pass, job& job,
             const occurrence& occurrence, int step,
             const placement_request& request);

/// Reserves the capacity that becomes free soonest for a gang that has waited
/// for long. Without it, smaller work on a full fleet takes all capacity as it
/// becomes free, and large gangs never start. Work of a higher priority, or
/// that ends before the gang can start, may still use the capacity (backfill).
void reserve_ahead(owner& self, schedule_pass& pass, const job& job,
                   const occurrence& occurrence, int step,
                   const std::vector<candidate_server>& candidates,
                   const placement_request& request);

/// Reserves servers that other jobs will leave soonest for suspects, which must
/// not share a server.
void reserve_own_servers(owner& self, schedule_pass& pass, const job& job,
                         const occurrence& occurrence, int step,
                         const std::vector<candidate_server>& candidates,
                         const placement_request& request);

/// Subtracts the capacity of a reservation from `candidates`.
void subtract_reservation(const schedule_pass& pass,
                          const reservation& reservation,
                          std::vector<candidate_server>& candidates);

/// Whether one request needs at least as much as another under constraints at
/// least as strict, so that it fits nowhere if the other does not.
bool needs_at_least(const placement_request& more,
                    const placement_request& less);

} // namespace celerylift::fleet
