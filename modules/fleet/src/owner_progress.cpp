#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// How often the checkpoints of a job are written. A task that resumes loses at
/// most this much work. Each write is one store call for up to fifteen jobs.
constexpr duration checkpoint_period{1500};

/// A running task counts as stalled once its percentage has not changed for the
/// expected time of several percent, plus a minimum that covers the intervals
/// between polls. Until enough tasks of a queue have run, the expected time is
/// only declared, and may be ten times too short.
constexpr std::int64_t min_stall_ms = 600;
constexpr int stall_percents = 8;
constexpr int stall_percents_if_declared = 14;
/// Added for gangs, whose members begin only once all have started.
constexpr std::int64_t gang_start_ms = 1000;
/// Added for runs that restore a checkpoint before they go on.
constexpr std::int64_t restore_ms = 1000;
/// A task that has stalled on another server as well may only be far longer
/// than others. Each stall doubles its limit, up to this many times.
constexpr int max_stall_doublings = 6;

/// A server is slow if a task there takes this many times as long as the tasks
/// of the same step on other servers, which have the same amount of work.
constexpr double slow_factor_by_siblings = 2.5;
/// Without such siblings, a server is slow if a task there takes this many
/// times its maximum expected run time. Jobs of a queue differ in size, while
/// all tasks of a job are alike.
constexpr double slow_factor_by_queue = 2.5;
constexpr int min_siblings = 2;

/// A task leaves a slow server only if the rest of its run there takes this
/// many times as long as a new run elsewhere.
constexpr double min_move_factor = 1.5;
constexpr int min_samples = 4;

/// A leaving server stays a little longer than it announces. A task that needs
/// at most this much more time may finish there.
constexpr duration max_drain_overrun{500};

constexpr int min_measured_percent = 2;
constexpr std::int64_t min_measured_time_ms = 700;

/// Takes over the checkpoint of a running task. It outlives the server only
/// once it is stored, which is done at most once per period.
void record_checkpoint(owner& self, job& job, task& task,
                       const std::string& checkpoint) {
    if (checkpoint.empty() || checkpoint == task.checkpoint)
        return;
    task.checkpoint = checkpoint;
    if (self.run.now() < job.checkpoints_stored_at + checkpoint_period)
        return;
    job.checkpoints_stored_at = self.run.now();
    mark_changed(self, job);
}

task* find_assigned(owner& self, const server& server, const RunName& run) {
    const auto name = parse_task_name(run.task());
    auto it = name ? self.jobs.find(name->job) : self.jobs.end();
    auto* task = it == self.jobs.end() ? nullptr : find_task(it->second, *name);
    const bool is_assigned_here = task && task->phase == task_phase::assigned &&
                                  task->run == run.run() &&
                                  task->agent == server.agent;
    return is_assigned_here ? task : nullptr;
}

/// A run makes no progress until its checkpoint is restored. Its speed is
/// measured from the first progress on.
void follow_restore(const server& server, task& task, int percent) {
    if (!task.is_restoring)
        return;
    task.is_restoring = percent <= task.first_seen_percent;
    task.first_seen_percent = percent;
    task.first_seen_ms = server.lists_as_of_ms;
}

void apply_progress(owner& self, server& server, task& task, int percent) {
    if (!task.seen_running) {
        self.run.journal.event("run_seen", {{"task", to_string(task.name)},
                                            {"run", task.run},
                                            {"agent", server.agent}});
        task.first_seen_percent = percent;
        task.first_seen_ms = server.lists_as_of_ms;
        task.first_seen_running_at = self.run.now();
    }
    task.seen_running = true;
    task.percent = percent;
    if (percent > task.first_seen_percent &&
        run_proves_healthy(self.run.now() - task.first_seen_running_at))
        record_long_run(server.health, self.run.now());
    follow_restore(server, task, percent);
}

bool has_measurable_progress(const job& job, const task& task) {
    return task.phase == task_phase::assigned && task.seen_running &&
           !task.stopping && !task.ended_in_gang &&
           !step_of(job, task.name).lasting();
}

bool has_run_time_estimate(const owner& self, const job& job) {
    const auto it = self.run_time_estimates.find(job.submission.queue());
    return it != self.run_time_estimates.end() &&
           it->second.sample_count >= min_samples &&
           it->second.expected.count() > 0;
}

std::int64_t max_stall_ms(const owner& self, const job& job, const task& task) {
    const int percents = has_run_time_estimate(self, job)
                             ? stall_percents
                             : stall_percents_if_declared;
    auto limit =
        min_stall_ms +
        static_cast<std::int64_t>(
            static_cast<double>(
                expected_run_time(self, job, task.name.step).count()) *
            std::max(1.0, expected_pace(self, job, task)) * percents / 100);
    if (step_of(job, task.name).gang() && task.percent == 0)
        limit += gang_start_ms;
    if (task.is_restoring)
        limit += restore_ms;
    return limit << std::min(task.stalls, max_stall_doublings);
}

