#include "owner_internal.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <span>
#include <utility>

namespace celerylift::fleet {

namespace {

/// Bounds the number of gauges.
constexpr std::size_t max_shown_organisations = 16;

/// Whether a unit has tasks that wait for room, and not only for a pause to
/// end.
bool waits_for_room(const owner& self, const waiting_unit& unit) {
    const auto& tasks = unit.job_ref->occurrences[unit.occurrence]
                            .steps[static_cast<std::size_t>(unit.step)]
                            .tasks;
    return std::ranges::any_of(tasks, [&](const task& task) {
        return task.phase == task_phase::waiting &&
               !is_pausing(self, *unit.job_ref, task);
    });
}

/// The resources that this many tasks of a unit need.
resources need_of_tasks(const waiting_unit& unit, std::int64_t count) {
    const auto each = need_of(unit.job_ref->submission.steps(unit.step));
    return {each.millicores * count, each.memory_mb * count,
            each.accelerators * count};
}

const std::string& service_of(const owner& self, const waiting_unit& unit) {
    return queue_of(self, *unit.job_ref)->service;
}

const std::string& organisation_of(const waiting_unit& unit) {
    return unit.job_ref->submission.organisation();
}

/// Gathers what organisations hold of the services that lack room for all of
/// the waiting work.
void gather_use(schedule_pass& pass) {
    for (std::size_t i = 0; i < pass.servers.size(); ++i) {
        const auto it = pass.shares.find(pass.candidates[i].service);
        if (it == pass.shares.end())
            continue;
        for (const auto& [name, in_use] :
             pass.servers[i]->usage.by_organisation)
            it->second.organisations[name] += in_use;
    }
}

bool is_below_share(const service_shares& shares, const resources& in_use) {
    return is_below_equal_share(in_use, shares.total,
                                shares.organisations.size());
}

unit_rank rank_in(const owner& self, schedule_pass& pass,
                  const service_shares& shares, const waiting_unit& unit) {
    unit_standing standing;
    standing.urgent = unit.priority == 0;
    standing.within_guarantee =
        standing.urgent &&
        is_guaranteed(self, pass, *unit.job_ref,
                      need_of_tasks(unit, unit.waiting_tasks).accelerators);
    standing.below_equal_share =
        is_below_share(shares, shares.organisations.at(organisation_of(unit)));
    standing.waited = duration{pass.started_unix_ms - unit.submitted_unix_ms};
    if (unit.latest_start)
        standing.slack = duration{*unit.latest_start - pass.started_unix_ms};
    return rank_of(standing);
}

void write_share_event(owner& self, const std::string& service,
                       const service_shares& shares, const resources& waiting) {
    if (!is_due(self, self.next_share_events[service]))
        return;
    const auto below = std::ranges::count_if(
        shares.organisations, [&](const auto& organisation) {
            return is_below_share(shares, organisation.second);
        });
    self.run.journal.event("ordering_by_share",
                           {{"service", service},
                            {"organisations", shares.organisations.size()},
                            {"below_equal_share", below},
                            {"memory_mb_waiting", waiting.memory_mb},
                            {"millicores_waiting", waiting.millicores},
                            {"accelerators_waiting", waiting.accelerators}});
}

/// Shows the dominant shares of the organisations while they count; afterwards
/// zeros.
void show_shares(owner& self, const schedule_pass& pass) {
    std::map<std::string, double> shown;
    for (const auto& [service, shares] : pass.shares)
        for (const auto& [name, in_use] : shares.organisations) {
            if (shown.size() == max_shown_organisations &&
                !shown.contains(name))
                continue;
            auto& share = shown[name];
            share = std::max(share, dominant_share(in_use, shares.total));
        }
    for (const auto& [name, share] : self.shown_shares)
        shown.try_emplace(name, 0.0);
    for (const auto& [name, share] : shown)
        self.run.metrics.gauge(
            fmt::format("dominant_share{{organisation=\"{}\"}}", name), share);
    std::erase_if(shown, [](const auto& entry) { return entry.second == 0; });
    self.shown_shares = std::move(shown);
}

void rank_units(owner& self, schedule_pass& pass,
                std::vector<waiting_unit>& units) {
    gather_use(pass);
    const auto shares_for = [&](const waiting_unit& unit) {
        const auto it = pass.shares.find(service_of(self, unit));
        return it == pass.shares.end() ? nullptr : &it->second;
    };
    for (const auto& unit : units)
        if (auto* shares = shares_for(unit))
            shares->organisations.try_emplace(organisation_of(unit));
    for (auto& unit : units)
        if (const auto* shares = shares_for(unit))
            unit.rank = rank_in(self, pass, *shares, unit);
    self.run.metrics.count("passes_ordered_by_share_total");
}

/// Adds what a unit has been given to the use of its organisation. Ranks the
/// later units of the organisation again where that may change them.
void apply_placed(const owner& self, schedule_pass& pass,
                  service_shares& shares, std::vector<waiting_unit>& units,
                  std::size_t index, std::int64_t placed) {
    const auto& unit = units[index];
    auto& in_use = shares.organisations.at(organisation_of(unit));
    const bool was_below = is_below_share(shares, in_use);
    in_use += need_of_tasks(unit, placed);
    const bool crossed = was_below != is_below_share(shares, in_use);
    if (!crossed && unit.priority != 0)
        return;
    bool changed = false;
    for (auto& other : std::span(units).subspan(index + 1)) {
        if ((!crossed && other.priority != 0) ||
            organisation_of(other) != organisation_of(unit) ||
            service_of(self, other) != service_of(self, unit))
            continue;
        const auto rank = rank_in(self, pass, shares, other);
        changed = changed || rank != other.rank;
        other.rank = rank;
    }
    if (changed)
        std::ranges::sort(std::span(units).subspan(index + 1));
}

} // namespace

bool is_due(const owner& self, time_point& next_at) {
    if (self.run.now() < next_at)
        return false;
    next_at = self.run.now() + demand_event_interval;
    return true;
}

void order_units(owner& self, schedule_pass& pass,
                 std::vector<waiting_unit>& units) {
    pass.started_unix_ms = self.run.unix_ms();
    std::map<std::string, resources> waiting; // By service.
    for (const auto& unit : units)
        waiting[service_of(self, unit)] +=
            need_of_tasks(unit, unit.waiting_tasks);
    const auto left_over = std::exchange(self.services_with_work_left, {});
    for (const auto& [service, need] : waiting) {
        const auto found = pass.services.find(service);
        const auto capacity =
            found == pass.services.end() ? service_capacity{} : found->second;
        const bool lacks_room =
            left_over.contains(service) || !fits(need, capacity.free);
        update_packing(self, service, capacity, need, lacks_room);
        if (self.policy.share_by_scarcity && lacks_room)
            pass.shares[service].total = capacity.total;
    }
    if (!pass.shares.empty())
        rank_units(self, pass, units);
    std::ranges::sort(units);
    for (const auto& [service, shares] : pass.shares)
        write_share_event(self, service, shares, waiting.at(service));
    show_shares(self, pass);
}

void clear_shares(owner& self) {
    self.services_with_work_left.clear();
    show_shares(self, {});
}

void place_in_order(owner& self, schedule_pass& pass,
                    std::vector<waiting_unit>& units, std::size_t index) {
    const auto unit = units[index];
    const auto placed_before = pass.tasks_placed;
    place_unit(self, pass, unit);
    const auto placed = pass.tasks_placed - placed_before;
    const auto& service = service_of(self, unit);
    if (placed < unit.waiting_tasks &&
        !self.services_with_work_left.contains(service) &&
        waits_for_room(self, unit))
        self.services_with_work_left.insert(service);
    if (const auto it = pass.shares.find(service);
        placed > 0 && it != pass.shares.end())
        apply_placed(self, pass, it->second, units, index, placed);
}

} // namespace celerylift::fleet
