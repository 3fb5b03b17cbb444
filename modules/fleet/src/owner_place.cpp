#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// A gang that is spread over racks runs about three times as long. It waits
/// for one rack as long as it would lose by that, and no longer than this.
constexpr int spread_factor = 3;
constexpr duration longest_rack_wait{12'000};

/// A gang goes at the pace of its slowest member and fails with any: it waits
/// for servers that are trusted, up to this time; urgent ones have little.
constexpr duration longest_wait_for_trusted{3000};
constexpr duration longest_urgent_wait_for_trusted{800};

/// Patient work leaves the emptiest rack free for this share of the time that
/// its tasks usually run. Its objective is several times that, and urgent work
/// that finds room needs no stop, which alone may cost it its objective.
constexpr int patience_percent = 60;

void assign(owner& o, job& j, task& t, server& s, int run) {
    t.phase = task_phase::assigned;
    t.run = run;
    t.agent = s.agent;
    t.incarnation = s.state.incarnation();
    t.assigned_at = o.run.now();
    t.started_from_scratch = t.checkpoint.empty();
    t.ended_in_gang = false;
    t.stopping = false;
    t.seen_running = false;
    t.percent = 0;
    s.assigned[t.name] = {&j, &t};
    s.usage.stale = true;
    o.agents_to_update.insert(s.agent);
    mark_changed(o, j);
    t.assigned_version = j.version;
    j.begun = true;
    if (j.state == JOB_PENDING)
        j.state = JOB_RUNNING;
    o.run.journal.event(
        "task_assigned",
        {{"task", to_string(t.name)},
         {"run", run},
         {"agent", s.agent},
         {"waited_ms", (t.assigned_at - t.waiting_since).count()}});
    o.run.metrics.count("tasks_assigned_total");
}

placement_request request_for(const owner& o, const job& j,
                              const occurrence& at, int step) {
    const auto& spec = j.submission.steps(step);
    placement_request request;
    request.service = queue_of(o, j)->service;
    request.each = need_of(spec);
    request.required_label = spec.required_label();
    request.preferred_rack = spec.affinity_rack();
    request.max_per_server = spec.anti_affinity();
    request.same_rack = spec.gang() && spec.same_rack();
    if (request.max_per_server == 0)
        return request;
    std::map<std::string, int> running;
    for (const auto& t : at.steps[static_cast<std::size_t>(step)].tasks)
        if (t.phase == task_phase::assigned)
            ++running[t.agent];
    request.running.assign(running.begin(), running.end());
    return request;
}

bool is_for(const reservation& r, const waiting_unit& unit) {
    return r.job == unit.job && r.step == unit.step &&
           r.occurrence == static_cast<int>(unit.occurrence);
}

/// Keeps reserved room from all but the unit that it is kept for, those that
/// go first, and those that will have ended before it is used.
void withhold_reserved(const owner& o, const schedule_pass& p,
                       const waiting_unit& unit,
                       std::vector<candidate_server>& candidates) {
    const auto end =
        o.run.now() + expected_run_time(o, o.jobs.at(unit.job), unit.step);
    for (const auto& r : o.reservations)
        if (!is_for(r, unit) && unit.priority >= r.priority &&
            end >= r.ready_at)
            subtract_reservation(p, r, candidates);
}

void end_reservation(owner& o, const waiting_unit& unit) {
    std::erase_if(o.reservations,
                  [&](const reservation& r) { return is_for(r, unit); });
}

bool has_reservation(const owner& o, const waiting_unit& unit) {
    return std::ranges::any_of(
        o.reservations, [&](const reservation& r) { return is_for(r, unit); });
}

duration waited(const owner& o, const task& t) {
    return o.run.now() - t.waiting_since;
}

/// Relaxes a wish for one rack where it can't be met or has waited enough.
void relax_rack(const owner& o, const job& j, const waiting_unit& unit,
                const std::vector<candidate_server>& candidates,
                const task& first, placement_request& request) {
    const auto lost = expected_run_time(o, j, unit.step) * (spread_factor - 1);
    if (request.same_rack &&
        (waited(o, first) > std::min<duration>(lost, longest_rack_wait) ||
         !could_fit(candidates, request)))
        request.same_rack = false;
}

/// A job doesn't spend its last attempt where it failed before, but waits for
/// another server; unless even an idle fleet has no other.
void relax_avoidance(const std::vector<candidate_server>& candidates,
                     placement_request& request) {
    if (request.avoid.empty())
        return;
    auto one = request;
    one.count = 1;
    if (!could_fit(candidates, request.same_rack ? request : one))
        request.avoid.clear();
}

/// The rack with the most free accelerators.
std::size_t emptiest_rack(const std::vector<candidate_server>& candidates) {
    std::vector<std::int64_t> free;
    for (const auto& r : candidates) {
        free.resize(std::max(free.size(), r.rack_number + 1));
        free[r.rack_number] += r.free.accelerators;
    }
    return static_cast<std::size_t>(std::ranges::max_element(free) -
                                    free.begin());
}

bool has_waited_long(const owner& o, const job& j, const waiting_unit& unit,
                     const task& first) {
    return waited(o, first) >
           expected_run_time(o, j, unit.step) * patience_percent / 100;
}

/// Keeps the emptiest rack for urgent work while patient work can wait.
void withhold_for_urgent(const owner& o, const job& j, const waiting_unit& unit,
                         const task& first,
                         std::vector<candidate_server>& candidates) {
    if (unit.priority == 0 || has_waited_long(o, j, unit, first))
        return;
    const auto kept = emptiest_rack(candidates);
    for (auto& r : candidates)
        r.excluded_from_request = r.rack_number == kept;
}

failed_request attempt_of(const job& j, bool waited_long,
                          const placement_request& request) {
    return {j.submission.queue(), waited_long, request};
}

/// Whether this pass has shown already that a request finds no room. Units
/// with a reservation have room that others haven't, and urgent ones may take
/// room that is in use.
bool is_hopeless(const owner& o, const schedule_pass& p,
                 const waiting_unit& unit, const failed_request& now) {
    return unit.priority != 0 && !has_reservation(o, unit) &&
           std::ranges::any_of(
               p.failed_requests, [&](const failed_request& earlier) {
                   return earlier.queue == now.queue &&
                          earlier.waited_long == now.waited_long &&
                          needs_at_least(now.request, earlier.request);
               });
}

void note_failure(const owner& o, schedule_pass& p, const waiting_unit& unit,
                  failed_request attempt) {
    if (attempt.request.avoid.empty() && !has_reservation(o, unit))
        p.failed_requests.push_back(std::move(attempt));
}

/// Gives tasks their servers, and takes the room from the rest of the pass.
void assign_to(owner& o, schedule_pass& p, job& j, task& t, std::size_t at,
               int run) {
    auto& s = *p.servers[at];
    p.candidates[at].free -= need_of(step_of(j, t.name));
    if (p.candidates[at].on_probation)
        p.candidates[at].free = {};
    if (p.urgent_accelerators && priority_of(o, j) == 0)
        (*p.urgent_accelerators)[j.submission.organisation()] +=
            need_of(step_of(j, t.name)).accelerators;
    assign(o, j, t, s, run);
}

/// Whether room may be kept for work that has waited for long.
bool may_reserve(const schedule_pass& p, const job& j, const waiting_unit& unit,
                 bool waited_long) {
    return j.submission.steps(unit.step).gang() && waited_long &&
           !unit.no_payoff && p.reservation_plans_left > 0;
}

/// For work that doesn't fit now.
void make_room(owner& o, schedule_pass& p, const waiting_unit& unit, job& j,
               const placement_request& request,
               const std::vector<candidate_server>& candidates,
               bool waited_long) {
    const auto& at = j.occurrences[unit.occurrence];
    if (has_reservation(o, unit) || reclaim(o, p, j, at, unit.step, request))
        return;
    if (may_reserve(p, j, unit, waited_long))
        reserve_ahead(o, p, j, at, unit.step, candidates, request);
}

/// What a gang as a whole asks for.
placement_request request_for_gang(const owner& o, const schedule_pass& p,
                                   const job& j, const waiting_unit& unit) {
    const auto& at = j.occurrences[unit.occurrence];
    const auto& tasks = at.steps[static_cast<std::size_t>(unit.step)].tasks;
    auto request = request_for(o, j, at, unit.step);
    request.count = static_cast<int>(tasks.size());
    for (const auto& t : tasks)
        if (!t.avoid_agent.empty())
            request.avoid.insert(t.avoid_agent);
    request.prefer_recently_healthy = !request.avoid.empty();
    // A rack is wished for as long as it could hold the gang at all, also with
    // servers that are not trusted just now.
    relax_rack(o, j, unit, p.candidates, tasks.front(), request);
    relax_avoidance(p.candidates, request);
    request.healthy_only = waited(o, tasks.front()) <
                           (unit.priority == 0 ? longest_urgent_wait_for_trusted
                                               : longest_wait_for_trusted);
    return request;
}

void place_gang(owner& o, schedule_pass& p, job& j, const waiting_unit& unit) {
    auto& at = j.occurrences[unit.occurrence];
    auto& tasks = at.steps[static_cast<std::size_t>(unit.step)].tasks;
    const auto request = request_for_gang(o, p, j, unit);
    const bool waited_long = has_waited_long(o, j, unit, tasks.front());
    const auto attempt = attempt_of(j, waited_long, request);
    const bool hopeless = is_hopeless(o, p, unit, attempt);
    if (hopeless && !may_reserve(p, j, unit, waited_long))
        return;
    auto candidates = p.candidates;
    withhold_reserved(o, p, unit, candidates);
    withhold_for_urgent(o, j, unit, tasks.front(), candidates);
    if (!hopeless)
        o.run.metrics.count("placements_tried_total");
    const auto chosen = hopeless ? placement{} : place(candidates, request);
    if (chosen.empty()) {
        make_room(o, p, unit, j, request, candidates, waited_long);
        return note_failure(o, p, unit, attempt);
    }
    end_reservation(o, unit);
    const int run = std::ranges::max_element(tasks, {}, &task::run)->run;
    for (std::size_t i = 0; i < tasks.size(); ++i)
        assign_to(o, p, j, tasks[i], chosen[i], run + 1);
}

/// Tasks of a step that wait, those first that may run anywhere.
std::vector<task*> waiting_tasks(step_run& s) {
    std::vector<task*> waiting;
    for (auto& t : s.tasks)
        if (t.phase == task_phase::waiting)
            waiting.push_back(&t);
    std::stable_partition(waiting.begin(), waiting.end(),
                          [](const task* t) { return t->avoid_agent.empty(); });
    return waiting;
}

/// A probe may cost the task an attempt, so it must not be its last one.
bool may_probe(const owner& o, const job& j, const std::string& avoid) {
    return avoid.empty() && queue_of(o, j)->max_attempts > 1;
}

/// Places tasks from `next` on that avoid the same server. Returns how many.
std::size_t place_alike(owner& o, schedule_pass& p, job& j,
                        const waiting_unit& unit,
                        const std::vector<task*>& tasks, std::size_t next,
                        std::vector<candidate_server>& candidates) {
    const auto& avoid = tasks[next]->avoid_agent;
    auto request = request_for(o, j, j.occurrences[unit.occurrence], unit.step);
    if (!avoid.empty())
        request.avoid.insert(avoid);
    request.prefer_recently_healthy = !avoid.empty();
    request.may_probe = may_probe(o, j, avoid);
    relax_avoidance(p.candidates, request);
    const auto alike = std::find_if(
        tasks.begin() + static_cast<std::ptrdiff_t>(next), tasks.end(),
        [&](const task* t) { return t->avoid_agent != avoid; });
    request.count =
        static_cast<int>(alike - tasks.begin()) - static_cast<int>(next);
    o.run.metrics.count("placements_tried_total");
    const auto chosen = place_up_to(candidates, request);
    for (std::size_t i = 0; i < chosen.size(); ++i)
        assign_to(o, p, j, *tasks[next + i], chosen[i],
                  tasks[next + i]->run + 1);
    return chosen.size();
}

void place_singles(owner& o, schedule_pass& p, job& j,
                   const waiting_unit& unit) {
    auto& at = j.occurrences[unit.occurrence];
    const auto tasks =
        waiting_tasks(at.steps[static_cast<std::size_t>(unit.step)]);
    const auto& first = *tasks.front();
    const bool waited_long = has_waited_long(o, j, unit, first);
    auto request = request_for(o, j, at, unit.step);
    if (is_hopeless(o, p, unit, attempt_of(j, waited_long, request)))
        return;
    auto candidates = p.candidates;
    withhold_reserved(o, p, unit, candidates);
    withhold_for_urgent(o, j, unit, first, candidates);
    std::size_t placed = 0;
    while (placed < tasks.size()) {
        const auto n = place_alike(o, p, j, unit, tasks, placed, candidates);
        if (n == 0)
            break;
        placed += n;
    }
    if (placed == tasks.size())
        return end_reservation(o, unit);
    request = request_for(o, j, at, unit.step);
    if (tasks[placed]->avoid_agent.empty())
        note_failure(o, p, unit, attempt_of(j, waited_long, request));
    request.count = static_cast<int>(tasks.size() - placed);
    make_room(o, p, unit, j, request, candidates, waited_long);
}

} // namespace

void place_unit(owner& o, schedule_pass& p, const waiting_unit& unit) {
    auto& j = o.jobs.at(unit.job);
    if (j.submission.steps(unit.step).gang())
        place_gang(o, p, j, unit);
    else
        place_singles(o, p, j, unit);
}

} // namespace celerylift::fleet
