#include <celerylift/fleet/jobs.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace celerylift::fleet {

namespace {

task_phase from_record(TaskPhase phase) {
    switch (phase) {
    case TASK_ASSIGNED:
        return task_phase::assigned;
    case TASK_DONE:
        return task_phase::done;
    case TASK_FAILED:
        return task_phase::failed;
    default:
        return task_phase::waiting;
    }
}

TaskPhase to_record(task_phase phase) {
    switch (phase) {
    case task_phase::assigned:
        return TASK_ASSIGNED;
    case task_phase::done:
        return TASK_DONE;
    case task_phase::failed:
        return TASK_FAILED;
    case task_phase::waiting:
        break;
    }
    return TASK_WAITING;
}

occurrence make_occurrence(const Submission& submission, int number,
                           time_point now) {
    occurrence result;
    result.number = number;
    for (int step = 0; step < submission.steps_size(); ++step) {
        step_run run;
        for (int index = 0; index < submission.steps(step).count(); ++index) {
            task waiting_task;
            waiting_task.name = {submission.id(), number, step, index};
            waiting_task.waiting_since = now;
            run.tasks.push_back(std::move(waiting_task));
        }
        result.steps.push_back(std::move(run));
    }
    return result;
}

bool is_recurring(const Submission& submission) {
    return submission.occurrences() > 0;
}

bool has_terms_of(const Submission& submission, const queue_config& queue) {
    return submission.has_terms() &&
           from_record(submission.terms(), queue.name) == queue;
}

bool never_started(const task& task) {
    return task.phase == task_phase::waiting && task.run == 0;
}

} // namespace

job make_job(const Submission& submission, time_point now) {
    job result;
    result.submission = submission;
    if (submission.has_terms())
        result.recorded_queue =
            from_record(submission.terms(), submission.queue());
    result.first_seen_at = now;
    if (!is_recurring(submission))
        result.occurrences.push_back(make_occurrence(submission, 0, now));
    return result;
}

bool add_due_occurrences(job& job, std::int64_t unix_ms, time_point now) {
    const auto& submission = job.submission;
    if (!is_recurring(submission) || is_final(job.state))
        return false;
    const auto before = job.occurrences.size();
    int next = job.occurrences.empty() ? 0 : job.occurrences.back().number + 1;
    for (; next < submission.occurrences(); ++next) {
        if (unix_ms <
            submission.first_start_unix_ms() + next * submission.interval_ms())
            break;
        job.occurrences.push_back(make_occurrence(submission, next, now));
    }
    return job.occurrences.size() > before;
}

void restore(job& job, const Progress& progress, std::int64_t revision,
             time_point now) {
    job.record_revision = revision;
    job.state = progress.state();
    job.begun = progress.begun();
    job.ended_unix_ms = progress.ended_unix_ms();
    if (progress.has_terms())
        job.recorded_queue =
            from_record(progress.terms(), job.submission.queue());
    for (const auto& record : progress.tasks()) {
        while (is_recurring(job.submission) &&
               (job.occurrences.empty() ||
                job.occurrences.back().number < record.occurrence()))
            job.occurrences.push_back(make_occurrence(
                job.submission,
                job.occurrences.empty() ? 0 : job.occurrences.back().number + 1,
                now));
        auto* task = find_task(job, {job.submission.id(), record.occurrence(),
                                     record.step(), record.index()});
        if (!task)
            continue;
        task->phase = from_record(record.phase());
        task->run = record.run();
        task->failures = record.failures();
        task->crashes = record.crashes();
        task->sole_crashes = record.sole_crashes();
        task->unexplained_losses = record.unexplained_losses();
        task->crashed_runs.assign(record.crashed_runs().begin(),
                                  record.crashed_runs().end());
        // A record of an earlier version has the last run only.
        if (task->crashed_runs.empty() && record.crashed_run() > 0)
            task->crashed_runs.push_back(record.crashed_run());
        task->agent = record.agent();
        task->incarnation = record.incarnation();
        task->completed_run = record.completed_run();
        task->counted_failed_run = record.counted_failed_run();
        task->stopping =
            task->phase == task_phase::assigned && has_succeeded(*task);
        task->checkpoint = record.checkpoint();
        task->avoid_agent = record.avoid_agent();
        task->assigned_at = now;
    }
}

