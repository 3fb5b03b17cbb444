#include "owner_internal.hpp"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <utility>

namespace celerylift::fleet {

namespace {

/// A run has a weight of one in this many in the average of its queue.
constexpr int average_run_count = 5;
/// The maximum of a queue decays to its average over some tens of runs.
constexpr int max_decay_run_count = 20;

/// The stop of a gang's members mostly takes some ten milliseconds, and the
/// next pass follows at once.
constexpr duration max_write_hold{50};

void update_checkpoint(task& task, const std::string& checkpoint) {
    if (!checkpoint.empty())
        task.checkpoint = checkpoint;
}

void unassign(owner& self, task& task) {
    if (auto it = self.servers.find(task.agent); it != self.servers.end()) {
        it->second.assigned.erase(task.name);
        it->second.usage.stale = true;
    }
    self.agents_to_update.insert(task.agent);
    task.agent.clear();
    task.incarnation.clear();
    task.stopping = false;
    task.seen_running = false;
    task.percent = 0;
}

/// Handles the end of a run that leaves its task to run again, unless an
/// earlier run has succeeded.
void return_to_waiting(owner& self, task& task) {
    unassign(self, task);
    task.phase = has_succeeded(task) ? task_phase::done : task_phase::waiting;
    task.ended_in_gang = false;
    task.waiting_since = self.run.now();
    self.waiting_jobs.insert(task.name.job);
}

/// Returns a gang to waiting once no member of its run can be running any more.
/// All members then share one run number and one checkpoint.
void requeue_gang_if_ended(owner& self, step_run& step) {
    for (const auto& task : step.tasks)
        if (task.phase == task_phase::assigned && !task.ended_in_gang)
            return;
    std::string checkpoint;
    int run = 0;
    for (const auto& task : step.tasks) {
        run = std::max(run, task.run);
        if (checkpoint.empty())
            checkpoint = task.checkpoint;
    }
    for (auto& task : step.tasks) {
        if (task.phase == task_phase::assigned)
            return_to_waiting(self, task);
        task.run = run;
        task.checkpoint = checkpoint;
    }
}

/// Delays the write of a job whose urgent gang is about to start again, so that
/// its ends and its next start are written together. The servers keep the ends
/// until then.
void hold_write(owner& self, job& job) {
    if (self.policy.avoid_risky_servers && queue_of(self, job) &&
        priority_of(self, job) == 0)
        job.write_held_until = self.run.now() + max_write_hold;
}

/// Handles a gang member whose run has ended without success. Stops the others.
void resolve_member(owner& self, job& job, task& task, const char* why) {
    task.ended_in_gang = true;
    invalidate_usage(self, task.agent);
    auto& step = step_run_of(job, task.name);
    const auto ended = std::ranges::count_if(step.tasks, &task::ended_in_gang);
    // Not at each end: a member that does not end must not hold up the others.
    if (ended == 1 || ended == std::ssize(step.tasks))
        hold_write(self, job);
    for (auto& other : step.tasks)
        if (other.phase == task_phase::assigned && !other.ended_in_gang &&
            !other.stopping)
            stop_run(self, job, other, why);
    requeue_gang_if_ended(self, step);
}

/// Adds a run to the estimate of its queue. Declared times are off by up to
/// nine tenths, so observed times are preferred. They are taken as they would
/// be on an average server.
void update_run_time_estimate(owner& self, const server& server, job& job,
                              const task& task) {
    if (!task.started_from_scratch || task.phase != task_phase::assigned)
        return;
    const auto measured = self.run.now() - task.assigned_at;
    record_timed_run(self, server, job, task, measured);
    const auto ran = std::chrono::duration_cast<duration>(
        measured / expected_pace(self, job, task));
    auto& estimate = self.run_time_estimates[job.submission.queue()];
    ++estimate.sample_count;
    estimate.expected += (ran - estimate.expected) /
                         std::min(estimate.sample_count, average_run_count);
    estimate.max_expected -=
        (estimate.max_expected - estimate.expected) / max_decay_run_count;
    estimate.max_expected = std::max(estimate.max_expected, ran);
    auto& step = step_run_of(job, task.name);
    ++step.timed_runs;
    step.total_run_time += ran;
}

/// A later run than the one that succeeded keeps its server's capacity until it
/// has been stopped: its start may still take effect.
void mark_done(owner& self, job& job, task& task, int run) {
    task.completed_run = run;
    self.waiting_jobs.insert(task.name.job); // Dependent steps may be ready.
    if (task.phase == task_phase::assigned && task.run != run &&
        !task.ended_in_gang)
        return stop_run(self, job, task, "an earlier run has succeeded");
    unassign(self, task);
    task.phase = task_phase::done;
}

void handle_success(owner& self, server& server, job& job, task& task,
                    int run) {
    // Success resets the server's health, which tells whether the run may be
    // counted.
    if (run == task.run)
        update_run_time_estimate(self, server, job, task);
    record_success(server.health, self.run.now());
    if (step_of(job, task.name).lasting())
        return return_to_waiting(self, task);
    if (!step_of(job, task.name).gang())
        return mark_done(self, job, task, run);
    // All members of a gang are done when one is.
    for (auto& member : step_run_of(job, task.name).tasks)
        mark_done(self, job, member, run);
}

void handle_unsuccessful_end(owner& self, server& server, job& job, task& task,
                             RunEnd how) {
    const bool failed = how == RUN_FAILED && !has_succeeded(task);
    if (failed)
        count_failure(self, server, job, task);
    const bool job_failed = failed && has_no_attempts_left(self, job, task);
    if (step_of(job, task.name).gang())
        resolve_member(self, job, task, "another member has ended");
    else
        return_to_waiting(self, task);
    if (job_failed)
        fail_job(self, job, task, "it has no attempts left");
}

std::string name_of(RunEnd how) {
    switch (how) {
    case RUN_DONE:
        return "done";
    case RUN_FAILED:
        return "failed";
    case RUN_STOPPED:
        return "stopped";
    case RUN_LAPSED:
        return "lapsed";
    case RUN_BROKEN:
        return "broken";
    default:
        return "alone";
    }
}

/// Whether an end shows that a task is done although its run was abandoned. The
/// task then needs no further run, and one that has started is stopped.
bool is_late_success(const job& job, const task& task, const EndedTask& end) {
    return end.how() == RUN_DONE && end.name().run() <= task.run &&
           !is_final(job.state) && !is_final(task) &&
           !step_of(job, task.name).lasting();
}

} // namespace

void mark_changed(owner& self, job& job) {
    ++job.version;
    self.unwritten_jobs.insert(job.submission.id());
}

void invalidate_usage(owner& self, const std::string& agent) {
    if (auto it = self.servers.find(agent); it != self.servers.end())
        it->second.usage.stale = true;
}

const queue_config* queue_in_force(const owner& self, const job& job) {
    return self.config ? find_queue(*self.config, job.submission.queue())
                       : nullptr;
}

const queue_config* queue_of(const owner& self, const job& job) {
    if (const auto* queue = queue_in_force(self, job))
        return queue;
    return job.recorded_queue ? &*job.recorded_queue : nullptr;
}

int priority_of(const owner& self, const job& job) {
    const auto* queue = queue_of(self, job);
    return queue ? queue->priority : 0;
}

const step_run& step_run_of(const job& job, const task_name& name) {
    const auto occurrence = std::ranges::find(job.occurrences, name.occurrence,
                                              &occurrence::number);
    assert(occurrence != job.occurrences.end());
    return occurrence->steps[static_cast<std::size_t>(name.step)];
}

step_run& step_run_of(job& job, const task_name& name) {
    return const_cast<step_run&>(step_run_of(std::as_const(job), name));
}

void apply_end(owner& self, server& server, const EndedTask& end) {
    const auto name = parse_task_name(end.name().task());
    auto it = name ? self.jobs.find(name->job) : self.jobs.end();
    auto* task = it == self.jobs.end() ? nullptr : find_task(it->second, *name);
    const bool current = task && task->phase == task_phase::assigned &&
                         task->run == end.name().run() &&
                         task->agent == server.agent && !task->ended_in_gang;
    self.run.journal.event("run_ended", {{"task", end.name().task()},
                                         {"run", end.name().run()},
                                         {"agent", server.agent},
                                         {"how", name_of(end.how())},
                                         {"end", end.number()},
                                         {"current", current}});
    self.run.metrics.count(
        fmt::format("runs_ended_total{{how=\"{}\"}}", name_of(end.how())));
    const bool applies =
        current || (task && is_late_success(it->second, *task, end));
    if (!applies) {
        // The end may repeat what the end of another gang member has reported.
        // That change must be stored before the server forgets this end.
        const bool job_known = it != self.jobs.end();
        server.unstored_ends.push_back({end.number(),
                                        job_known ? name->job : "",
                                        job_known ? it->second.version : 0});
        return;
    }
    auto& job = it->second;
    update_checkpoint(*task, end.checkpoint());
    if (end.how() == RUN_DONE)
        handle_success(self, server, job, *task, end.name().run());
    else
        handle_unsuccessful_end(self, server, job, *task, end.how());
    mark_changed(self, job);
    update_state(self, job);
    server.unstored_ends.push_back(
        {end.number(), job.submission.id(), job.version});
}

void lose_run(owner& self, task& task, const char* why) {
    auto& job = self.jobs.at(task.name.job);
    const auto server = self.servers.find(task.agent);
    self.run.journal.event(
        "run_lost",
        {{"task", to_string(task.name)},
         {"run", task.run},
         {"agent", task.agent},
         {"incarnation", task.incarnation},
         {"reported_incarnation", server == self.servers.end()
                                      ? std::string{}
                                      : server->second.state.incarnation()},
         {"why", why}});
    self.run.metrics.count("runs_lost_total");
    if (step_of(job, task.name).gang())
        resolve_member(self, job, task, why);
    else
        return_to_waiting(self, task);
    mark_changed(self, job);
    update_state(self, job);
}

void lose_all_runs(owner& self, server& server, const char* why) {
    const auto copy = server.assigned;
    for (const auto& [name, assigned] : copy) {
        auto& task = *assigned.task_ref;
        if (task.phase == task_phase::assigned && task.agent == server.agent &&
            !task.ended_in_gang)
            lose_run(self, task, why);
    }
}

void stop_run(owner& self, job& job, task& task, const char* why) {
    if (task.stopping)
        return;
    task.stopping = true;
    self.agents_to_update.insert(task.agent);
    self.run.journal.event("run_stopping", {{"task", to_string(task.name)},
                                            {"run", task.run},
                                            {"agent", task.agent},
                                            {"why", why}});
    if (!step_of(job, task.name).gang())
        return;
    for (auto& other : step_run_of(job, task.name).tasks)
        if (other.phase == task_phase::assigned && !other.ended_in_gang)
            stop_run(self, job, other, why);
}

void stop_all_runs(owner& self, job& job, const char* why) {
    for (auto& occurrence : job.occurrences)
        for (auto& step : occurrence.steps)
            for (auto& task : step.tasks)
                if (task.phase == task_phase::assigned && !task.ended_in_gang)
                    stop_run(self, job, task, why);
}

void update_state(owner& self, job& job) {
    if (is_final(job.state) || !is_completed(job))
        return;
    job.state = JOB_COMPLETED;
    job.ended_unix_ms = self.run.unix_ms();
    mark_changed(self, job);
    self.run.journal.event("job_completed", {{"job", job.submission.id()}});
    self.run.metrics.count("jobs_completed_total");
}

void fail_job(owner& self, job& job, const task& task, const char* why) {
    job.state = JOB_FAILED;
    job.ended_unix_ms = self.run.unix_ms();
    mark_changed(self, job);
    self.run.journal.event("job_failed", {{"job", job.submission.id()},
                                          {"task", to_string(task.name)},
                                          {"failures", task.failures},
                                          {"crashes", task.crashes},
                                          {"why", why}});
    stop_all_runs(self, job, "the job has failed");
}

void on_job_changed(owner& self, const stored_job& stored) {
    if (self.epoch == 0 || !stored.submission)
        return;
    const auto& id = stored.submission->id();
    auto [it, added] = self.jobs.try_emplace(id);
    auto& job = it->second;
    if (added) {
        job = make_job(*stored.submission, self.run.now());
        if (stored.progress)
            restore(job, *stored.progress, stored.progress_revision,
                    self.run.now());
        if (!is_final(job.state))
            self.waiting_jobs.insert(id);
        record_missing_terms(self, job);
        record_demand(self, job);
    }
    if (!is_cancelled(stored) || job.cancelled)
        return;
    job.cancelled = true;
    if (is_final(job.state))
        return;
    job.state = JOB_CANCELLED;
    job.ended_unix_ms = self.run.unix_ms();
    mark_changed(self, job);
    self.run.journal.event("job_cancelled", {{"job", id}});
    stop_all_runs(self, job, "the job was cancelled");
}

} // namespace celerylift::fleet
