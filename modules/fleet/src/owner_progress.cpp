#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// How often the checkpoints of a job are written. A start that resumes loses
/// this much at most; each write is one call for up to fifteen jobs.
constexpr duration checkpoint_period{1500};

/// A running task is taken for hung once its percentage has stood still for
/// the time of several percents, and a while for the looks at it. Before
/// enough of a queue's tasks have run that time is only declared, and may be
/// ten times too short.
constexpr std::int64_t least_standstill_ms = 600;
constexpr int still_percents = 8;
constexpr int still_percents_by_estimate = 14;
/// The members of a gang begin only once all are there.
constexpr std::int64_t gathering_ms = 1000;
/// A task that has stood still elsewhere as well may just be far longer than
/// others: each time doubles its limit, up to this many times.
constexpr int most_doublings = 6;

/// A server is slow if a task there takes this many times as long as its
/// siblings on other servers. They have the same work.
constexpr double slow_beside_siblings = 2.5;
/// Without siblings: as long as this many of the longest runs of its queue, or
/// of its declared time. Jobs differ in size, all tasks of a job alike.
constexpr double slow_beside_others = 2.5;
constexpr int least_siblings = 2;

/// A task leaves a slow server if what is left would take this many times
/// longer than a new start elsewhere.
constexpr double worth_moving_factor = 1.5;
constexpr int least_samples = 4;

/// A leaving server goes on a little longer than it says; a task that needs no
/// more than this beyond is left to end.
constexpr duration overtime{500};

constexpr int least_percent_to_judge = 2;
constexpr std::int64_t least_time_to_judge_ms = 700;

/// What a running task has saved outlives its server only on record.
void keep_checkpoint(owner& o, job& j, task& t, const std::string& checkpoint) {
    if (checkpoint.empty() || checkpoint == t.checkpoint)
        return;
    t.checkpoint = checkpoint;
    if (o.run.now() < j.checkpoints_stored_at + checkpoint_period)
        return;
    j.checkpoints_stored_at = o.run.now();
    mark_changed(o, j);
}

task* find_assigned(owner& o, const server& s, const RunName& run) {
    const auto name = parse_task_name(run.task());
    auto it = name ? o.jobs.find(name->job) : o.jobs.end();
    auto* t = it == o.jobs.end() ? nullptr : find_task(it->second, *name);
    const bool here = t && t->phase == task_phase::assigned &&
                      t->run == run.run() && t->agent == s.agent;
    return here ? t : nullptr;
}

void take_progress(owner& o, server& s, task& t, int percent) {
    if (!t.seen_running) {
        o.run.journal.event(
            "run_seen",
            {{"task", to_string(t.name)}, {"run", t.run}, {"agent", s.agent}});
        t.first_seen_percent = percent;
        t.first_seen_ms = s.lists_as_of_ms;
        t.first_seen_running_at = o.run.now();
    }
    t.seen_running = true;
    t.percent = percent;
    if (percent > t.first_seen_percent &&
        run_proves_healthy(o.run.now() - t.first_seen_running_at))
        record_long_run(s.health, o.run.now());
}

bool can_be_judged(const job& j, const task& t) {
    return t.phase == task_phase::assigned && t.seen_running && !t.stopping &&
           !t.ended_in_gang && !step_of(j, t.name).lasting();
}

bool is_learned(const owner& o, const job& j) {
    const auto it = o.run_time_estimates.find(j.submission.queue());
    return it != o.run_time_estimates.end() &&
           it->second.sample_count >= least_samples &&
           it->second.expected.count() > 0;
}

std::int64_t longest_standstill_ms(const owner& o, const job& j,
                                   const task& t) {
    const int percents =
        is_learned(o, j) ? still_percents : still_percents_by_estimate;
    auto limit = least_standstill_ms +
                 expected_run_time(o, j, t.name.step).count() * percents / 100;
    if (step_of(j, t.name).gang() && t.percent == 0)
        limit += gathering_ms;
    return limit << std::min(t.stalls, most_doublings);
}

