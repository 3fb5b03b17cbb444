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
constexpr std::int64_t least_standstill_ms = 600;
constexpr int still_percents = 8;
constexpr int still_percents_by_estimate = 14;
/// Added for gangs, whose members begin only once all have started.
constexpr std::int64_t gathering_ms = 1000;
/// A task that has stalled on another server as well may only be far longer
/// than others. Each stall doubles its limit, up to this many times.
constexpr int most_doublings = 6;

/// A server is slow if a task there takes this many times as long as the tasks
/// of the same step on other servers, which have the same amount of work.
constexpr double slow_beside_siblings = 2.5;
/// Without such siblings, a server is slow if a task there takes this many
/// times its maximum expected run time. Jobs of a queue differ in size, while
/// all tasks of a job are alike.
constexpr double slow_beside_others = 2.5;
constexpr int least_siblings = 2;

/// A task leaves a slow server only if the rest of its run there takes this
/// many times as long as a new run elsewhere.
constexpr double worth_moving_factor = 1.5;
constexpr int least_samples = 4;

/// A leaving server stays a little longer than it announces. A task that needs
/// at most this much more time may finish there.
constexpr duration overtime{500};

constexpr int least_percent_to_judge = 2;
constexpr std::int64_t least_time_to_judge_ms = 700;

/// Takes over the checkpoint of a running task. It outlives the server only
/// once it is stored, which is done at most once per period.
void keep_checkpoint(owner& self, job& job, task& task,
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
    const bool here = task && task->phase == task_phase::assigned &&
                      task->run == run.run() && task->agent == server.agent;
    return here ? task : nullptr;
}

void take_progress(owner& self, server& server, task& task, int percent) {
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
}

bool can_be_judged(const job& job, const task& task) {
    return task.phase == task_phase::assigned && task.seen_running &&
           !task.stopping && !task.ended_in_gang &&
           !step_of(job, task.name).lasting();
}

bool is_learned(const owner& self, const job& job) {
    const auto it = self.run_time_estimates.find(job.submission.queue());
    return it != self.run_time_estimates.end() &&
           it->second.sample_count >= least_samples &&
           it->second.expected.count() > 0;
}

std::int64_t longest_standstill_ms(const owner& self, const job& job,
                                   const task& task) {
    const int percents =
        is_learned(self, job) ? still_percents : still_percents_by_estimate;
    auto limit =
        least_standstill_ms +
        expected_run_time(self, job, task.name.step).count() * percents / 100;
    if (step_of(job, task.name).gang() && task.percent == 0)
        limit += gathering_ms;
    return limit << std::min(task.stalls, most_doublings);
}

void check_standstill(owner& self, server& server, job& job, task& task,
                      std::int64_t still_ms) {
    if (task.percent >= 100 ||
        still_ms < longest_standstill_ms(self, job, task))
        return;
    ++task.stalls;
    task.avoid_agent = task.agent;
    record_stall(server.health, self.run.now());
    self.run.journal.event(
        "run_stands_still",
        {{"task", to_string(task.name)},
         {"run", task.run},
         {"agent", server.agent},
         {"percent", task.percent},
         {"still_ms", still_ms},
         {"usual_ms", expected_run_time(self, job, task.name.step).count()}});
    stop_run(self, job, task, "it makes no progress");
}

/// The projected time of a whole run of a task on its server, in milliseconds.
/// 0 if that cannot be estimated yet.
double whole_time(const server& server, const task& task) {
    const auto ran = server.lists_as_of_ms - task.first_seen_ms;
    const int done = task.percent - task.first_seen_percent;
    if (ran < least_time_to_judge_ms)
        return 0;
    if (done < least_percent_to_judge)
        return static_cast<double>(ran) * 100 / least_percent_to_judge;
    return static_cast<double>(ran) * 100 / done;
}

/// Tasks of the same step that run on other servers or have finished.
struct siblings {
    int there = 0;
    int timed = 0;       // Those with a known run time.
    double total_ms = 0; // Sum of the known run times.
};

siblings siblings_of(const owner& self, const job& job, const task& task) {
    const auto& step = step_run_of(job, task.name);
    siblings found{step.timed_runs, step.timed_runs,
                   static_cast<double>(step.total_run_time.count())};
    for (const auto& other : step.tasks) {
        const auto it = self.servers.find(other.agent);
        if (other.agent == task.agent || it == self.servers.end() ||
            !can_be_judged(job, other))
            continue;
        ++found.there;
        if (other.percent - other.first_seen_percent < least_percent_to_judge)
            continue;
        const auto time = whole_time(it->second, other);
        found.timed += time > 0 ? 1 : 0;
        found.total_ms += time;
    }
    return found;
}

/// Whether a task runs outside the rack of its data. It then takes several
/// times as long on any server.
bool is_away(const server& server, const job& job, const task& task) {
    const auto& rack = step_of(job, task.name).affinity_rack();
    return !rack.empty() && rack != server.state.rack();
}

/// The expected time of a whole run of a task on a healthy server, in
/// milliseconds, and the factor beyond which a server counts as slow. The time
/// is 0 if too little is known.
struct expectation {
    double whole_ms = 0;
    double slow_factor = 1;
};

expectation expected_time(const owner& self, const server& server,
                          const job& job, const task& task) {
    if (is_away(server, job, task))
        return {};
    const auto beside = siblings_of(self, job, task);
    if (beside.timed >= least_siblings)
        return {beside.total_ms / beside.timed, slow_beside_siblings};
    if (beside.there >= least_siblings || !is_learned(self, job))
        return {};
    return {static_cast<double>(
                max_expected_run_time(self, job, task.name.step).count()),
            slow_beside_others};
}

