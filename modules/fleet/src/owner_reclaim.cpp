#include "owner_internal.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace celerylift::fleet {

namespace {

constexpr duration preemption_reservation_lifetime{2500};

/// Weight of an accelerator-second of lost work against a core-second. The
/// platform counts an accelerator as eight cores.
constexpr double cores_per_accelerator = 8.0;

/// Outside a guarantee, urgent work preempts only if no more work than this is
/// lost. At the platform's price of lost work that is about the value of one
/// urgent job.
constexpr double max_lost_core_seconds = 600.0;

/// The share of a run's work that is expected to be lost on a risky server:
/// even odds of a restart, halfway through the run.
constexpr double loss_by_restart = 0.25;

/// Weight of the work that a task has lost to earlier stops. Each stop delays
/// its job further, until the job earns no payoff.
constexpr double earlier_loss_weight = 2.0;

double cores_of(const resources& amount) {
    return static_cast<double>(amount.millicores) / 1000.0 +
           cores_per_accelerator * static_cast<double>(amount.accelerators);
}

/// The work of one task that no checkpoint holds, in core-seconds.
double unsaved_core_seconds(const owner& self, const job& job,
                            const task& task) {
    const auto ran =
        std::chrono::duration<double>(self.run.now() - task.assigned_at)
            .count();
    const auto& step = step_of(job, task.name);
    // The latest checkpoint is at most a second or two old.
    return std::min(ran, step.checkpointable() ? 1.0 : ran) *
           cores_of(need_of(step));
}

/// The cost of stopping one task. Earlier losses count as well. Otherwise a
/// task that has just been restarted would always be the cheapest to stop.
double task_preemption_cost(const owner& self, const job& job,
                            const task& task) {
    const auto unsaved = unsaved_core_seconds(self, job, task);
    return self.policy.weigh_earlier_losses
               ? unsaved + task.lost_core_seconds * earlier_loss_weight
               : unsaved;
}

double preemption_cost(const owner& self, const job& job, const task& task) {
    if (!step_of(job, task.name).gang())
        return task_preemption_cost(self, job, task);
    double cost = 0;
    for (const auto& member : step_run_of(job, task.name).tasks)
        if (member.phase == task_phase::assigned)
            cost += task_preemption_cost(self, job, member);
    return cost;
}

/// Adds the work that a stop loses to the record of the task, and of all
/// members of its gang.
void record_lost_work(const owner& self, job& job, task& stopped) {
    const auto record = [&](task& member) {
        member.lost_core_seconds += unsaved_core_seconds(self, job, member);
    };
    if (!step_of(job, stopped.name).gang())
        return record(stopped);
    for (auto& member : step_run_of(job, stopped.name).tasks)
        if (member.phase == task_phase::assigned && !member.stopping)
            record(member);
}

/// How many times the rest of its work a job must have time for, so that it is
/// still in time if it is stopped now: once to run again, and as long to wait.
constexpr double affordable_time_factor = 2.0;

/// Weight of the work that a job loses which can still be in time. Its caller
/// does not notice the loss, but the capacity is spent.
constexpr double affordable_loss_weight = 0.1;

/// Whether jobs can still be in time if they lose the progress of their current
/// steps, by occurrence.
using affordable_stops = std::map<std::pair<std::string, int>, bool>;

/// Matters only where urgent work needs servers of a certain speed: the stopped
/// job keeps its objective, and the urgent one is in time.
bool can_afford_stop(const owner& self, const job& job, const task& task,
                     affordable_stops& cache) {
    const auto* queue = queue_of(self, job);
    if (!queue || !speeds_of(self, queue->service).is_uneven)
        return false;
    const auto [it, added] =
        cache.try_emplace({task.name.job, task.name.occurrence});
    if (!added)
        return it->second;
    const auto occurrence = std::ranges::find(
        job.occurrences, task.name.occurrence, &occurrence::number);
    const auto factor = occurrence == job.occurrences.end()
                            ? no_slowness_limit
                            : slowness_limit_of(self, job, *occurrence);
    it->second = factor < no_slowness_limit && factor >= affordable_time_factor;
    return it->second;
}

/// Preemption costs of gangs, by step. The members of a gang end together, so
/// they share one cost.
using gang_costs = std::map<const step_run*, double>;

double cached_preemption_cost(const owner& self, const job& job,
                              const task& task, gang_costs& cache) {
    if (!step_of(job, task.name).gang())
        return preemption_cost(self, job, task);
    const auto [it, added] = cache.try_emplace(&step_run_of(job, task.name));
    if (added)
        it->second = preemption_cost(self, job, task);
    return it->second;
}

/// Gathers the tasks that urgent work may preempt, once per pass.
void gather_preemptible(const owner& self, schedule_pass& pass, int priority) {
    if (!pass.preemptible.empty())
        return;
    pass.preemptible.resize(pass.candidates.size());
    pass.being_freed.assign(pass.candidates.size(), {});
    gang_costs cache;
    affordable_stops affordable;
    for (std::size_t i = 0; i < pass.servers.size(); ++i) {
        for (const auto& [name, assigned] : pass.servers[i]->assigned) {
            const auto& task = *assigned.task_ref;
            const auto need = need_of(step_of(*assigned.job_ref, name));
            if (task.ended_in_gang)
                continue;
            if (task.stopping)
                pass.being_freed[i] += need;
            else if (priority_of(self, *assigned.job_ref) > priority)
                pass.preemptible[i].push_back(
                    {name, need,
                     cached_preemption_cost(self, *assigned.job_ref, task,
                                            cache),
                     can_afford_stop(self, *assigned.job_ref, task,
                                     affordable)});
        }
        std::ranges::sort(pass.preemptible[i], {},
                          &preemption_candidate::lost_core_seconds);
    }
}

/// A candidate and the tasks that may still be preempted on it while a plan is
/// made.
struct server_plan {
    candidate_server candidate;
    std::vector<preemption_candidate> preemptible;
};

/// Where the tasks of a request go, and which tasks are stopped for them.
struct preemption_plan {
    std::vector<std::string> agents;
    std::vector<task_name> stops;
    double cost = 0;
    int risk = 0; // Sum of the risk classes, by task.
};

/// How many tasks on a server, cheapest first, must be preempted so that one
/// more task fits, and their cost. Nothing if preempting all does not suffice.
std::optional<std::pair<std::size_t, double>>
preemptions_needed(const server_plan& server, const resources& each) {
    auto available = server.candidate.free;
    double cost = 0;
    for (std::size_t n = 0;; ++n) {
        if (fits(each, available))
            return std::pair{n, cost};
        if (n == server.preemptible.size())
            return std::nullopt;
        available += server.preemptible[n].freed;
        cost += server.preemptible[n].lost_core_seconds;
    }
}

std::optional<preemption_plan> plan_among(std::vector<server_plan> servers,
                                          const placement_request& request) {
    preemption_plan result;
    std::map<std::string_view, int> placed(request.running.begin(),
                                           request.running.end());
    for (int n = 0; n < request.count; ++n) {
        server_plan* best = nullptr;
        std::pair<std::size_t, double> best_need{
            0, std::numeric_limits<double>::max()};
        for (auto& server : servers) {
            if (request.max_per_server > 0 &&
                placed[server.candidate.agent] >= request.max_per_server)
                continue;
            const auto need = preemptions_needed(server, request.each);
            if (need && need->second < best_need.second) {
                best = &server;
                best_need = *need;
            }
        }
        if (!best)
            return std::nullopt;
        for (std::size_t i = 0; i < best_need.first; ++i) {
            best->candidate.free += best->preemptible[i].freed;
            result.stops.push_back(best->preemptible[i].name);
        }
        best->preemptible.erase(
            best->preemptible.begin(),
            best->preemptible.begin() +
                static_cast<std::ptrdiff_t>(best_need.first));
        best->candidate.free -= request.each;
        ++placed[best->candidate.agent];
        result.agents.emplace_back(best->candidate.agent);
        result.cost += best_need.second;
        result.risk += best->candidate.risk_class;
    }
    return result;
}

/// The risk of a plan, or 0 if the request does not consider it.
int risk_of(const preemption_plan& plan, const placement_request& request) {
    return request.prefer_low_risk ? plan.risk : 0;
}

void discount_affordable_losses(
    std::vector<preemption_candidate>& preemptible) {
    for (auto& candidate : preemptible)
        if (candidate.is_affordable)
            candidate.lost_core_seconds *= affordable_loss_weight;
    std::ranges::sort(preemptible, {},
                      &preemption_candidate::lost_core_seconds);
}

std::vector<server_plan> servers_to_preempt_on(const owner& self,
                                               schedule_pass& pass,
                                               const placement_request& request,
                                               int priority, int max_risk) {
    gather_preemptible(self, pass, priority);
    auto candidates = pass.candidates;
    for (const auto& reservation : self.reservations)
        if (reservation.priority <= priority)
            subtract_reservation(pass, reservation, candidates);
    std::vector<server_plan> servers;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!is_eligible(candidates[i], request) ||
            !admits(candidates[i], request) ||
            candidates[i].risk_class > max_risk)
            continue;
        candidates[i].free += pass.being_freed[i];
        servers.push_back({candidates[i], pass.preemptible[i]});
        if (request.within_limit_only)
            discount_affordable_losses(servers.back().preemptible);
    }
    // Of servers with equal costs a plan uses the first ones.
    if (request.prefer_low_risk)
        std::ranges::stable_sort(servers, {}, [](const server_plan& server) {
            return server.candidate.risk_class;
        });
    return servers;
}

