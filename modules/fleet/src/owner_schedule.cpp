#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// After a take-over the agents report within some tens of milliseconds; gangs
/// that are placed before would get the servers that came first.
constexpr duration shortest_settling_time{50};
constexpr duration longest_settling_time{500};
constexpr duration quiet_after_new_server{60};

/// Whether a step has tasks that can be placed now; a gang only as a whole.
bool can_be_placed(const job& j, const occurrence& at, int step) {
    const auto& tasks = at.steps[static_cast<std::size_t>(step)].tasks;
    const auto waits = [](const task& t) {
        return t.phase == task_phase::waiting;
    };
    const bool some = j.submission.steps(step).gang()
                          ? std::ranges::all_of(tasks, waits)
                          : std::ranges::any_of(tasks, waits);
    return some && is_ready(j, at, step);
}

void add_units(const owner& o, const job& j, std::vector<waiting_unit>& units) {
    for (std::size_t at = 0; at < j.occurrences.size(); ++at)
        for (int s = 0; s < j.submission.steps_size(); ++s) {
            if (!can_be_placed(j, j.occurrences[at], s))
                continue;
            const auto earns = payoff_of(o, j, j.occurrences[at]);
            units.push_back({earns == payoff::none, priority_of(o, j),
                             earns != payoff::in_full,
                             j.submission.submitted_unix_ms(),
                             j.submission.id(), at, s});
        }
}

/// The units of all jobs that may have any. Forgets jobs that have none; what
/// brings them a new one names them again.
std::vector<waiting_unit> waiting_units(owner& o) {
    std::vector<waiting_unit> units;
    for (auto it = o.waiting_jobs.begin(); it != o.waiting_jobs.end();) {
        const auto found = o.jobs.find(*it);
        const auto before = units.size();
        const bool open = found != o.jobs.end() &&
                          !is_final(found->second.state) &&
                          !found->second.cancelled;
        if (open && queue_of(o, found->second))
            add_units(o, found->second, units);
        const bool keep =
            open && (units.size() > before || !queue_of(o, found->second));
        it = keep ? std::next(it) : o.waiting_jobs.erase(it);
    }
    std::ranges::sort(units);
    return units;
}

void end_old_reservations(owner& o) {
    std::erase_if(o.reservations, [&](const reservation& r) {
        const auto it = o.jobs.find(r.job);
        return o.run.now() > r.expires || it == o.jobs.end() ||
               is_final(it->second.state);
    });
}

} // namespace

duration expected_run_time(const owner& o, const job& j, int step) {
    const auto it = o.run_time_estimates.find(j.submission.queue());
    return it != o.run_time_estimates.end()
               ? it->second.expected
               : duration{j.submission.steps(step).estimate_ms()};
}

duration max_expected_run_time(const owner& o, const job& j, int step) {
    const duration declared{j.submission.steps(step).estimate_ms()};
    const auto it = o.run_time_estimates.find(j.submission.queue());
    return it != o.run_time_estimates.end()
               ? std::max(declared, it->second.max_expected)
               : declared;
}

void schedule(owner& o) {
    if (o.run.now() < o.active_since + shortest_settling_time)
        return;
    const bool more_to_come =
        !o.expected_agents.empty() ||
        o.run.now() < o.last_new_server_at + quiet_after_new_server;
    if (more_to_come && o.run.now() < o.active_since + longest_settling_time)
        return;
    end_old_reservations(o);
    const auto units = waiting_units(o);
    if (units.empty())
        return;
    auto p = begin_pass(o);
    for (const auto& unit : units)
        place_unit(o, p, unit);
    o.run.metrics.gauge("units_waiting", static_cast<double>(units.size()));
}

} // namespace celerylift::fleet