void check_stall(owner& self, server& server, job& job, task& task,
                 std::int64_t stalled_ms) {
    if (task.percent >= 100 || stalled_ms < min_stall_ms ||
        stalled_ms < max_stall_ms(self, job, task))
        return;
    ++task.stalls;
    task.avoid_agent = task.agent;
    record_stall(server.health, self.run.now());
    record_stall(server.history, self.run.now());
    self.run.journal.event(
        "run_stands_still",
        {{"task", to_string(task.name)},
         {"run", task.run},
         {"agent", server.agent},
         {"percent", task.percent},
         {"still_ms", stalled_ms},
         {"usual_ms", expected_run_time(self, job, task.name.step).count()}});
    stop_run(self, job, task, "it makes no progress");
}

/// Tasks of the same step that run on other servers or have finished.
struct siblings {
    int total = 0;
    int timed_count = 0; // Those with a known run time.
    /// Sum of the known run times, as they would be on an average server.
    double total_run_time_ms = 0;
};

siblings siblings_of(const owner& self, const job& job, const task& task) {
    const auto& step = step_run_of(job, task.name);
    siblings found{step.timed_runs, step.timed_runs,
                   static_cast<double>(step.total_run_time.count())};
    for (const auto& other : step.tasks) {
        const auto it = self.servers.find(other.agent);
        if (other.agent == task.agent || it == self.servers.end() ||
            !has_measurable_progress(job, other))
            continue;
        ++found.total;
        if (other.percent - other.first_seen_percent < min_measured_percent)
            continue;
        const auto run_time = projected_run_time_ms(it->second, other);
        found.timed_count += run_time > 0 ? 1 : 0;
        found.total_run_time_ms +=
            run_time / expected_slowness_of(self, other.agent);
    }
    return found;
}

/// Whether a task runs outside the rack of its data. It then takes several
/// times as long on any server.
bool is_away_from_data(const server& server, const job& job, const task& task) {
    const auto& rack = step_of(job, task.name).affinity_rack();
    return !rack.empty() && rack != server.state.rack();
}

/// The expected time of a whole run of a task on an average server, in
/// milliseconds, and the factor beyond which the task's server counts as slow.
/// The factor allows for the speed that the server is known to have. The time
/// is 0 if too little is known.
struct expectation {
    double run_time_ms = 0;
    double slow_factor = 1;
};

expectation expected_run(const owner& self, const server& server,
                         const job& job, const task& task) {
    if (is_away_from_data(server, job, task))
        return {};
    const auto others = siblings_of(self, job, task);
    const auto slowness = expected_slowness_of(self, server.agent);
    if (others.timed_count >= min_siblings)
        return {others.total_run_time_ms / others.timed_count,
                slow_factor_by_siblings * slowness};
    if (others.total >= min_siblings || !has_run_time_estimate(self, job))
        return {};
    return {static_cast<double>(
                max_expected_run_time(self, job, task.name.step).count()),
            slow_factor_by_queue * slowness};
}

void stop_if_worth_moving(owner& self, server& server, job& job, task& task,
                          const expectation& expected) {
    const auto remaining_ms =
        projected_run_time_ms(server, task) * (100 - task.percent) / 100;
    const auto new_run_ms =
        expected.run_time_ms > 0
            ? expected.run_time_ms
            : static_cast<double>(
                  expected_run_time(self, job, task.name.step).count());
    if (task.moved_from_slow_server ||
        remaining_ms < new_run_ms * min_move_factor)
        return;
    task.moved_from_slow_server = true;
    task.avoid_agent = task.agent;
    self.run.journal.event(
        "run_is_slow", {{"task", to_string(task.name)},
                        {"run", task.run},
                        {"agent", server.agent},
                        {"percent", task.percent},
                        {"left_ms", static_cast<std::int64_t>(remaining_ms)},
                        {"usual_ms", static_cast<std::int64_t>(new_run_ms)}});
    stop_run(self, job, task, "its server is slow");
}

/// Whether the progress of a task shows that its server is slow.
bool shows_slow_server(const server& server, const task& task,
                       const expectation& expected) {
    return expected.run_time_ms > 0 &&
           projected_run_time_ms(server, task) >=
               expected.run_time_ms * expected.slow_factor;
}