void check_standstill(owner& o, server& s, job& j, task& t,
                      std::int64_t still_ms) {
    if (t.percent >= 100 || still_ms < longest_standstill_ms(o, j, t))
        return;
    ++t.stalls;
    t.avoid_agent = t.agent;
    record_stall(s.health, o.run.now());
    o.run.journal.event(
        "run_stands_still",
        {{"task", to_string(t.name)},
         {"run", t.run},
         {"agent", s.agent},
         {"percent", t.percent},
         {"still_ms", still_ms},
         {"usual_ms", expected_run_time(o, j, t.name.step).count()}});
    stop_run(o, j, t, "it makes no progress");
}

/// How long a task would take here as a whole, in milliseconds; 0 where that
/// can't be told yet.
double whole_time(const server& s, const task& t) {
    const auto ran = s.lists_as_of_ms - t.first_seen_ms;
    const int done = t.percent - t.first_seen_percent;
    if (ran < least_time_to_judge_ms)
        return 0;
    if (done < least_percent_to_judge)
        return static_cast<double>(ran) * 100 / least_percent_to_judge;
    return static_cast<double>(ran) * 100 / done;
}

/// Tasks of the same step that run on other servers, or have run.
struct siblings {
    int there = 0;
    int timed = 0;
    double total_ms = 0; // As a whole, of the timed ones.
};

