#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// After a takeover the agents report within some tens of milliseconds. Gangs
/// placed before that would get the servers that happen to report first.
constexpr duration min_settling_time{50};
constexpr duration max_settling_time{500};
constexpr duration quiet_time_after_new_server{60};

/// After a takeover batch work waits until all but one server in this many have
/// identified themselves, at most this long: heartbeats are up to 1.5 s apart.
constexpr std::size_t servers_per_missing_server = 8;
constexpr duration max_batch_settling_time{2500};

/// The number of tasks of a step that can be placed now. A gang is placed only
/// as a whole.
std::int64_t count_placeable(const job& job, const occurrence& occurrence,
                             int step) {
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(step)].tasks;
    const auto is_waiting = [](const task& task) {
        return task.phase == task_phase::waiting;
    };
    const bool gang = job.submission.steps(step).gang();
    if ((gang && !std::ranges::all_of(tasks, is_waiting)) ||
        !is_ready(job, occurrence, step))
        return 0;
    return gang ? std::ssize(tasks) : std::ranges::count_if(tasks, is_waiting);
}

void add_units(const owner& self, const job& job,
               std::vector<waiting_unit>& units) {
    for (std::size_t index = 0; index < job.occurrences.size(); ++index)
        for (int step = 0; step < job.submission.steps_size(); ++step) {
            const auto waiting =
                count_placeable(job, job.occurrences[index], step);
            if (waiting == 0)
                continue;
            const auto prospect =
                prospect_of(self, job, job.occurrences[index]);
            units.push_back({prospect.expected == payoff::none,
                             priority_of(self, job),
                             prospect.expected != payoff::in_full,
                             {},
                             job.submission.submitted_unix_ms(),
                             job.submission.id(),
                             index,
                             step,
                             &job,
                             waiting,
                             prospect.latest_start});
        }
}

/// Returns the units of all waiting jobs. Removes jobs without units
/// from `waiting_jobs`. Whatever gives such a job a new unit inserts it again.
std::vector<waiting_unit> waiting_units(owner& self) {
    std::vector<waiting_unit> units;
    for (auto it = self.waiting_jobs.begin(); it != self.waiting_jobs.end();) {
        const auto found = self.jobs.find(*it);
        const auto before = units.size();
        const bool is_open = found != self.jobs.end() &&
                             !is_final(found->second.state) &&
                             !found->second.cancelled;
        if (is_open && queue_of(self, found->second))
            add_units(self, found->second, units);
        const bool keep = is_open && (units.size() > before ||
                                      !queue_of(self, found->second));
        it = keep ? std::next(it) : self.waiting_jobs.erase(it);
    }
    return units;
}

bool is_missing_servers(const owner& self) {
    const auto missing = static_cast<std::size_t>(
        std::ranges::count_if(self.servers, [](const auto& entry) {
            return entry.second.state.incarnation().empty();
        }));
    return missing * servers_per_missing_server > self.servers.size();
}

/// Whether runs of urgent work are being fenced, so that it can start again.
bool is_fencing_urgent_runs(const owner& self) {
    return std::ranges::any_of(self.servers, [&](const auto& entry) {
        return std::ranges::any_of(
            entry.second.assigned, [&](const auto& assigned) {
                return assigned.second.task_ref->stopping &&
                       !assigned.second.job_ref->cancelled &&
                       priority_of(self, *assigned.second.job_ref) == 0;
            });
    });
}

/// Whether batch work has to wait after a takeover. After a loss of power the
/// servers return within a second or two of each other, and the members of
/// urgent gangs are fenced one by one before they can start again. Batch work
/// would fill the capacity as it appears, and urgent work would have to preempt
/// it or to wait for its end.
bool batch_work_waits(const owner& self) {
    return self.policy.settle_before_batch &&
           self.run.now() <= self.active_since + max_batch_settling_time &&
           (is_missing_servers(self) || is_fencing_urgent_runs(self));
}

bool has_server_out_of_service(const owner& self,
                               const reservation& reservation) {
    return std::ranges::any_of(reservation.agents,
                               [&](const std::string& agent) {
                                   const auto it = self.servers.find(agent);
                                   return it != self.servers.end() &&
                                          is_out_of_service(self, it->second);
                               });
}

void remove_void_reservations(owner& self) {
    std::erase_if(self.reservations, [&](const reservation& reservation) {
        const auto it = self.jobs.find(reservation.job);
        return self.run.now() > reservation.expires || it == self.jobs.end() ||
               is_final(it->second.state) ||
               has_server_out_of_service(self, reservation);
    });
}

/// Whether this owner knows well enough which failure domains are out of
/// service to place work.
bool knows_evacuations(owner& self) {
    const auto& view = self.evacuations;
    const bool fresh = is_fresh(view, self.epoch, self.run.now());
    if (fresh == !self.placement_suspended)
        return fresh;
    self.placement_suspended = !fresh;
    self.run.journal.event(
        fresh ? "placement_resumed" : "placement_suspended",
        {{"epoch", self.epoch},
         {"evacuations_as_of", view.state.as_of},
         {"confirmed_ms_ago", (self.run.now() - view.confirmed_at).count()}});
    if (!fresh)
        self.run.metrics.count("placement_suspensions_total");
    return fresh;
}

} // namespace

duration expected_run_time(const owner& self, const job& job, int step) {
    const auto it = self.run_time_estimates.find(job.submission.queue());
    return it != self.run_time_estimates.end()
               ? it->second.expected
               : duration{job.submission.steps(step).estimate_ms()};
}

duration max_expected_run_time(const owner& self, const job& job, int step) {
    const duration declared{job.submission.steps(step).estimate_ms()};
    const auto it = self.run_time_estimates.find(job.submission.queue());
    return it != self.run_time_estimates.end()
               ? std::max(declared, it->second.max_expected)
               : declared;
}

void schedule(owner& self) {
    if (self.run.now() < self.active_since + min_settling_time)
        return;
    const bool reports_expected =
        !self.expected_agents.empty() ||
        self.run.now() < self.last_new_server_at + quiet_time_after_new_server;
    if (reports_expected &&
        self.run.now() < self.active_since + max_settling_time)
        return;
    if (!knows_evacuations(self))
        return;
    remove_void_reservations(self);
    auto units = waiting_units(self);
    if (units.empty())
        return clear_shares(self);
    if (self.speeds_estimated_at == time_point{})
        update_speeds(self);
    auto pass = begin_pass(self);
    order_units(self, pass, units);
    const bool urgent_only = batch_work_waits(self);
    for (std::size_t i = 0; i < units.size(); ++i)
        if (units[i].priority == 0 || !urgent_only)
            place_in_order(self, pass, units, i);
    self.run.metrics.gauge("units_waiting", static_cast<double>(units.size()));
}

} // namespace celerylift::fleet
