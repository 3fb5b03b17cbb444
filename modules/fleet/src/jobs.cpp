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
    occurrence o;
    o.number = number;
    for (int s = 0; s < submission.steps_size(); ++s) {
        step_run run;
        for (int i = 0; i < submission.steps(s).count(); ++i) {
            task t;
            t.name = {submission.id(), number, s, i};
            t.waiting_since = now;
            run.tasks.push_back(std::move(t));
        }
        o.steps.push_back(std::move(run));
    }
    return o;
}

bool is_recurring(const Submission& s) {
    return s.occurrences() > 0;
}

bool is_untouched(const task& t) {
    return t.phase == task_phase::waiting && t.run == 0;
}

} // namespace

job make_job(const Submission& submission, time_point now) {
    job j;
    j.submission = submission;
    j.first_seen_at = now;
    if (!is_recurring(submission))
        j.occurrences.push_back(make_occurrence(submission, 0, now));
    return j;
}

bool add_due_occurrences(job& j, std::int64_t unix_ms, time_point now) {
    const auto& s = j.submission;
    if (!is_recurring(s) || is_final(j.state))
        return false;
    const auto before = j.occurrences.size();
    int next = j.occurrences.empty() ? 0 : j.occurrences.back().number + 1;
    for (; next < s.occurrences(); ++next) {
        if (unix_ms < s.first_start_unix_ms() + next * s.interval_ms())
            break;
        j.occurrences.push_back(make_occurrence(s, next, now));
    }
    return j.occurrences.size() > before;
}

void restore(job& j, const Progress& progress, std::int64_t revision,
             time_point now) {
    j.record_revision = revision;
    j.state = progress.state();
    j.begun = progress.begun();
    j.ended_unix_ms = progress.ended_unix_ms();
    for (const auto& record : progress.tasks()) {
        while (is_recurring(j.submission) &&
               (j.occurrences.empty() ||
                j.occurrences.back().number < record.occurrence()))
            j.occurrences.push_back(make_occurrence(
                j.submission,
                j.occurrences.empty() ? 0 : j.occurrences.back().number + 1,
                now));
        auto* t = find_task(j, {j.submission.id(), record.occurrence(),
                                record.step(), record.index()});
        if (!t)
            continue;
        t->phase = from_record(record.phase());
        t->run = record.run();
        t->failures = record.failures();
        t->agent = record.agent();
        t->incarnation = record.incarnation();
        t->checkpoint = record.checkpoint();
        t->avoid_agent = record.avoid_agent();
        t->assigned_at = now;
    }
}

Progress to_record(const job& j) {
    Progress record;
    record.set_state(j.state);
    record.set_begun(j.begun);
    record.set_ended_unix_ms(j.ended_unix_ms);
    for (const auto& o : j.occurrences)
        for (const auto& s : o.steps)
            for (const auto& t : s.tasks) {
                if (is_untouched(t))
                    continue;
                auto* out = record.add_tasks();
                out->set_occurrence(t.name.occurrence);
                out->set_step(t.name.step);
                out->set_index(t.name.index);
                out->set_phase(to_record(t.phase));
                out->set_run(t.run);
                out->set_failures(t.failures);
                out->set_checkpoint(t.checkpoint);
                out->set_avoid_agent(t.avoid_agent);
                if (t.phase != task_phase::assigned)
                    continue;
                out->set_agent(t.agent);
                out->set_incarnation(t.incarnation);
            }
    return record;
}

bool is_final(JobState state) {
    return state == JOB_COMPLETED || state == JOB_FAILED ||
           state == JOB_CANCELLED;
}

bool is_final(const task& t) {
    return t.phase == task_phase::done || t.phase == task_phase::failed;
}

bool is_done(const step_run& s) {
    return std::ranges::all_of(
        s.tasks, [](const task& t) { return t.phase == task_phase::done; });
}

bool is_ready(const job& j, const occurrence& o, int step) {
    const auto& after = j.submission.steps(step).after();
    return std::ranges::all_of(after, [&](int earlier) {
        return is_done(o.steps[static_cast<std::size_t>(earlier)]);
    });
}

bool is_completed(const job& j) {
    const int owed =
        is_recurring(j.submission) ? j.submission.occurrences() : 1;
    if (static_cast<int>(j.occurrences.size()) < owed)
        return false;
    return std::ranges::all_of(j.occurrences, [](const occurrence& o) {
        return std::ranges::all_of(o.steps, is_done);
    });
}

const task* find_task(const job& j, const task_name& name) {
    const auto o =
        std::ranges::find(j.occurrences, name.occurrence, &occurrence::number);
    if (o == j.occurrences.end() || name.step < 0 ||
        name.step >= static_cast<int>(o->steps.size()))
        return nullptr;
    const auto& tasks = o->steps[static_cast<std::size_t>(name.step)].tasks;
    if (name.index < 0 || name.index >= static_cast<int>(tasks.size()))
        return nullptr;
    return &tasks[static_cast<std::size_t>(name.index)];
}

task* find_task(job& j, const task_name& name) {
    return const_cast<task*>(find_task(std::as_const(j), name));
}

resources need_of(const Step& step) {
    auto need = from_record(step.each());
    // A filling step runs on what others leave unused.
    if (step.filling())
        need.millicores = 0;
    return need;
}

const Step& step_of(const job& j, const task_name& name) {
    assert(name.step < j.submission.steps_size());
    return j.submission.steps(name.step);
}

} // namespace celerylift::fleet
