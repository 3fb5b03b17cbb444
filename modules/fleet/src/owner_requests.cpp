#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// A gang that is spread over several racks runs about three times as long. It
/// waits for a single rack for as long as it would lose by the spread, at most
/// this long.
constexpr int cross_rack_slowdown = 3;
constexpr duration max_rack_wait{12'000};

/// A gang runs at the pace of its slowest member and fails if any member fails.
/// It waits this long for healthy servers before it uses degraded ones. Urgent
/// gangs have less time.
constexpr duration max_wait_for_healthy{3000};
constexpr duration max_urgent_wait_for_healthy{800};

/// A crash must have hit this many jobs for them to share servers. Servers for
/// each of fewer jobs find the one at fault with fewer starts.
constexpr int min_jobs_that_share = 6;

/// How long a suspect waits for servers of its own before it shares others. On
/// a service that is mostly idle a task must be running again after 3 s, and
/// lasting work on any.
constexpr duration max_wait_for_own_servers{6000};
constexpr duration max_short_wait_for_own_servers{2500};

/// How long a unit insists on the servers that it prefers. What would make one
/// of them available may never happen: a probation ends only with a run there.
/// On a service that is mostly idle a task must be running 3 s after its turn,
/// and lasting work on any.
constexpr duration max_preference_wait{6000};
constexpr duration max_short_preference_wait{1500};

/// A server on which all runs fail at once is always free, and would take the
/// attempts of work that sound servers will have room for. A unit waits for
/// room that comes within the first of these times, but not longer than the
/// second, and than the third if it must be running after 3 s and the free
/// capacity suffices for it twice over.
constexpr duration max_run_to_wait_for{12'000};
constexpr duration max_wait_for_sound_servers{30'000};
constexpr duration max_short_wait_for_sound_servers{2500};

/// Sets which speeds a request prefers. Nothing while servers run alike.
void prefer_speeds(const owner& self, const job& job,
                   const occurrence& occurrence, int step,
                   placement_request& request) {
    const auto& speeds = speeds_of(self, request.service);
    if (!speeds.is_uneven)
        return;
    const bool is_urgent = priority_of(self, job) == 0;
    request.by_speed =
        is_urgent ? speed_order::fastest_first : speed_order::slowest_first;
    request.slowness_limit = slowness_limit_of(self, job, occurrence);
    const auto& spec = job.submission.steps(step);
    request.explores_speeds = !is_urgent && !spec.gang() && !spec.lasting() &&
                              !spec.filling() &&
                              request.slowness_limit > slowest_expected(speeds);
}

/// Whether under half of a service's processors or accelerators are in use.
bool is_mostly_idle(const schedule_pass& pass, const std::string& service) {
    const auto it = pass.reporting.find(service);
    if (it == pass.reporting.end())
        return true;
    const auto& [total, free, servers] = it->second;
    return free.millicores * 2 > total.millicores ||
           free.accelerators * 2 > total.accelerators;
}

/// Whether the tasks of a step must be running within 3 s.
bool must_start_soon(const owner& self, const schedule_pass& pass,
                     const job& job, int step) {
    return job.submission.steps(step).lasting() ||
           is_mostly_idle(pass, queue_of(self, job)->service);
}

/// Lets weak suspects of a crash share servers, half of the jobs that it hit on
/// each. Another crash then hits at most half of them.
void allow_shared_servers(const owner& self, const task& task,
                          placement_request& request) {
    if (!crashed_at_once(self) || task.jobs_of_crash < min_jobs_that_share)
        return;
    request.crash = weak_suspect_of(task);
    request.max_jobs_of_crash = task.jobs_of_crash / 2;
}

/// Whether a suspect may share servers at once: a member of an urgent gang that
/// a single crash has hit, together with other jobs. Such suspects are mostly
/// innocent, and the gang would be late. Another crash ends the exemption.
bool is_exempt_from_own_servers(const owner& self, const job& job,
                                const task& task) {
    return self.policy.avoid_risky_servers && priority_of(self, job) == 0 &&
           step_of(job, task.name).gang() && !weak_suspect_of(task).empty();
}

/// Drops the preference for a single rack where no rack could hold the gang or
/// the gang has waited long enough.
void relax_rack(const owner& self, const job& job, const waiting_unit& unit,
                const std::vector<candidate_server>& candidates,
                const task& first, placement_request& request) {
    const auto time_lost =
        expected_run_time(self, job, unit.step) * (cross_rack_slowdown - 1);
    if (request.same_rack &&
        (waiting_time(self, first) >
             std::min<duration>(time_lost, max_rack_wait) ||
         !could_fit(candidates, request)))
        request.same_rack = false;
}

/// Allows the servers to avoid if the request would not fit elsewhere even on
/// an idle fleet. Otherwise the job waits for another server, so that it does
/// not spend its last attempt where it failed before.
void relax_avoidance(const std::vector<candidate_server>& candidates,
                     placement_request& request) {
    if (request.avoid.empty() || request.may_use_avoided)
        return;
    auto single = request;
    single.count = 1;
    request.may_use_avoided =
        !could_fit(candidates, request.same_rack ? request : single);
}

/// Whether sound servers could hold a request once the runs that end soon have
/// ended.
bool will_fit_on_sound_servers(const schedule_pass& pass,
                               placement_request request) {
    request.same_rack = false;
    return could_fit(pass.soon_available, request);
}

/// Sets whether a request may use the servers that it excludes because runs
/// have failed there, after the preferences of its unit have expired. Lasting
/// work has no limit of attempts.
void allow_doubtful_servers(const schedule_pass& pass, bool lasting,
                            bool must_start_soon, duration waited,
                            placement_request& request) {
    const bool may_wait = !lasting && waited < max_wait_for_sound_servers &&
                          will_fit_on_sound_servers(pass, request);
    const bool has_room =
        must_start_soon && has_ample_room(pass.candidates, request);
    const bool is_due = has_room && waited >= max_short_wait_for_sound_servers;
    request.may_use_excluded = has_room && !may_wait;
    request.may_probe = request.may_probe || !may_wait || is_due;
    request.may_use_avoided = !may_wait || is_due;
}

/// Whether a task is to be tried on a server on probation. That may cost it an
/// attempt, so it must have one to spare.
bool may_probe(const owner& self, const job& job, const std::string& avoid) {
    const auto* queue = queue_of(self, job);
    return avoid.empty() && queue && queue->max_attempts > 1;
}

} // namespace

duration waiting_time(const owner& self, const task& task) {
    return self.run.now() - task.waiting_since;
}

std::vector<candidate_server> soon_available(const owner& self,
                                             const schedule_pass& pass) {
    auto candidates = pass.candidates;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& server = *pass.servers[i];
        for (const auto& [name, assigned] : server.assigned) {
            const auto& job = *assigned.job_ref;
            const auto& step = step_of(job, name);
            if (step.lasting() ||
                remaining_run_time_ms(self, server, job, *assigned.task_ref) >
                    static_cast<double>(max_run_to_wait_for.count()))
                candidates[i].capacity -= need_of(step);
        }
    }
    return candidates;
}

placement_request request_for(const owner& self, const job& job,
                              const occurrence& occurrence, int step) {
    const auto& spec = job.submission.steps(step);
    placement_request request;
    request.job = job.submission.id();
    request.service = queue_of(self, job)->service;
    request.each = need_of(spec);
    request.packing = packing_costs(self, request.service);
    request.required_label = spec.required_label();
    request.preferred_rack = spec.affinity_rack();
    request.max_per_server = spec.anti_affinity();
    request.same_rack = spec.gang() && spec.same_rack();
    prefer_speeds(self, job, occurrence, step, request);
    if (request.max_per_server == 0)
        return request;
    std::map<std::string, int> running;
    for (const auto& task :
         occurrence.steps[static_cast<std::size_t>(step)].tasks)
        if (task.phase == task_phase::assigned)
            ++running[task.agent];
    request.running.assign(running.begin(), running.end());
    return request;
}

bool needs_own_servers(const owner& self, const schedule_pass& pass,
                       const job& job, const task& task) {
    if (!is_suspect(task) || is_exempt_from_own_servers(self, job, task))
        return false;
    return waiting_time(self, task) <
           (must_start_soon(self, pass, job, task.name.step)
                ? max_short_wait_for_own_servers
                : max_wait_for_own_servers);
}

preference_expiry expiry_of(const owner& self, const schedule_pass& pass,
                            const job& job, int step) {
    const bool is_short = must_start_soon(self, pass, job, step);
    return {self.run.now() -
                (is_short ? max_short_preference_wait : max_preference_wait),
            is_short};
}

placement_request request_for_gang(const owner& self, const schedule_pass& pass,
                                   const job& job, const waiting_unit& unit) {
    const auto& occurrence = job.occurrences[unit.occurrence];
    const auto& tasks =
        occurrence.steps[static_cast<std::size_t>(unit.step)].tasks;
    auto request = request_for(self, job, occurrence, unit.step);
    request.count = static_cast<int>(tasks.size());
    for (const auto& task : tasks) {
        if (!task.avoid_agent.empty())
            request.avoid.insert(task.avoid_agent);
        request.needs_own_servers = request.needs_own_servers ||
                                    needs_own_servers(self, pass, job, task);
    }
    if (std::ranges::all_of(tasks, [&](const task& task) {
            return weak_suspect_of(task) == weak_suspect_of(tasks.front());
        }))
        allow_shared_servers(self, tasks.front(), request);
    request.prefer_recently_healthy = !request.avoid.empty();
    request.last_failed_at = tasks.front().last_failed_at;
    const auto expiry = expiry_of(self, pass, job, unit.step);
    const bool expired = expiry.applies_to(tasks.front());
    if (expired)
        allow_doubtful_servers(pass, job.submission.steps(unit.step).lasting(),
                               expiry.must_start_soon,
                               waiting_time(self, tasks.front()), request);
    request.prefer_proven = true;
    // However many members fail there, the run costs the gang one attempt.
    request.fills_servers_on_probation = true;
    // A single rack is preferred as long as one could hold the gang, degraded
    // servers included.
    relax_rack(self, job, unit, pass.candidates, tasks.front(), request);
    relax_avoidance(pass.candidates, request);
    request.healthy_only =
        !expired && waiting_time(self, tasks.front()) <
                        (unit.priority == 0 ? max_urgent_wait_for_healthy
                                            : max_wait_for_healthy);
    request.expected_run = expected_run_time(self, job, unit.step);
    request.prefer_low_risk =
        self.policy.avoid_risky_servers && unit.priority == 0;
    return request;
}

placement_request request_for_group(const owner& self,
                                    const schedule_pass& pass, const job& job,
                                    const waiting_unit& unit,
                                    const std::vector<task*>& tasks,
                                    std::size_t next) {
    const auto& first = *tasks[next];
    auto request =
        request_for(self, job, job.occurrences[unit.occurrence], unit.step);
    if (!first.avoid_agent.empty())
        request.avoid.insert(first.avoid_agent);
    request.prefer_recently_healthy = !first.avoid_agent.empty();
    request.last_failed_at = first.last_failed_at;
    const auto expiry = expiry_of(self, pass, job, unit.step);
    const bool expired = expiry.applies_to(first);
    request.prefer_proven = !may_probe(self, job, first.avoid_agent);
    request.may_probe = !request.prefer_proven;
    if (expired && (request.prefer_proven || expiry.must_start_soon))
        allow_doubtful_servers(pass, job.submission.steps(unit.step).lasting(),
                               expiry.must_start_soon,
                               waiting_time(self, first), request);
    request.needs_own_servers = needs_own_servers(self, pass, job, first);
    allow_shared_servers(self, first, request);
    relax_avoidance(pass.candidates, request);
    const auto group_end = std::find_if(
        tasks.begin() + static_cast<std::ptrdiff_t>(next), tasks.end(),
        [&](const task* task) {
            return task->avoid_agent != first.avoid_agent ||
                   expiry.applies_to(*task) != expired ||
                   weak_suspect_of(*task) != weak_suspect_of(first) ||
                   needs_own_servers(self, pass, job, *task) !=
                       request.needs_own_servers;
        });
    request.count =
        static_cast<int>(group_end - tasks.begin()) - static_cast<int>(next);
    return request;
}

} // namespace celerylift::fleet
