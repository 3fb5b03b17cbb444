#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// After a takeover the agents report within some tens of milliseconds. Gangs
/// placed before that would get the servers that happen to report first.
constexpr duration shortest_settling_time{50};
constexpr duration longest_settling_time{500};
constexpr duration quiet_after_new_server{60};

/// Whether a step has tasks that can be placed now. A gang is placed only as a
/// whole.
bool can_be_placed(const job& job, const occurrence& occurrence, int step) {
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(step)].tasks;
    const auto waits = [](const task& task) {
        return task.phase == task_phase::waiting;
    };
    const bool some = job.submission.steps(step).gang()
                          ? std::ranges::all_of(tasks, waits)
                          : std::ranges::any_of(tasks, waits);
    return some && is_ready(job, occurrence, step);
}

void add_units(const owner& self, const job& job,
               std::vector<waiting_unit>& units) {
    for (std::size_t index = 0; index < job.occurrences.size(); ++index)
        for (int step = 0; step < job.submission.steps_size(); ++step) {
            if (!can_be_placed(job, job.occurrences[index], step))
                continue;
            const auto earns = payoff_of(self, job, job.occurrences[index]);
            units.push_back({earns == payoff::none, priority_of(self, job),
                             earns != payoff::in_full,
                             job.submission.submitted_unix_ms(),
                             job.submission.id(), index, step});
        }
}

/// Returns the units of all waiting jobs, in order. Removes jobs without units
/// from `waiting_jobs`. Whatever gives such a job a new unit inserts it again.
std::vector<waiting_unit> waiting_units(owner& self) {
    std::vector<waiting_unit> units;
    for (auto it = self.waiting_jobs.begin(); it != self.waiting_jobs.end();) {
        const auto found = self.jobs.find(*it);
        const auto before = units.size();
        const bool open = found != self.jobs.end() &&
                          !is_final(found->second.state) &&
                          !found->second.cancelled;
        if (open && queue_of(self, found->second))
            add_units(self, found->second, units);
        const bool keep =
            open && (units.size() > before || !queue_of(self, found->second));
        it = keep ? std::next(it) : self.waiting_jobs.erase(it);
    }
    std::ranges::sort(units);
    return units;
}

void end_old_reservations(owner& self) {
    std::erase_if(self.reservations, [&](const reservation& reservation) {
        const auto it = self.jobs.find(reservation.job);
        return self.run.now() > reservation.expires || it == self.jobs.end() ||
               is_final(it->second.state);
    });
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
    if (self.run.now() < self.active_since + shortest_settling_time)
        return;
    const bool more_to_come =
        !self.expected_agents.empty() ||
        self.run.now() < self.last_new_server_at + quiet_after_new_server;
    if (more_to_come &&
        self.run.now() < self.active_since + longest_settling_time)
        return;
    end_old_reservations(self);
    const auto units = waiting_units(self);
    if (units.empty())
        return;
    auto pass = begin_pass(self);
    for (const auto& unit : units)
        place_unit(self, pass, unit);
    self.run.metrics.gauge("units_waiting", static_cast<double>(units.size()));
}

} // namespace celerylift::fleet