std::optional<preemption_plan> cheapest_plan(const owner& self,
                                             schedule_pass& pass,
                                             const placement_request& request,
                                             int priority,
                                             int max_risk = leaving_risk) {
    const auto servers =
        servers_to_preempt_on(self, pass, request, priority, max_risk);
    if (!request.same_rack)
        return plan_among(servers, request);
    std::map<std::size_t, std::vector<server_plan>> racks;
    for (const auto& server : servers)
        racks[server.candidate.rack_number].push_back(server);
    std::optional<preemption_plan> best;
    for (const auto& [rack, members] : racks) {
        const auto found = plan_among(members, request);
        if (found &&
            (!best || std::pair{found->cost, risk_of(*found, request)} <
                          std::pair{best->cost, risk_of(*best, request)}))
            best = found;
    }
    return best;
}

/// What one run of a request is worth, in core-seconds.
double core_seconds_of(const placement_request& request) {
    return cores_of(request.each) * request.count *
           std::chrono::duration<double>(request.expected_run).count();
}

/// How much work urgent work may preempt outside a guarantee. For servers of a
/// certain speed, at least as much as it does itself.
double max_loss_for(const placement_request& request) {
    return request.within_limit_only
               ? std::max(max_lost_core_seconds, core_seconds_of(request))
               : max_lost_core_seconds;
}

