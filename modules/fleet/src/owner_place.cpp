#include "owner_internal.hpp"

#include <algorithm>
#include <utility>

namespace celerylift::fleet {

namespace {

/// How long an urgent gang waits for work on fast servers to be stopped. A slow
/// server then costs it no more than the wait.
constexpr duration max_urgent_wait_for_speed{800};

/// Stops mostly take some hundred milliseconds. The work that is planned for
/// after them has that much less time, and needs faster servers. Those that are
/// freed for it are used even if the estimates have changed meanwhile.
constexpr duration expected_stop_time{400};
constexpr double limit_share_after_stops = 0.85;

/// Batch work keeps off the emptiest rack until it has waited for this share of
/// its expected run time. Its objective is several times that run time. Urgent
/// work that finds free capacity there need not preempt, and the delay of a
/// preemption alone may make urgent work miss its objective.
constexpr int long_wait_percent = 60;

void assign(owner& self, job& job, task& task, server& server, int run) {
    task.phase = task_phase::assigned;
    task.run = run;
    task.agent = server.agent;
    task.incarnation = server.state.incarnation();
    task.assigned_at = self.run.now();
    task.started_from_scratch = task.checkpoint.empty();
    task.is_restoring = !task.started_from_scratch;
    task.ended_in_gang = false;
    task.stopping = false;
    task.seen_running = false;
    task.percent = 0;
    server.assigned[task.name] = {&job, &task};
    server.usage.stale = true;
    self.agents_to_update.insert(server.agent);
    mark_changed(self, job);
    job.write_held_until = {};
    task.assigned_version = job.version;
    job.begun = true;
    if (job.state == JOB_PENDING)
        job.state = JOB_RUNNING;
    self.run.journal.event(
        "task_assigned",
        {{"task", to_string(task.name)},
         {"run", run},
         {"agent", server.agent},
         {"waited_ms", (task.assigned_at - task.waiting_since).count()}});
    self.run.metrics.count("tasks_assigned_total");
}

bool is_for(const reservation& reservation, const waiting_unit& unit) {
    return reservation.job == unit.job && reservation.step == unit.step &&
           reservation.occurrence == static_cast<int>(unit.occurrence);
}

/// Subtracts the reservations that a unit must respect: not its own, none of a
/// lower priority, and none that is used only after the unit will have ended.
void subtract_other_reservations(const owner& self, const schedule_pass& pass,
                                 const waiting_unit& unit,
                                 std::vector<candidate_server>& candidates) {
    const auto end = self.run.now() +
                     expected_run_time(self, self.jobs.at(unit.job), unit.step);
    for (const auto& reservation : self.reservations)
        if (!is_for(reservation, unit) &&
            unit.priority >= reservation.priority &&
            (!self.policy.backfill || end >= reservation.ready_at))
            subtract_reservation(pass, reservation, candidates);
}

void end_reservation(owner& self, const waiting_unit& unit) {
    std::erase_if(self.reservations, [&](const reservation& reservation) {
        return is_for(reservation, unit);
    });
}

bool has_reservation(const owner& self, const waiting_unit& unit) {
    return std::ranges::any_of(self.reservations,
                               [&](const reservation& reservation) {
                                   return is_for(reservation, unit);
                               });
}

/// The reservation of a unit on servers that are being freed for it because
/// they are fast enough, or null.
const reservation* reservation_on_fast_servers(const owner& self,
                                               const waiting_unit& unit) {
    const auto it = std::ranges::find_if(
        self.reservations, [&](const reservation& reservation) {
            return reservation.slowness_limit < no_slowness_limit &&
                   is_for(reservation, unit);
        });
    return it == self.reservations.end() ? nullptr : &*it;
}

/// Returns the number of the rack with the most free accelerators on servers
/// that are fast enough for urgent work.
std::size_t emptiest_rack(const std::vector<candidate_server>& candidates,
                          double slowness_limit) {
    std::vector<std::int64_t> free;
    for (const auto& candidate : candidates) {
        free.resize(std::max(free.size(), candidate.rack_number + 1));
        if (candidate.slowness <= slowness_limit && !candidate.is_excluded)
            free[candidate.rack_number] += candidate.free.accelerators;
    }
    return static_cast<std::size_t>(std::ranges::max_element(free) -
                                    free.begin());
}

/// Lasting work has no run time to compare with and must run within seconds.
bool has_waited_long(const owner& self, const job& job,
                     const waiting_unit& unit, const task& first) {
    return job.submission.steps(unit.step).lasting() ||
           waiting_time(self, first) > expected_run_time(self, job, unit.step) *
                                           long_wait_percent / 100;
}

/// Whether a unit is urgent or has waited long enough to use the rack that is
/// kept free for urgent work.
bool may_use_emptiest_rack(const owner& self, const schedule_pass& pass,
                           const job& job, const waiting_unit& unit,
                           const task& first) {
    return !self.policy.keep_rack_for_urgent || unit.priority == 0 ||
           has_waited_long(self, job, unit, first) ||
           expiry_of(self, pass, job, unit.step).applies_to(first);
}

/// Excludes the emptiest rack, so that it stays free for urgent work. Servers
/// there that are too slow for urgent work remain.
void exclude_emptiest_rack(const schedule_pass& pass,
                           std::vector<candidate_server>& candidates) {
    const auto limit = pass.urgent_slowness_limit;
    const auto rack = emptiest_rack(candidates, limit);
    for (auto& candidate : candidates)
        candidate.excluded_from_request =
            candidate.rack_number == rack && candidate.slowness <= limit;
}

failed_request attempt_for(const job& job, bool may_use_emptiest_rack,
                           const placement_request& request) {
    return {job.submission.queue(), may_use_emptiest_rack, request};
}

/// Whether an earlier request of this pass shows that this one does not fit.
/// Not known for units with a reservation, which have capacity of their own,
/// nor for urgent units, which may preempt.
bool is_known_not_to_fit(const owner& self, const schedule_pass& pass,
                         const waiting_unit& unit,
                         const failed_request& attempt) {
    return unit.priority != 0 && !has_reservation(self, unit) &&
           std::ranges::any_of(
               pass.failed_requests, [&](const failed_request& earlier) {
                   return earlier.queue == attempt.queue &&
                          earlier.may_use_emptiest_rack ==
                              attempt.may_use_emptiest_rack &&
                          needs_at_least(attempt.request, earlier.request);
               });
}

void record_failed_request(const owner& self, schedule_pass& pass,
                           const waiting_unit& unit, failed_request attempt) {
    const bool excludes_servers =
        !attempt.request.avoid.empty() && !attempt.request.may_use_avoided;
    if (!excludes_servers && !has_reservation(self, unit))
        pass.failed_requests.push_back(std::move(attempt));
}

void add_occupant(candidate_server& candidate, const job& job,
                  const task& task) {
    const std::string_view id = job.submission.id();
    if (candidate.job.empty())
        candidate.job = id;
    candidate.is_shared = candidate.is_shared || candidate.job != id;
    const std::string_view crash = weak_suspect_of(task);
    candidate.crash = candidate.job_count == 0 || candidate.crash == crash
                          ? crash
                          : std::string_view{};
    if (std::exchange(candidate.last_job, id) != id)
        ++candidate.job_count;
    candidate.has_suspect = candidate.has_suspect || is_suspect(task);
}

/// Assigns a task to a candidate and subtracts its resources from what the rest
/// of the pass can use. A server on probation gets one task only.
void assign_candidate(owner& self, schedule_pass& pass, job& job, task& task,
                      std::size_t index, int run) {
    auto& server = *pass.servers[index];
    ++pass.tasks_placed;
    add_occupant(pass.candidates[index], job, task);
    const auto& step = step_of(job, task.name);
    pass.candidates[index].free -= need_of(step);
    if (tells_speed(server, step))
        pass.candidates[index].has_unknown_speed = false;
    if (pass.candidates[index].on_probation)
        pass.candidates[index].free = {};
    if (pass.urgent_accelerators && priority_of(self, job) == 0)
        (*pass.urgent_accelerators)[job.submission.organisation()] +=
            need_of(step_of(job, task.name)).accelerators;
    assign(self, job, task, server, run);
}

/// Whether capacity may be reserved for a unit. Only gangs that have waited for
/// long and can still earn a payoff get a reservation.
bool may_reserve(const owner& self, const schedule_pass& pass, const job& job,
                 const waiting_unit& unit, bool waited_long) {
    return self.policy.reserve_for_gangs &&
           job.submission.steps(unit.step).gang() && waited_long &&
           !unit.no_payoff && pass.reservation_plans_left > 0;
}

/// Handles work that does not fit now. Preempts other work if that is allowed,
/// else reserves capacity that becomes free later.
void preempt_or_reserve(owner& self, schedule_pass& pass,
                        const waiting_unit& unit, job& job,
                        const placement_request& request,
                        const std::vector<candidate_server>& candidates,
                        bool waited_long) {
    const auto& occurrence = job.occurrences[unit.occurrence];
    if (request.needs_own_servers) {
        if (!has_reservation(self, unit) && pass.reservation_plans_left > 0)
            reserve_own_servers(self, pass, job, occurrence, unit.step,
                                candidates, request);
        return;
    }
    if (has_reservation(self, unit) ||
        reclaim(self, pass, job, occurrence, unit.step, request))
        return;
    if (may_reserve(self, pass, job, unit, waited_long))
        reserve_ahead(self, pass, job, occurrence, unit.step, candidates,
                      request);
}

/// Whether an urgent gang takes only servers on which it can be in time, for
/// now.
bool insists_on_speed(const owner& self, const placement_request& request,
                      const task& first) {
    return request.by_speed == speed_order::fastest_first &&
           request.slowness_limit < no_slowness_limit &&
           waiting_time(self, first) < max_urgent_wait_for_speed;
}

/// Places an urgent gang on servers that are fast enough for it to be in time.
/// Where they are taken, preempts other work there if that costs little.
placement place_in_time(owner& self, schedule_pass& pass,
                        const waiting_unit& unit, job& job,
                        placement_request request,
                        std::vector<candidate_server>& candidates) {
    const auto& occurrence = job.occurrences[unit.occurrence];
    const auto& first =
        occurrence.steps[static_cast<std::size_t>(unit.step)].tasks.front();
    if (!insists_on_speed(self, request, first))
        return {};
    request.within_limit_only = true;
    const auto* reserved = reservation_on_fast_servers(self, unit);
    if (reserved)
        request.slowness_limit =
            std::max(request.slowness_limit,
                     reserved->slowness_limit / limit_share_after_stops);
    auto chosen = place(candidates, request);
    if (!chosen.empty() || request.needs_own_servers ||
        has_reservation(self, unit) ||
        waiting_time(self, first) + expected_stop_time >
            max_urgent_wait_for_speed)
        return chosen;
    request.slowness_limit *= limit_share_after_stops;
    reclaim(self, pass, job, occurrence, unit.step, request);
    return {};
}

/// Whether fast servers are being freed for an urgent gang. Until they are, it
/// does not take slower ones.
bool is_reclaiming(const owner& self, const waiting_unit& unit,
                   const placement_request& request, const task& first) {
    return insists_on_speed(self, request, first) &&
           reservation_on_fast_servers(self, unit);
}

void place_gang(owner& self, schedule_pass& pass, job& job,
                const waiting_unit& unit) {
    auto& occurrence = job.occurrences[unit.occurrence];
    auto& tasks = occurrence.steps[static_cast<std::size_t>(unit.step)].tasks;
    if (is_pausing(self, job, tasks.front()))
        return;
    const auto request = request_for_gang(self, pass, job, unit);
    const bool waited_long = has_waited_long(self, job, unit, tasks.front());
    const bool may_use_any_rack =
        may_use_emptiest_rack(self, pass, job, unit, tasks.front());
    const auto attempt = attempt_for(job, may_use_any_rack, request);
    const bool known_not_to_fit =
        is_known_not_to_fit(self, pass, unit, attempt);
    if (known_not_to_fit && !may_reserve(self, pass, job, unit, waited_long))
        return;
    auto candidates = pass.candidates;
    subtract_other_reservations(self, pass, unit, candidates);
    if (!may_use_any_rack)
        exclude_emptiest_rack(pass, candidates);
    if (!known_not_to_fit)
        self.run.metrics.count("placements_tried_total");
    auto chosen = place_in_time(self, pass, unit, job, request, candidates);
    if (chosen.empty() && is_reclaiming(self, unit, request, tasks.front()))
        return;
    if (chosen.empty() && !known_not_to_fit)
        chosen = place(candidates, request);
    if (chosen.empty()) {
        preempt_or_reserve(self, pass, unit, job, request, candidates,
                           waited_long);
        return record_failed_request(self, pass, unit, attempt);
    }
    end_reservation(self, unit);
    const int run = std::ranges::max_element(tasks, {}, &task::run)->run;
    for (std::size_t i = 0; i < tasks.size(); ++i)
        assign_candidate(self, pass, job, tasks[i], chosen[i], run + 1);
}

/// Returns the tasks of a step that can be started. Those whose preferences
/// have expired come first, then those that avoid no server, suspects last.
std::vector<task*> tasks_to_start(const owner& self, const job& job,
                                  const preference_expiry& expiry,
                                  step_run& step) {
    std::vector<task*> waiting;
    for (auto& task : step.tasks)
        if (task.phase == task_phase::waiting && !is_pausing(self, job, task))
            waiting.push_back(&task);
    std::ranges::stable_sort(waiting, {}, [&](const task* task) {
        return std::tuple{is_suspect(*task), !expiry.applies_to(*task),
                          !task->avoid_agent.empty()};
    });
    return waiting;
}

/// Places the tasks from `next` on that avoid the same server and are all
/// suspects or none. Returns how many were placed.
std::size_t place_group(owner& self, schedule_pass& pass, job& job,
                        const waiting_unit& unit,
                        const std::vector<task*>& tasks, std::size_t next,
                        std::vector<candidate_server>& candidates) {
    const auto request = request_for_group(self, pass, job, unit, tasks, next);
    self.run.metrics.count("placements_tried_total");
    const auto chosen = place_up_to(candidates, request);
    for (std::size_t i = 0; i < chosen.size(); ++i)
        assign_candidate(self, pass, job, *tasks[next + i], chosen[i],
                         tasks[next + i]->run + 1);
    return chosen.size();
}

void place_independent_tasks(owner& self, schedule_pass& pass, job& job,
                             const waiting_unit& unit) {
    auto& occurrence = job.occurrences[unit.occurrence];
    const auto tasks =
        tasks_to_start(self, job, expiry_of(self, pass, job, unit.step),
                       occurrence.steps[static_cast<std::size_t>(unit.step)]);
    if (tasks.empty())
        return;
    const auto& first = *tasks.front();
    const bool waited_long = has_waited_long(self, job, unit, first);
    const bool may_use_any_rack =
        may_use_emptiest_rack(self, pass, job, unit, first);
    const auto attempt_from = [&](std::size_t next) {
        auto one = request_for_group(self, pass, job, unit, tasks, next);
        one.count = 1;
        return attempt_for(job, may_use_any_rack, one);
    };
    if (!is_suspect(*tasks.back()) &&
        is_known_not_to_fit(self, pass, unit, attempt_from(0)))
        return;
    auto candidates = pass.candidates;
    subtract_other_reservations(self, pass, unit, candidates);
    if (!may_use_any_rack)
        exclude_emptiest_rack(pass, candidates);
    std::size_t placed = 0;
    while (placed < tasks.size()) {
        const auto count =
            place_group(self, pass, job, unit, tasks, placed, candidates);
        if (count == 0)
            break;
        placed += count;
    }
    if (placed == tasks.size())
        return end_reservation(self, unit);
    record_failed_request(self, pass, unit, attempt_from(placed));
    preempt_or_reserve(self, pass, unit, job,
                       request_for_group(self, pass, job, unit, tasks, placed),
                       candidates, waited_long);
}

/// Whether the preferences of a task that waits have expired.
bool applies_to_any(const preference_expiry& expiry, const step_run& step) {
    return std::ranges::any_of(step.tasks, [&](const task& task) {
        return task.phase == task_phase::waiting && expiry.applies_to(task);
    });
}

/// Gathers what decides on the servers that a unit may use in addition once its
/// preferences have expired.
void prepare_for_expired(owner& self, schedule_pass& pass, const job& job,
                         const waiting_unit& unit) {
    const auto expiry = expiry_of(self, pass, job, unit.step);
    const auto& occurrence = job.occurrences[unit.occurrence];
    if (!applies_to_any(expiry,
                        occurrence.steps[static_cast<std::size_t>(unit.step)]))
        return;
    if (pass.soon_available.empty())
        pass.soon_available = soon_available(self, pass);
    if (expiry.must_start_soon && !pass.excluded.empty())
        add_excluded_servers(pass);
}

} // namespace

void place_unit(owner& self, schedule_pass& pass, const waiting_unit& unit) {
    auto& job = self.jobs.at(unit.job);
    prepare_for_expired(self, pass, job, unit);
    if (job.submission.steps(unit.step).gang())
        place_gang(self, pass, job, unit);
    else
        place_independent_tasks(self, pass, job, unit);
}

} // namespace celerylift::fleet