siblings siblings_of(const owner& o, const job& j, const task& t) {
    const auto& step = step_run_of(j, t.name);
    siblings found{step.timed_runs, step.timed_runs,
                   static_cast<double>(step.total_run_time.count())};
    for (const auto& other : step.tasks) {
        const auto it = o.servers.find(other.agent);
        if (other.agent == t.agent || it == o.servers.end() ||
            !can_be_judged(j, other))
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

/// Away from its data a task takes several times as long on any server.
bool is_away(const server& s, const job& j, const task& t) {
    const auto& rack = step_of(j, t.name).affinity_rack();
    return !rack.empty() && rack != s.state.rack();
}

/// What a task should take as a whole on a sound server, in milliseconds, and
/// how many times that shows a slow one; 0 where too little is known.
struct expectation {
    double whole_ms = 0;
    double slow_factor = 1;
};

expectation expected_time(const owner& o, const server& s, const job& j,
                          const task& t) {
    if (is_away(s, j, t))
        return {};
    const auto beside = siblings_of(o, j, t);
    if (beside.timed >= least_siblings)
        return {beside.total_ms / beside.timed, slow_beside_siblings};
    if (beside.there >= least_siblings || !is_learned(o, j))
        return {};
    return {
        static_cast<double>(max_expected_run_time(o, j, t.name.step).count()),
        slow_beside_others};
}

void leave_slow_server(owner& o, server& s, job& j, task& t,
                       const expectation& expected) {
    const auto left = whole_time(s, t) * (100 - t.percent) / 100;
    const auto anew =
        expected.whole_ms > 0
            ? expected.whole_ms
            : static_cast<double>(expected_run_time(o, j, t.name.step).count());
    if (t.moved_from_slow_server || left < anew * worth_moving_factor)
        return;
    t.moved_from_slow_server = true;
    t.avoid_agent = t.agent;
    o.run.journal.event("run_is_slow",
                        {{"task", to_string(t.name)},
                         {"run", t.run},
                         {"agent", s.agent},
                         {"percent", t.percent},
                         {"left_ms", static_cast<std::int64_t>(left)},
                         {"usual_ms", static_cast<std::int64_t>(anew)}});
    stop_run(o, j, t, "its server is slow");
}

/// Whether a task shows that its server is slow.
bool shows_slowness(const server& s, const task& t,
                    const expectation& expected) {
    return expected.whole_ms > 0 &&
           whole_time(s, t) >= expected.whole_ms * expected.slow_factor;
}

void check_speed(owner& o, server& s, const std::vector<task*>& tasks) {
    // All tasks of a step on this server have the same siblings elsewhere.
    std::map<const step_run*, expectation> known;
    const auto expected = [&](const task& t) -> const expectation& {
        const auto& j = o.jobs.at(t.name.job);
        const auto [it, added] = known.try_emplace(&step_run_of(j, t.name));
        if (added)
            it->second = expected_time(o, s, j, t);
        return it->second;
    };
    // Gangs are left out: they go at the pace of their slowest member.
    const auto slowest = std::ranges::find_if(tasks, [&](const task* t) {
        const auto& j = o.jobs.at(t->name.job);
        return !step_of(j, t->name).gang() && can_be_judged(j, *t) &&
               shows_slowness(s, *t, expected(*t));
    });
    if (slowest == tasks.end())
        return;
    const auto& witness = **slowest;
    if (!is_degraded(s.health, o.run.now()))
        o.run.journal.event(
            "server_is_slow",
            {{"agent", s.agent},
             {"task", to_string(witness.name)},
             {"whole_ms", static_cast<std::int64_t>(whole_time(s, witness))},
             {"expected_ms",
              static_cast<std::int64_t>(expected(witness).whole_ms)}});
    record_slow_run(s.health, o.run.now());
    for (auto* t : tasks) {
        auto& j = o.jobs.at(t->name.job);
        if (can_be_judged(j, *t))
            leave_slow_server(o, s, j, *t, expected(*t));
    }
}

/// Ends what can't be done before its server leaves, so that it goes on
/// elsewhere at once, with what it has saved. Answers days on which servers
/// are taken away at short notice: a run that goes down with its host and the
/// agent there is missed only once its lease has run out.
void evacuate(owner& o, const server& s, const std::vector<task*>& tasks) {
    const auto remaining = s.state.remaining_ms();
    if (!s.state.draining() || remaining == 0)
        return;
    for (auto* t : tasks) {
        auto& j = o.jobs.at(t->name.job);
        if (t->phase != task_phase::assigned || t->stopping || t->ended_in_gang)
            continue;
        const bool lasts = step_of(j, t->name).lasting();
        const auto left = lasts ? 0 : remaining_run_time_ms(o, s, j, *t);
        if (!lasts && left <= static_cast<double>(remaining + overtime.count()))
            continue;
        o.run.journal.event("run_evacuated",
                            {{"task", to_string(t->name)},
                             {"run", t->run},
                             {"agent", s.agent},
                             {"left_ms", static_cast<std::int64_t>(left)},
                             {"remaining_ms", remaining}});
        stop_run(o, j, *t, "its server leaves before it can be done");
    }
}

} // namespace

double remaining_run_time_ms(const owner& o, const server& s, const job& j,
                             const task& t) {
    if (const auto whole = whole_time(s, t); whole > 0)
        return whole * (100 - t.percent) / 100;
    return static_cast<double>(expected_run_time(o, j, t.name.step).count());
}

void apply_running(owner& o, server& s, const AgentReport& report) {
    s.running.assign(report.running().begin(), report.running().end());
    s.usage.stale = true;
    const bool news = report.lists_as_of_ms() > s.lists_as_of_ms;
    s.lists_as_of_ms = report.lists_as_of_ms();
    std::vector<task*> tasks;
    std::vector<std::int64_t> still_ms; // Of each of them.
    for (const auto& r : s.running) {
        auto* t = find_assigned(o, s, r.name());
        if (!t)
            continue;
        take_progress(o, s, *t, r.percent());
        keep_checkpoint(o, o.jobs.at(t->name.job), *t, r.checkpoint());
        tasks.push_back(t);
        still_ms.push_back(r.still_ms());
    }
    if (!news)
        return;
    for (std::size_t i = 0; i < tasks.size(); ++i)
        if (auto& j = o.jobs.at(tasks[i]->name.job);
            can_be_judged(j, *tasks[i]))
            check_standstill(o, s, j, *tasks[i], still_ms[i]);
    check_speed(o, s, tasks);
    evacuate(o, s, tasks);
}

} // namespace celerylift::fleet