void check_speed(owner& self, server& server, const std::vector<task*>& tasks) {
    // Cached by step: tasks of a step on this server have the same siblings on
    // other servers.
    std::map<const step_run*, expectation> cache;
    const auto expected = [&](const task& task) -> const expectation& {
        const auto& job = self.jobs.at(task.name.job);
        const auto [it, added] =
            cache.try_emplace(&step_run_of(job, task.name));
        if (added)
            it->second = expected_run(self, server, job, task);
        return it->second;
    };
    // Gangs are skipped. They run at the pace of their slowest member.
    const auto first_slow = std::ranges::find_if(tasks, [&](const task* task) {
        const auto& job = self.jobs.at(task->name.job);
        return !step_of(job, task->name).gang() &&
               has_measurable_progress(job, *task) &&
               shows_slow_server(server, *task, expected(*task));
    });
    if (first_slow == tasks.end())
        return;
    const auto& slow_task = **first_slow;
    if (!is_degraded(server.health, self.run.now()))
        self.run.journal.event(
            "server_is_slow",
            {{"agent", server.agent},
             {"task", to_string(slow_task.name)},
             {"whole_ms", static_cast<std::int64_t>(
                              projected_run_time_ms(server, slow_task))},
             {"expected_ms",
              static_cast<std::int64_t>(expected(slow_task).run_time_ms)}});
    record_slow_run(server.health, self.run.now());
    for (auto* task : tasks) {
        auto& job = self.jobs.at(task->name.job);
        if (has_measurable_progress(job, *task))
            stop_if_worth_moving(self, server, job, *task, expected(*task));
    }
}

/// Stops runs that cannot finish before their server leaves, so that they
/// resume elsewhere at once from their checkpoints. Matters when servers are
/// taken away at short notice: a run that is lost with its host and the agent
/// there is missed only once its lease has expired.
void evacuate(owner& self, const server& server,
              const std::vector<task*>& tasks) {
    const auto server_remaining_ms = server.state.remaining_ms();
    if (!server.state.draining() || server_remaining_ms == 0)
        return;
    for (auto* task : tasks) {
        auto& job = self.jobs.at(task->name.job);
        if (task->phase != task_phase::assigned || task->stopping ||
            task->ended_in_gang)
            continue;
        const bool is_lasting = step_of(job, task->name).lasting();
        const auto remaining_ms =
            is_lasting ? 0 : remaining_run_time_ms(self, server, job, *task);
        if (!is_lasting &&
            remaining_ms <= static_cast<double>(server_remaining_ms +
                                                max_drain_overrun.count()))
            continue;
        self.run.journal.event(
            "run_evacuated",
            {{"task", to_string(task->name)},
             {"run", task->run},
             {"agent", server.agent},
             {"left_ms", static_cast<std::int64_t>(remaining_ms)},
             {"remaining_ms", server_remaining_ms}});
        stop_run(self, job, *task,
                 "its server leaves before the run can finish");
    }
}

} // namespace

double projected_run_time_ms(const server& server, const task& task) {
    const auto ran = server.lists_as_of_ms - task.first_seen_ms;
    const int done = task.percent - task.first_seen_percent;
    if (task.is_restoring || ran < min_measured_time_ms)
        return 0;
    if (done < min_measured_percent)
        return static_cast<double>(ran) * 100 / min_measured_percent;
    return static_cast<double>(ran) * 100 / done;
}

double remaining_run_time_ms(const owner& self, const server& server,
                             const job& job, const task& task) {
    if (const auto run_time = projected_run_time_ms(server, task); run_time > 0)
        return run_time * (100 - task.percent) / 100;
    return static_cast<double>(
               expected_run_time(self, job, task.name.step).count()) *
           expected_pace(self, job, task);
}

void apply_running(owner& self, server& server, const AgentReport& report) {
    server.running.assign(report.running().begin(), report.running().end());
    server.usage.stale = true;
    const bool is_newer = report.lists_as_of_ms() > server.lists_as_of_ms;
    server.lists_as_of_ms = report.lists_as_of_ms();
    std::vector<task*> tasks;
    std::vector<std::int64_t> stalled_ms; // By task.
    for (const auto& running : server.running) {
        auto* task = find_assigned(self, server, running.name());
        if (!task)
            continue;
        apply_progress(self, server, *task, running.percent());
        clear_suspect(self, self.jobs.at(task->name.job), *task);
        record_checkpoint(self, self.jobs.at(task->name.job), *task,
                          running.checkpoint());
        tasks.push_back(task);
        stalled_ms.push_back(running.still_ms());
    }
    if (!is_newer)
        return;
    for (std::size_t i = 0; i < tasks.size(); ++i)
        if (auto& job = self.jobs.at(tasks[i]->name.job);
            has_measurable_progress(job, *tasks[i]))
            check_stall(self, server, job, *tasks[i], stalled_ms[i]);
    if (self.policy.move_from_slow_servers)
        check_speed(self, server, tasks);
    if (self.policy.evacuate_leaving_servers)
        evacuate(self, server, tasks);
}

} // namespace celerylift::fleet
