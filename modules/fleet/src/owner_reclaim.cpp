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

/// What a task has lost to earlier stops weighs this many times: it makes its
/// job later each time, until that earns nothing.
constexpr double weight_of_losses = 2.0;

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

/// What the stop of one task costs: a task that has just been started again
/// would otherwise always be the cheapest one to stop.
double cost_of_one_stop(const owner& o, const job& j, const task& t) {
    return unsaved_work(o, j, t) + t.lost_core_seconds * weight_of_losses;
}

double cost_of_stop(const owner& o, const job& j, const task& t) {
    if (!step_of(j, t.name).gang())
        return cost_of_one_stop(o, j, t);
    double cost = 0;
    for (const auto& member : step_run_of(j, t.name).tasks)
        if (member.phase == task_phase::assigned)
            cost += cost_of_one_stop(o, j, member);
    return cost;
}

/// Notes what a stop throws away, for the whole gang of a member.
void note_loss(const owner& o, job& j, task& t) {
    const auto note = [&](task& one) {
        one.lost_core_seconds += unsaved_work(o, j, one);
    };
    if (!step_of(j, t.name).gang())
        return note(t);
    for (auto& member : step_run_of(j, t.name).tasks)
        if (member.phase == task_phase::assigned && !member.stopping)
            note(member);
}

/// What each run that could give way throws away, by its step: the members of
/// a gang end together.
using step_costs = std::map<const step_run*, double>;

double known_cost(const owner& o, const job& j, const task& t,
                  step_costs& gangs) {
    if (!step_of(j, t.name).gang())
        return cost_of_stop(o, j, t);
    const auto [it, added] = gangs.try_emplace(&step_run_of(j, t.name));
    if (added)
        it->second = cost_of_stop(o, j, t);
    return it->second;
}

/// Gathers what could give way to urgent work, once a pass.
void gather_preemptible(const owner& o, schedule_pass& p, int priority) {
    if (!p.preemptible.empty())
        return;
    p.preemptible.resize(p.candidates.size());
    p.being_freed.assign(p.candidates.size(), {});
    step_costs gangs;
    for (std::size_t i = 0; i < p.servers.size(); ++i) {
        for (const auto& [name, held] : p.servers[i]->assigned) {
            const auto& t = *held.task_ref;
            const auto need = need_of(step_of(*held.job_ref, name));
            if (t.ended_in_gang)
                continue;
            if (t.stopping)
                p.being_freed[i] += need;
            else if (priority_of(o, *held.job_ref) > priority)
                p.preemptible[i].push_back(
                    {name, need, known_cost(o, *held.job_ref, t, gangs)});
        }
        std::ranges::sort(p.preemptible[i], {},
                          &preemption_candidate::lost_core_seconds);
    }
}

struct server_plan {
    candidate_server at;
    std::vector<preemption_candidate> preemptible;
};

struct plan {
    std::vector<std::string> agents;
    std::vector<task_name> stops;
    double cost = 0;
};

/// The victims that make room for one task, or nothing where none suffice.
std::optional<std::pair<std::size_t, double>>
preemptions_needed(const server_plan& s, const resources& each) {
    auto room = s.at.free;
    double cost = 0;
    for (std::size_t n = 0;; ++n) {
        if (fits(each, room))
            return std::pair{n, cost};
        if (n == s.preemptible.size())
            return std::nullopt;
        room += s.preemptible[n].freed;
        cost += s.preemptible[n].lost_core_seconds;
    }
}

std::optional<plan> plan_among(std::vector<server_plan> servers,
                               const placement_request& request) {
    plan p;
    std::map<std::string_view, int> placed(request.running.begin(),
                                           request.running.end());
    for (int n = 0; n < request.count; ++n) {
        server_plan* best = nullptr;
        std::pair<std::size_t, double> best_need{
            0, std::numeric_limits<double>::max()};
        for (auto& s : servers) {
            if (request.max_per_server > 0 &&
                placed[s.at.agent] >= request.max_per_server)
                continue;
            const auto need = preemptions_needed(s, request.each);
            if (need && need->second < best_need.second) {
                best = &s;
                best_need = *need;
            }
        }
        if (!best)
            return std::nullopt;
        for (std::size_t v = 0; v < best_need.first; ++v) {
            best->at.free += best->preemptible[v].freed;
            p.stops.push_back(best->preemptible[v].name);
        }
        best->preemptible.erase(
            best->preemptible.begin(),
            best->preemptible.begin() +
                static_cast<std::ptrdiff_t>(best_need.first));
        best->at.free -= request.each;
        ++placed[best->at.agent];
        p.agents.emplace_back(best->at.agent);
        p.cost += best_need.second;
    }
    return p;
}