/// The cheapest plan, or the cheapest one without risky servers if the
/// difference is less than what a restart there may be expected to lose.
std::optional<preemption_plan> safest_plan(const owner& self,
                                           schedule_pass& pass,
                                           const placement_request& request,
                                           int priority, bool guaranteed) {
    auto cheapest = cheapest_plan(self, pass, request, priority);
    if (!cheapest || risk_of(*cheapest, request) == 0)
        return cheapest;
    auto safe = cheapest_plan(self, pass, request, priority, no_risk);
    const bool may_use_safe =
        safe && (guaranteed || safe->cost <= max_loss_for(request)) &&
        safe->cost <=
            cheapest->cost + loss_by_restart * core_seconds_of(request);
    return may_use_safe ? safe : cheapest;
}

/// Counts the accelerators in use by urgent work, by organisation.
std::map<std::string, std::int64_t>
count_urgent_accelerators(const owner& self) {
    std::map<std::string, std::int64_t> used;
    for (const auto& [agent, server] : self.servers)
        for (const auto& [name, assigned] : server.assigned)
            if (!assigned.task_ref->ended_in_gang &&
                priority_of(self, *assigned.job_ref) == 0)
                used[assigned.job_ref->submission.organisation()] +=
                    need_of(step_of(*assigned.job_ref, name)).accelerators;
    return used;
}