Progress to_record(const job& job) {
    Progress record;
    if (job.recorded_queue &&
        !has_terms_of(job.submission, *job.recorded_queue))
        *record.mutable_terms() = to_record(*job.recorded_queue);
    record.set_state(job.state);
    record.set_begun(job.begun);
    record.set_ended_unix_ms(job.ended_unix_ms);
    for (const auto& occurrence : job.occurrences)
        for (const auto& step : occurrence.steps)
            for (const auto& task : step.tasks) {
                if (never_started(task))
                    continue;
                auto* out = record.add_tasks();
                out->set_occurrence(task.name.occurrence);
                out->set_step(task.name.step);
                out->set_index(task.name.index);
                out->set_phase(to_record(task.phase));
                out->set_run(task.run);
                out->set_failures(task.failures);
                out->set_crashes(task.crashes);
                out->set_sole_crashes(task.sole_crashes);
                out->set_unexplained_losses(task.unexplained_losses);
                if (!task.crashed_runs.empty())
                    out->set_crashed_run(task.crashed_runs.back());
                out->mutable_crashed_runs()->Assign(task.crashed_runs.begin(),
                                                    task.crashed_runs.end());
                out->set_completed_run(task.completed_run);
                out->set_counted_failed_run(task.counted_failed_run);
                out->set_checkpoint(task.checkpoint);
                out->set_avoid_agent(task.avoid_agent);
                if (task.phase != task_phase::assigned)
                    continue;
                out->set_agent(task.agent);
                out->set_incarnation(task.incarnation);
            }
    return record;
}

bool is_final(JobState state) {
    return state == JOB_COMPLETED || state == JOB_FAILED ||
           state == JOB_CANCELLED;
}

bool is_final(const task& task) {
    return has_succeeded(task) || task.phase == task_phase::failed;
}

bool has_succeeded(const task& task) {
    return task.phase == task_phase::done || task.completed_run != 0;
}

bool is_done(const step_run& step) {
    return std::ranges::all_of(step.tasks,
                               [](const task& t) { return has_succeeded(t); });
}

bool is_ready(const job& job, const occurrence& occurrence, int step) {
    const auto& after = job.submission.steps(step).after();
    return std::ranges::all_of(after, [&](int earlier) {
        return is_done(occurrence.steps[static_cast<std::size_t>(earlier)]);
    });
}

bool is_completed(const job& job) {
    const int expected =
        is_recurring(job.submission) ? job.submission.occurrences() : 1;
    if (static_cast<int>(job.occurrences.size()) < expected)
        return false;
    return std::ranges::all_of(job.occurrences, [](const occurrence& o) {
        return std::ranges::all_of(o.steps, is_done);
    });
}

const task* find_task(const job& job, const task_name& name) {
    const auto found = std::ranges::find(job.occurrences, name.occurrence,
                                         &occurrence::number);
    if (found == job.occurrences.end() || name.step < 0 ||
        name.step >= static_cast<int>(found->steps.size()))
        return nullptr;
    const auto& tasks = found->steps[static_cast<std::size_t>(name.step)].tasks;
    if (name.index < 0 || name.index >= static_cast<int>(tasks.size()))
        return nullptr;
    return &tasks[static_cast<std::size_t>(name.index)];
}

task* find_task(job& job, const task_name& name) {
    return const_cast<task*>(find_task(std::as_const(job), name));
}

resources need_of(const Step& step) {
    auto need = from_record(step.each());
    // A filling step uses only processor time that other tasks leave unused.
    if (step.filling())
        need.millicores = 0;
    return need;
}

const Step& step_of(const job& job, const task_name& name) {
    assert(name.step < job.submission.steps_size());
    return job.submission.steps(name.step);
}

} // namespace celerylift::fleet