void leave_slow_server(owner& self, server& server, job& job, task& task,
                       const expectation& expected) {
    const auto left = whole_time(server, task) * (100 - task.percent) / 100;
    const auto anew =
        expected.whole_ms > 0
            ? expected.whole_ms
            : static_cast<double>(
                  expected_run_time(self, job, task.name.step).count());
    if (task.moved_from_slow_server || left < anew * worth_moving_factor)
        return;
    task.moved_from_slow_server = true;
    task.avoid_agent = task.agent;
    self.run.journal.event("run_is_slow",
                           {{"task", to_string(task.name)},
                            {"run", task.run},
                            {"agent", server.agent},
                            {"percent", task.percent},
                            {"left_ms", static_cast<std::int64_t>(left)},
                            {"usual_ms", static_cast<std::int64_t>(anew)}});
    stop_run(self, job, task, "its server is slow");
}

/// Whether the progress of a task shows that its server is slow.
bool shows_slowness(const server& server, const task& task,
                    const expectation& expected) {
    return expected.whole_ms > 0 &&
           whole_time(server, task) >= expected.whole_ms * expected.slow_factor;
}

void check_speed(owner& self, server& server, const std::vector<task*>& tasks) {
    // Cached by step: tasks of a step on this server have the same siblings on
    // other servers.
    std::map<const step_run*, expectation> known;
    const auto expected = [&](const task& task) -> const expectation& {
        const auto& job = self.jobs.at(task.name.job);
        const auto [it, added] =
            known.try_emplace(&step_run_of(job, task.name));
        if (added)
            it->second = expected_time(self, server, job, task);
        return it->second;
    };
    // Gangs are skipped. They run at the pace of their slowest member.
    const auto slowest = std::ranges::find_if(tasks, [&](const task* task) {
        const auto& job = self.jobs.at(task->name.job);
        return !step_of(job, task->name).gang() && can_be_judged(job, *task) &&
               shows_slowness(server, *task, expected(*task));
    });
    if (slowest == tasks.end())
        return;
    const auto& witness = **slowest;
    if (!is_degraded(server.health, self.run.now()))
        self.run.journal.event(
            "server_is_slow",
            {{"agent", server.agent},
             {"task", to_string(witness.name)},
             {"whole_ms",
              static_cast<std::int64_t>(whole_time(server, witness))},
             {"expected_ms",
              static_cast<std::int64_t>(expected(witness).whole_ms)}});
    record_slow_run(server.health, self.run.now());
    for (auto* task : tasks) {
        auto& job = self.jobs.at(task->name.job);
        if (can_be_judged(job, *task))
            leave_slow_server(self, server, job, *task, expected(*task));
    }
}

/// Stops runs that cannot finish before their server leaves, so that they
/// resume elsewhere at once from their checkpoints. Matters when servers are
/// taken away at short notice: a run that is lost with its host and the agent
/// there is missed only once its lease has expired.
void evacuate(owner& self, const server& server,
              const std::vector<task*>& tasks) {
    const auto remaining = server.state.remaining_ms();
    if (!server.state.draining() || remaining == 0)
        return;
    for (auto* task : tasks) {
        auto& job = self.jobs.at(task->name.job);
        if (task->phase != task_phase::assigned || task->stopping ||
            task->ended_in_gang)
            continue;
        const bool lasts = step_of(job, task->name).lasting();
        const auto left =
            lasts ? 0 : remaining_run_time_ms(self, server, job, *task);
        if (!lasts && left <= static_cast<double>(remaining + overtime.count()))
            continue;
        self.run.journal.event("run_evacuated",
                               {{"task", to_string(task->name)},
                                {"run", task->run},
                                {"agent", server.agent},
                                {"left_ms", static_cast<std::int64_t>(left)},
                                {"remaining_ms", remaining}});
        stop_run(self, job, *task,
                 "its server leaves before the run can finish");
    }
}

} // namespace

double remaining_run_time_ms(const owner& self, const server& server,
                             const job& job, const task& task) {
    if (const auto whole = whole_time(server, task); whole > 0)
        return whole * (100 - task.percent) / 100;
    return static_cast<double>(
        expected_run_time(self, job, task.name.step).count());
}

void apply_running(owner& self, server& server, const AgentReport& report) {
    server.running.assign(report.running().begin(), report.running().end());
    server.usage.stale = true;
    const bool news = report.lists_as_of_ms() > server.lists_as_of_ms;
    server.lists_as_of_ms = report.lists_as_of_ms();
    std::vector<task*> tasks;
    std::vector<std::int64_t> still_ms; // By task.
    for (const auto& running : server.running) {
        auto* task = find_assigned(self, server, running.name());
        if (!task)
            continue;
        take_progress(self, server, *task, running.percent());
        keep_checkpoint(self, self.jobs.at(task->name.job), *task,
                        running.checkpoint());
        tasks.push_back(task);
        still_ms.push_back(running.still_ms());
    }
    if (!news)
        return;
    for (std::size_t i = 0; i < tasks.size(); ++i)
        if (auto& job = self.jobs.at(tasks[i]->name.job);
            can_be_judged(job, *tasks[i]))
            check_standstill(self, server, job, *tasks[i], still_ms[i]);
    check_speed(self, server, tasks);
    evacuate(self, server, tasks);
}

} // namespace celerylift::fleet
