#include "owner_internal.hpp"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <utility>

namespace celerylift::fleet {

namespace {

/// A run counts for this share of what is learned.
constexpr int learning_steps = 5;
/// The longest run of a queue is forgotten over some tens of runs.
constexpr int forgetting_steps = 20;

void assign_checkpoint(task& t, const std::string& checkpoint) {
    if (!checkpoint.empty())
        t.checkpoint = checkpoint;
}

void release(owner& o, task& t) {
    if (auto it = o.servers.find(t.agent); it != o.servers.end()) {
        it->second.assigned.erase(t.name);
        it->second.usage.stale = true;
    }
    o.agents_to_update.insert(t.agent);
    t.agent.clear();
    t.incarnation.clear();
    t.stopping = false;
    t.seen_running = false;
    t.percent = 0;
}

void wait_again(owner& o, task& t) {
    release(o, t);
    t.phase = task_phase::waiting;
    t.ended_in_gang = false;
    t.waiting_since = o.run.now();
    o.waiting_jobs.insert(t.name.job);
}

/// Once no member of a gang's run can be at work, the gang waits again.
void settle_gang(owner& o, step_run& s) {
    for (const auto& t : s.tasks)
        if (t.phase == task_phase::assigned && !t.ended_in_gang)
            return;
    std::string checkpoint;
    int run = 0;
    for (const auto& t : s.tasks) {
        run = std::max(run, t.run);
        if (checkpoint.empty())
            checkpoint = t.checkpoint;
    }
    for (auto& t : s.tasks) {
        if (t.phase == task_phase::assigned)
            wait_again(o, t);
        t.run = run;
        t.checkpoint = checkpoint;
    }
}

/// One member of a gang has ended other than done.
void resolve_member(owner& o, job& j, task& t, const char* why) {
    t.ended_in_gang = true;
    invalidate_usage(o, t.agent);
    auto& s = step_run_of(j, t.name);
    for (auto& other : s.tasks)
        if (other.phase == task_phase::assigned && !other.ended_in_gang &&
            !other.stopping)
            stop_run(o, j, other, why);
    settle_gang(o, s);
}

void count_failure(owner& o, server& s, job& j, task& t) {
    const auto now = o.run.now();
    const bool excluded = is_excluded(s.health, now);
    record_failure(s.health, now,
                   t.seen_running ? now - t.first_seen_running_at
                                  : duration{0});
    if (!excluded && is_excluded(s.health, now)) {
        o.run.journal.event(
            "server_excluded",
            {{"agent", s.agent},
             {"task", to_string(t.name)},
             {"failures_in_row", s.health.consecutive_failures},
             {"for_ms", (s.health.excluded_until - now).count()}});
        o.run.metrics.count("servers_excluded_total");
    }
    t.avoid_agent = t.agent;
    if (!step_of(j, t.name).gang()) {
        ++t.failures;
        return;
    }
    // A gang's run fails once, however many of its members report it.
    auto& members = step_run_of(j, t.name).tasks;
    for (const auto& member : members)
        if (member.counted_failed_run == t.run)
            return;
    t.counted_failed_run = t.run;
    for (auto& member : members)
        ++member.failures;
}

bool has_failed_for_good(const owner& o, const job& j, const task& t) {
    const auto* queue = queue_of(o, j);
    return queue && !step_of(j, t.name).lasting() &&
           t.failures >= queue->max_attempts;
}

/// Declared times are off by up to nine tenths; what ran tells more.
void learn_run(owner& o, job& j, const task& t) {
    if (!t.started_from_scratch || t.phase != task_phase::assigned)
        return;
    const auto ran = o.run.now() - t.assigned_at;
    auto& learned = o.run_time_estimates[j.submission.queue()];
    ++learned.sample_count;
    learned.expected += (ran - learned.expected) /
                        std::min(learned.sample_count, learning_steps);
    learned.max_expected -=
        (learned.max_expected - learned.expected) / forgetting_steps;
    learned.max_expected = std::max(learned.max_expected, ran);
    auto& s = step_run_of(j, t.name);
    ++s.timed_runs;
    s.total_run_time += ran;
}

void finish_as_done(owner& o, task& t, int run) {
    release(o, t);
    t.phase = task_phase::done;
    t.completed_run = run;
    o.waiting_jobs.insert(t.name.job); // For the steps behind it.
}

void end_done(owner& o, server& s, job& j, task& t, int run) {
    record_success(s.health, o.run.now());
    learn_run(o, j, t);
    if (step_of(j, t.name).lasting())
        return wait_again(o, t);
    if (!step_of(j, t.name).gang())
        return finish_as_done(o, t, run);
    // The members of a gang are done together.
    for (auto& member : step_run_of(j, t.name).tasks)
        finish_as_done(o, member, run);
}

void end_otherwise(owner& o, server& s, job& j, task& t, RunEnd how) {
    if (how == RUN_FAILED)
        count_failure(o, s, j, t);
    const bool hopeless = how == RUN_FAILED && has_failed_for_good(o, j, t);
    if (step_of(j, t.name).gang())
        resolve_member(o, j, t, "another member has ended");
    else
        wait_again(o, t);
    if (!hopeless)
        return;
    j.state = JOB_FAILED;
    j.ended_unix_ms = o.run.unix_ms();
    o.run.journal.event("job_failed", {{"job", j.submission.id()},
                                       {"task", to_string(t.name)},
                                       {"failures", t.failures}});
    stop_all_runs(o, j, "the job has failed");
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

/// Whether an end tells that a task is done although its run was given up.
/// The work needs no further run then, and one that has begun is stopped.
bool is_late_success(const job& j, const task& t, const EndedTask& end) {
    return end.how() == RUN_DONE && end.name().run() <= t.run &&
           !is_final(j.state) && !is_final(t) && !step_of(j, t.name).lasting();
}

} // namespace

void mark_changed(owner& o, job& j) {
    ++j.version;
    o.unwritten_jobs.insert(j.submission.id());
}

void invalidate_usage(owner& o, const std::string& agent) {
    if (auto it = o.servers.find(agent); it != o.servers.end())
        it->second.usage.stale = true;
}

const queue_config* queue_of(const owner& o, const job& j) {
    return o.config ? find_queue(*o.config, j.submission.queue()) : nullptr;
}

int priority_of(const owner& o, const job& j) {
    const auto* queue = queue_of(o, j);
    return queue ? queue->priority : 0;
}

const step_run& step_run_of(const job& j, const task_name& name) {
    const auto at =
        std::ranges::find(j.occurrences, name.occurrence, &occurrence::number);
    assert(at != j.occurrences.end());
    return at->steps[static_cast<std::size_t>(name.step)];
}

step_run& step_run_of(job& j, const task_name& name) {
    return const_cast<step_run&>(step_run_of(std::as_const(j), name));
}

void apply_end(owner& o, server& s, const EndedTask& end) {
    const auto name = parse_task_name(end.name().task());
    auto it = name ? o.jobs.find(name->job) : o.jobs.end();
    auto* t = it == o.jobs.end() ? nullptr : find_task(it->second, *name);
    const bool current = t && t->phase == task_phase::assigned &&
                         t->run == end.name().run() && t->agent == s.agent &&
                         !t->ended_in_gang;
    o.run.journal.event("run_ended", {{"task", end.name().task()},
                                      {"run", end.name().run()},
                                      {"agent", s.agent},
                                      {"how", name_of(end.how())},
                                      {"end", end.number()},
                                      {"current", current}});
    o.run.metrics.count(
        fmt::format("runs_ended_total{{how=\"{}\"}}", name_of(end.how())));
    const bool counts = current || (t && is_late_success(it->second, *t, end));
    if (!counts) {
        // It may tell what another member's end has told: that must be stored
        // too before this one is forgotten.
        const bool known = it != o.jobs.end();
        s.unstored_ends.push_back({end.number(), known ? name->job : "",
                                   known ? it->second.version : 0});
        return;
    }
    auto& j = it->second;
    assign_checkpoint(*t, end.checkpoint());
    if (end.how() == RUN_DONE)
        end_done(o, s, j, *t, end.name().run());
    else
        end_otherwise(o, s, j, *t, end.how());
    mark_changed(o, j);
    update_state(o, j);
    s.unstored_ends.push_back({end.number(), j.submission.id(), j.version});
}

void lose_run(owner& o, task& t, const char* why) {
    auto& j = o.jobs.at(t.name.job);
    o.run.journal.event("run_lost", {{"task", to_string(t.name)},
                                     {"run", t.run},
                                     {"agent", t.agent},
                                     {"why", why}});
    o.run.metrics.count("runs_lost_total");
    if (step_of(j, t.name).gang())
        resolve_member(o, j, t, why);
    else
        wait_again(o, t);
    mark_changed(o, j);
    update_state(o, j);
}

void lose_all_runs(owner& o, server& s, const char* why) {
    const auto held = s.assigned;
    for (const auto& [name, h] : held) {
        auto& t = *h.task_ref;
        if (t.phase == task_phase::assigned && t.agent == s.agent &&
            !t.ended_in_gang)
            lose_run(o, t, why);
    }
}

void stop_run(owner& o, job& j, task& t, const char* why) {
    if (t.stopping)
        return;
    t.stopping = true;
    o.agents_to_update.insert(t.agent);
    o.run.journal.event("run_stopping", {{"task", to_string(t.name)},
                                         {"run", t.run},
                                         {"agent", t.agent},
                                         {"why", why}});
    if (!step_of(j, t.name).gang())
        return;
    for (auto& other : step_run_of(j, t.name).tasks)
        if (other.phase == task_phase::assigned && !other.ended_in_gang)
            stop_run(o, j, other, why);
}

void stop_all_runs(owner& o, job& j, const char* why) {
    for (auto& at : j.occurrences)
        for (auto& s : at.steps)
            for (auto& t : s.tasks)
                if (t.phase == task_phase::assigned && !t.ended_in_gang)
                    stop_run(o, j, t, why);
}

void update_state(owner& o, job& j) {
    if (is_final(j.state) || !is_completed(j))
        return;
    j.state = JOB_COMPLETED;
    j.ended_unix_ms = o.run.unix_ms();
    mark_changed(o, j);
    o.run.journal.event("job_completed", {{"job", j.submission.id()}});
    o.run.metrics.count("jobs_completed_total");
}

void on_job_changed(owner& o, const stored_job& stored) {
    if (o.epoch == 0 || !stored.submission)
        return;
    const auto& id = stored.submission->id();
    auto [it, added] = o.jobs.try_emplace(id);
    auto& j = it->second;
    if (added) {
        j = make_job(*stored.submission, o.run.now());
        if (stored.progress)
            restore(j, *stored.progress, stored.progress_revision, o.run.now());
        if (!is_final(j.state))
            o.waiting_jobs.insert(id);
    }
    if (!stored.cancelled || j.cancelled)
        return;
    j.cancelled = true;
    if (is_final(j.state))
        return;
    j.state = JOB_CANCELLED;
    j.ended_unix_ms = o.run.unix_ms();
    mark_changed(o, j);
    o.run.journal.event("job_cancelled", {{"job", id}});
    stop_all_runs(o, j, "the job was cancelled");
}

} // namespace celerylift::fleet
