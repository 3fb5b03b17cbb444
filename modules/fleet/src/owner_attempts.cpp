#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// Pauses before the last attempt of a task and before the one ahead of it. A
/// server that fails all it starts takes 50 ms for that, and a large gang meets
/// one server after the other: without a pause it has no attempt left before
/// they are known. The last pause is shorter than the time in which a task must
/// be running again.
constexpr duration pause_before_last_attempt{2000};
constexpr duration pause_before_second_last_attempt{700};

} // namespace

void count_failure(owner& self, server& server, job& job, task& task) {
    const auto now = self.run.now();
    const bool excluded = is_excluded(server.health, now);
    const auto ran =
        task.seen_running ? now - task.first_seen_running_at : duration{0};
    record_failure(server.health, now, ran);
    if (is_early_failure(ran))
        record_early_failure(server.history, now);
    if (!excluded && is_excluded(server.health, now)) {
        self.run.journal.event(
            "server_excluded",
            {{"agent", server.agent},
             {"task", to_string(task.name)},
             {"failures_in_row", server.health.consecutive_failures},
             {"for_ms", (server.health.excluded_until - now).count()}});
        self.run.metrics.count("servers_excluded_total");
    }
    task.avoid_agent = task.agent;
    if (!step_of(job, task.name).gang()) {
        ++task.failures;
        task.last_failed_at = now;
        return;
    }
    // The run of a gang counts as one failure, however many members report it.
    auto& members = step_run_of(job, task.name).tasks;
    for (const auto& member : members)
        if (member.counted_failed_run == task.run)
            return;
    task.counted_failed_run = task.run;
    for (auto& member : members) {
        ++member.failures;
        member.last_failed_at = now;
    }
}

bool has_no_attempts_left(const owner& self, const job& job, const task& task) {
    const auto* queue = queue_of(self, job);
    return queue && !step_of(job, task.name).lasting() &&
           task.failures >= queue->max_attempts;
}

void fail_jobs_without_attempts_left(owner& self) {
    for (auto& [id, job] : self.jobs) {
        if (is_final(job.state))
            continue;
        for (const auto& occurrence : job.occurrences)
            for (const auto& step : occurrence.steps) {
                const auto task = std::ranges::find_if(
                    step.tasks, [&, &job = job](const auto& task) {
                        return task.phase == task_phase::waiting &&
                               has_no_attempts_left(self, job, task);
                    });
                if (task != step.tasks.end() && !is_final(job.state))
                    fail_job(self, job, *task, "it has no attempts left");
            }
    }
}

bool is_pausing(const owner& self, const job& job, const task& task) {
    // Lasting work has no limit of attempts, and its time is lost.
    if (task.failures == 0 || !self.policy.pause_after_failures ||
        step_of(job, task.name).lasting())
        return false;
    const auto* queue = queue_of(self, job);
    if (!queue)
        return false;
    const int attempts_left = queue->max_attempts - task.failures;
    const auto pause = attempts_left <= 1   ? pause_before_last_attempt
                       : attempts_left == 2 ? pause_before_second_last_attempt
                                            : duration{0};
    return self.run.now() < task.last_failed_at + pause;
}

} // namespace celerylift::fleet