std::vector<server_plan> servers_to_preempt_on(const owner& o, schedule_pass& p,
                                               const placement_request& request,
                                               int priority) {
    gather_preemptible(o, p, priority);
    auto candidates = p.candidates;
    for (const auto& r : o.reservations)
        if (r.priority <= priority)
            subtract_reservation(p, r, candidates);
    std::vector<server_plan> servers;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!is_eligible(candidates[i], request))
            continue;
        candidates[i].free += p.being_freed[i];
        servers.push_back({candidates[i], p.preemptible[i]});
    }
    return servers;
}

std::optional<plan> cheapest_plan(const owner& o, schedule_pass& p,
                                  const placement_request& request,
                                  int priority) {
    const auto servers = servers_to_preempt_on(o, p, request, priority);
    if (!request.same_rack)
        return plan_among(servers, request);
    std::map<std::size_t, std::vector<server_plan>> racks;
    for (const auto& s : servers)
        racks[s.at.rack_number].push_back(s);
    std::optional<plan> best;
    for (const auto& [rack, members] : racks) {
        const auto found = plan_among(members, request);
        if (found && (!best || found->cost < best->cost))
            best = found;
    }
    return best;
}

/// Accelerators that urgent work holds, by organisation.
std::map<std::string, std::int64_t> count_urgent_use(const owner& o) {
    std::map<std::string, std::int64_t> used;
    for (const auto& [agent, s] : o.servers)
        for (const auto& [name, held] : s.assigned)
            if (!held.task_ref->ended_in_gang &&
                priority_of(o, *held.job_ref) == 0)
                used[held.job_ref->submission.organisation()] +=
                    need_of(step_of(*held.job_ref, name)).accelerators;
    return used;
}

/// Whether an organisation's urgent work, with this step, stays inside what
/// it is guaranteed.
bool is_guaranteed(const owner& o, schedule_pass& p, const job& j,
                   const placement_request& request) {
    const auto& name = j.submission.organisation();
    const auto* organisation = find_organisation(*o.config, name);
    if (!organisation)
        return false;
    if (!p.urgent_accelerators)
        p.urgent_accelerators = count_urgent_use(o);
    const auto it = p.urgent_accelerators->find(name);
    const auto used = it == p.urgent_accelerators->end() ? 0 : it->second;
    return used + request.each.accelerators * request.count <=
           organisation->guaranteed_accelerators;
}

/// The same pass has shown that no plan makes room for as much, or for less.
bool is_known_to_fail(const schedule_pass& p,
                      const placement_request& request) {
    return std::ranges::any_of(p.failed_reclaims, [&](const auto& earlier) {
        return needs_at_least(request, earlier);
    });
}

/// The cheapest plan, without the wish for one rack where that has none, and
/// then without the wish for trusted servers.
std::optional<plan> find_plan(const owner& o, schedule_pass& p,
                              const placement_request& request, int priority) {
    auto wished = request;
    auto found = cheapest_plan(o, p, wished, priority);
    if (!found && wished.same_rack) {
        wished.same_rack = false;
        found = cheapest_plan(o, p, wished, priority);
    }
    if (!found && wished.healthy_only) {
        wished.healthy_only = false;
        found = cheapest_plan(o, p, wished, priority);
    }
    return found;
}

} // namespace

bool reclaim(owner& o, schedule_pass& pass, job& j, const occurrence& at,
             int step, const placement_request& request) {
    const int priority = priority_of(o, j);
    if (priority != 0)
        return false;
    const bool guaranteed = is_guaranteed(o, pass, j, request);
    if (!guaranteed && payoff_of(o, j, at) != payoff::in_full)
        return false;
    if (is_known_to_fail(pass, request))
        return false;
    const auto p = find_plan(o, pass, request, priority);
    if (!p)
        pass.failed_reclaims.push_back(request);
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
    pass.preemptible.clear();
    for (const auto& name : p->stops) {
        auto& victim_job = o.jobs.at(name.job);
        auto& victim_task = *find_task(victim_job, name);
        note_loss(o, victim_job, victim_task);
        stop_run(o, victim_job, victim_task,
                 "its room belongs to another organisation");
    }
    return true;
}

} // namespace celerylift::fleet
