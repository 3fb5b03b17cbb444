#include "owner_internal.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace celerylift::fleet {

namespace {

constexpr duration reservation_time{2500};

/// How a core-second and an accelerator-second compare when work is thrown
/// away; the platform counts an accelerator as eight cores.
constexpr double cores_per_accelerator = 8.0;

/// Outside a guarantee, urgent work takes room only where little is lost: about
/// what one urgent job is worth, by the platform's price of lost work.
constexpr double most_lost_core_seconds = 600.0;

/// A task that could give way, and what its stop throws away.
struct victim {
    task_name name;
    resources frees;
    double lost_core_seconds = 0;
};

double cores_of(const resources& r) {
    return static_cast<double>(r.millicores) / 1000.0 +
           cores_per_accelerator * static_cast<double>(r.accelerators);
}

/// The work of one task that has not been saved.
double unsaved_work(const owner& o, const job& j, const task& t) {
    const auto ran =
        std::chrono::duration<double>(o.run.now() - t.assigned_at).count();
    const auto& step = step_of(j, t.name);
    // A checkpoint is a second or two old at most.
    return std::min(ran, step.checkpointable() ? 1.0 : ran) *
           cores_of(need_of(step));
}

double cost_of_stop(const owner& o, const job& j, const task& t) {
    if (!step_of(j, t.name).gang())
        return unsaved_work(o, j, t);
    double cost = 0;
    for (const auto& member : step_run_of(j, t.name).tasks)
        if (member.phase == task_phase::assigned)
            cost += unsaved_work(o, j, member);
    return cost;
}

/// What could give way on a server, the cheapest first.
std::vector<victim> victims_on(const owner& o, const std::string& agent,
                               int priority) {
    std::vector<victim> victims;
    for (const auto& name : o.servers.at(agent).assigned) {
        const auto& j = o.jobs.at(name.job);
        const auto* t = find_task(j, name);
        if (!t || t->resolved || t->stopping || priority_of(o, j) <= priority)
            continue;
        victims.push_back(
            {name, need_of(step_of(j, name)), cost_of_stop(o, j, *t)});
    }
    std::ranges::sort(victims, {}, &victim::lost_core_seconds);
    return victims;
}

/// What is stopping already on a server, and so will be free soon.
resources soon_free(const owner& o, const std::string& agent) {
    resources sum;
    for (const auto& name : o.servers.at(agent).assigned) {
        const auto& j = o.jobs.at(name.job);
        const auto* t = find_task(j, name);
        if (t && t->stopping && !t->resolved)
            sum += need_of(step_of(j, name));
    }
    return sum;
}

struct server_plan {
    room at;
    std::vector<victim> victims;
};

struct plan {
    std::vector<std::string> agents;
    std::vector<task_name> stops;
    double cost = 0;
};

/// The victims that make room for one task, or nothing where none suffice.
std::optional<std::pair<std::size_t, double>>
victims_needed(const server_plan& s, const resources& each) {
    auto room = s.at.free;
    double cost = 0;
    for (std::size_t n = 0;; ++n) {
        if (fits(each, room))
            return std::pair{n, cost};
        if (n == s.victims.size())
            return std::nullopt;
        room += s.victims[n].frees;
        cost += s.victims[n].lost_core_seconds;
    }
}

std::optional<plan> plan_among(std::vector<server_plan> servers,
                               const placement_request& request) {
    plan p;
    std::map<std::string, int> placed(request.running.begin(),
                                      request.running.end());
    for (int n = 0; n < request.count; ++n) {
        server_plan* best = nullptr;
        std::pair<std::size_t, double> best_need{
            0, std::numeric_limits<double>::max()};
        for (auto& s : servers) {
            if (request.most_per_server > 0 &&
                placed[s.at.agent] >= request.most_per_server)
                continue;
            const auto need = victims_needed(s, request.each);
            if (need && need->second < best_need.second) {
                best = &s;
                best_need = *need;
            }
        }
        if (!best)
            return std::nullopt;
        for (std::size_t v = 0; v < best_need.first; ++v) {
            best->at.free += best->victims[v].frees;
            p.stops.push_back(best->victims[v].name);
        }
        best->victims.erase(best->victims.begin(),
                            best->victims.begin() +
                                static_cast<std::ptrdiff_t>(best_need.first));
        best->at.free -= request.each;
        ++placed[best->at.agent];
        p.agents.push_back(best->at.agent);
        p.cost += best_need.second;
    }
    return p;
}

std::vector<server_plan>
candidates(const owner& o, const placement_request& request, int priority) {
    std::vector<server_plan> servers;
    auto rooms = usable_rooms(o);
    for (const auto& r : o.reservations) {
        if (r.priority > priority)
            continue;
        for (const auto& agent : r.agents)
            for (auto& at : rooms)
                if (at.agent == agent)
                    at.free -= r.each;
    }
    for (auto& at : rooms) {
        if (!is_eligible(at, request))
            continue;
        at.free += soon_free(o, at.agent);
        servers.push_back({at, victims_on(o, at.agent, priority)});
    }
    return servers;
}

std::optional<plan>
cheapest_plan(const owner& o, const placement_request& request, int priority) {
    const auto servers = candidates(o, request, priority);
    if (!request.same_rack)
        return plan_among(servers, request);
    std::map<std::string, std::vector<server_plan>> racks;
    for (const auto& s : servers)
        racks[s.at.rack].push_back(s);
    std::optional<plan> best;
    for (const auto& [rack, members] : racks) {
        const auto p = plan_among(members, request);
        if (p && (!best || p->cost < best->cost))
            best = p;
    }
    return best;
}

/// Whether an organisation's urgent work, with this step, stays inside what
/// it is guaranteed.
bool is_guaranteed(const owner& o, const job& j,
                   const placement_request& request) {
    const auto* organisation =
        find_organisation(*o.config, j.submission.organisation());
    if (!organisation)
        return false;
    std::int64_t used = request.each.accelerators * request.count;
    for (const auto& [id, other] : o.jobs) {
        if (other.submission.organisation() != j.submission.organisation() ||
            priority_of(o, other) != 0)
            continue;
        for (const auto& at : other.occurrences)
            for (const auto& s : at.steps)
                for (const auto& t : s.tasks)
                    if (t.phase == task_phase::assigned && !t.resolved)
                        used += need_of(step_of(other, t.name)).accelerators;
    }
    return used <= organisation->guaranteed_accelerators;
}

} // namespace