/// Whether this pass has found no plan for an earlier request that needs no
/// more than this one.
bool is_known_to_fail(const schedule_pass& pass,
                      const placement_request& request) {
    return std::ranges::any_of(pass.failed_reclaims, [&](const auto& earlier) {
        return needs_at_least(request, earlier);
    });
}

/// Finds the cheapest plan. If there is none, drops first the preference for a
/// single rack and then the restriction to healthy servers. A request for fast
/// servers keeps both: what it would lose by the spread or by a failing server
/// is more than a slow one costs.
std::optional<preemption_plan> find_plan(const owner& self, schedule_pass& pass,
                                         const placement_request& request,
                                         int priority, bool guaranteed) {
    auto relaxed = request;
    auto found = safest_plan(self, pass, relaxed, priority, guaranteed);
    if (request.within_limit_only)
        return found;
    if (!found && relaxed.same_rack) {
        relaxed.same_rack = false;
        found = safest_plan(self, pass, relaxed, priority, guaranteed);
    }
    if (!found && relaxed.healthy_only) {
        relaxed.healthy_only = false;
        found = safest_plan(self, pass, relaxed, priority, guaranteed);
    }
    return found;
}

} // namespace

bool is_guaranteed(const owner& self, schedule_pass& pass, const job& job,
                   std::int64_t accelerators) {
    const auto& name = job.submission.organisation();
    const auto* organisation = find_organisation(*self.config, name);
    if (!organisation)
        return false;
    if (!pass.urgent_accelerators)
        pass.urgent_accelerators = count_urgent_accelerators(self);
    const auto it = pass.urgent_accelerators->find(name);
    const auto used = it == pass.urgent_accelerators->end() ? 0 : it->second;
    return used + accelerators <= organisation->guaranteed_accelerators;
}

bool reclaim(owner& self, schedule_pass& pass, job& job,
             const occurrence& occurrence, int step,
             const placement_request& request) {
    const int priority = priority_of(self, job);
    if (priority != 0)
        return false;
    // The guarantee does not extend to servers of a certain speed.
    const bool guaranteed =
        !request.within_limit_only &&
        is_guaranteed(self, pass, job,
                      request.each.accelerators * request.count);
    if (!guaranteed &&
        (!self.policy.preempt_beyond_guarantee ||
         prospect_of(self, job, occurrence).expected != payoff::in_full))
        return false;
    if (is_known_to_fail(pass, request))
        return false;
    const auto found = find_plan(self, pass, request, priority, guaranteed);
    if (!found)
        pass.failed_reclaims.push_back(request);
    if (!found || (!guaranteed && found->cost > max_loss_for(request)))
        return false;
    self.run.journal.event(
        "room_reclaimed",
        {{"job", job.submission.id()},
         {"step", step},
         {"tasks", request.count},
         {"guaranteed", guaranteed},
         {"stops", found->stops.size()},
         {"lost_core_s", static_cast<std::int64_t>(found->cost)}});
    self.run.metrics.count("reclaims_total");
    auto slowness_limit = no_slowness_limit;
    if (request.within_limit_only)
        slowness_limit = request.slowness_limit;
    self.reservations.push_back(
        {job.submission.id(),
         occurrence.number,
         step,
         found->agents,
         request.each,
         self.run.now() + preemption_reservation_lifetime,
         priority,
         {},
         slowness_limit});
    pass.preemptible.clear();
    for (const auto& name : found->stops) {
        auto& preempted_job = self.jobs.at(name.job);
        auto& preempted_task = *find_task(preempted_job, name);
        record_lost_work(self, preempted_job, preempted_task);
        stop_run(self, preempted_job, preempted_task,
                 "preempted by urgent work");
    }
    return true;
}

} // namespace celerylift::fleet