bool reclaim(owner& o, job& j, const occurrence& at, int step,
             const placement_request& request) {
    const int priority = priority_of(o, j);
    if (priority != 0)
        return false;
    const bool guaranteed = is_guaranteed(o, j, request);
    if (!guaranteed && payoff_of(o, j, at) != payoff::in_full)
        return false;
    auto p = cheapest_plan(o, request, priority);
    if (!p && request.same_rack) {
        auto spread = request;
        spread.same_rack = false;
        p = cheapest_plan(o, spread, priority);
    }
    if (!p || (!guaranteed && p->cost > most_lost_core_seconds))
        return false;
    o.run.journal.event("room_reclaimed",
                        {{"job", j.submission.id()},
                         {"step", step},
                         {"tasks", request.count},
                         {"guaranteed", guaranteed},
                         {"stops", p->stops.size()},
                         {"lost_core_s", static_cast<std::int64_t>(p->cost)}});
    o.run.metrics.count("reclaims_total");
    o.reservations.push_back({j.submission.id(),
                              at.number,
                              step,
                              p->agents,
                              request.each,
                              o.run.now() + reservation_time,
                              priority,
                              {}});
    for (const auto& name : p->stops) {
        auto& victim_job = o.jobs.at(name.job);
        stop_run(o, victim_job, *find_task(victim_job, name),
                 "its room belongs to another organisation");
    }
    return true;
}

} // namespace celerylift::fleet
