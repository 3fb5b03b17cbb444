#include "owner_internal.hpp"

#include <celerylift/fleet/names.hpp>

#include <algorithm>
#include <set>

namespace celerylift::fleet {

namespace {

/// Crashes with no other job on the server after which a task is given up.
constexpr int max_sole_crashes = 2;
/// Lasting work meets crashes with other causes as long as it runs.
constexpr int max_sole_crashes_of_lasting_work = 3;
/// Crashes and unexplained losses after which it is given up, once a server has
/// crashed with no other job there. Without such a crash, losses may all come
/// from hosts that lose power.
constexpr int max_crashes_and_losses = 4;
/// The same for a task that has always shared its servers with other jobs, once
/// two have crashed. Most such tasks are innocent, so it is as high as the
/// bound on starts allows.
constexpr int max_shared_crashes_and_losses = 5;
/// Runs of a task whose crash is known to be counted. More than can be counted,
/// because a long run clears its task but not these.
constexpr std::size_t max_remembered_runs = 8;

/// A run that has lasted this long shows that its task does not crash the
/// servers that start it. Long work meets crashes that have other causes.
constexpr duration clearing_run_time{60'000};

/// A suspect keeps other jobs off its server for this long. A task that crashes
/// its servers does so soon after its start.
constexpr duration closing_time{10'000};

/// Crashes are of one series if the time between them is less.
constexpr duration calm_time{10'000};

/// Crashes within this time have happened at once, as far as reports show.
constexpr duration max_spread_of_one_crash{1000};

task* find_task(owner& self, const RunName& run) {
    const auto name = parse_task_name(run.task());
    const auto it = name ? self.jobs.find(name->job) : self.jobs.end();
    return it == self.jobs.end() ? nullptr : find_task(it->second, *name);
}

int count_jobs(const ServerCrash& crash) {
    std::set<std::string> jobs;
    for (const auto& run : crash.active_runs())
        jobs.insert(run.task().substr(0, run.task().find('.')));
    return static_cast<int>(jobs.size());
}

/// Whether a task's current run has ended with the server. A start that was not
/// confirmed may still take effect on the next incarnation.
bool has_lost_run(const server& server, const task& task,
                  const ServerCrash& crash, int run) {
    return task.phase == task_phase::assigned && !task.ended_in_gang &&
           task.agent == server.agent && task.run == run && task.seen_running &&
           task.incarnation == crash.incarnation();
}

bool outlived_suspicion(const owner& self, const task& task) {
    return task.seen_running &&
           self.run.now() >= task.first_seen_running_at + clearing_run_time;
}

/// Whether the crash under a run has been counted, or is too old to tell.
/// Reports of different agents may arrive in any order.
bool is_counted(const task& task, int run) {
    return std::ranges::binary_search(task.crashed_runs, run) ||
           (task.crashed_runs.size() == max_remembered_runs &&
            run < task.crashed_runs.front());
}

void remember_run(task& task, int run) {
    task.crashed_runs.insert(std::ranges::upper_bound(task.crashed_runs, run),
                             run);
    if (task.crashed_runs.size() > max_remembered_runs)
        task.crashed_runs.erase(task.crashed_runs.begin());
}

void clear_counts(task& task) {
    task.crashes = 0;
    task.sole_crashes = 0;
    task.unexplained_losses = 0;
}

void extend_crash_series(owner& self) {
    const auto now = self.run.now();
    if (now > self.last_crash_at + calm_time)
        self.first_crash_at = now;
    self.last_crash_at = now;
}

void count_crash(owner& self, const server& server, job& job, task& task,
                 const ServerCrash& crash, int run) {
    remember_run(task, run);
    extend_crash_series(self);
    if (outlived_suspicion(self, task)) {
        clear_counts(task);
    } else {
        ++task.crashes;
        task.crash = crash.incarnation();
        task.jobs_of_crash = count_jobs(crash);
        task.sole_crashes += task.jobs_of_crash <= 1 ? 1 : 0;
    }
    mark_changed(self, job);
    task.crash_version = job.version;
    self.run.journal.event("task_suspected",
                           {{"task", to_string(task.name)},
                            {"run", run},
                            {"agent", server.agent},
                            {"incarnation", crash.incarnation()},
                            {"active_runs", crash.active_runs_size()},
                            {"crashes", task.crashes},
                            {"sole_crashes", task.sole_crashes},
                            {"unexplained_losses", task.unexplained_losses}});
    self.run.metrics.count("server_crashes_counted_total");
}

bool is_given_up(const job& job, const task& task) {
    const int max_sole = step_of(job, task.name).lasting()
                             ? max_sole_crashes_of_lasting_work
                             : max_sole_crashes;
    const int total = task.crashes + task.unexplained_losses;
    return task.sole_crashes >= max_sole ||
           (task.sole_crashes > 0 && total >= max_crashes_and_losses) ||
           (task.crashes > 1 && total >= max_shared_crashes_and_losses);
}

void apply_crash(owner& self, server& server, const ServerCrash& crash,
                 const RunName& run) {
    auto* task = find_task(self, run);
    if (!task || run.run() > task->run || is_final(*task))
        return;
    auto& job = self.jobs.at(task->name.job);
    // An agent repeats a crash until it is on record.
    if (!is_counted(*task, run.run()))
        count_crash(self, server, job, *task, crash, run.run());
    if (has_lost_run(server, *task, crash, run.run()))
        lose_run(self, *task, "its backend server has crashed");
    if (is_given_up(job, *task) && !is_final(job.state))
        fail_job(self, job, *task, "servers crash under it");
}

bool is_recorded(owner& self, const ServerCrash& crash) {
    return std::ranges::all_of(crash.active_runs(), [&](const auto& run) {
        const auto* task = find_task(self, run);
        return !task || self.jobs.at(task->name.job).stored_version >=
                            task->crash_version;
    });
}

} // namespace

void apply_crashes(owner& self, server& server, const AgentReport& report) {
    server.recorded_crashes.clear();
    for (const auto& crash : report.crashes()) {
        for (const auto& run : crash.active_runs())
            apply_crash(self, server, crash, run);
        if (is_recorded(self, crash))
            server.recorded_crashes.push_back(crash.incarnation());
    }
}

void count_unexplained_loss(owner& self, task& task) {
    if (is_counted(task, task.run) || is_final(task))
        return;
    if (outlived_suspicion(self, task))
        clear_counts(task);
    else
        ++task.unexplained_losses;
}

bool is_suspect(const task& task) {
    return task.crashes > 0;
}

bool crashed_at_once(const owner& self) {
    return self.last_crash_at <= self.first_crash_at + max_spread_of_one_crash;
}

const std::string& weak_suspect_of(const task& task) {
    static const std::string none;
    return task.crashes == 1 && task.sole_crashes == 0 ? task.crash : none;
}

bool closes_server(const owner& self, const task& task) {
    return is_suspect(task) &&
           (!task.seen_running ||
            self.run.now() < task.first_seen_running_at + closing_time);
}

void clear_suspect(owner& self, job& job, task& task) {
    if (!is_suspect(task) || !outlived_suspicion(self, task))
        return;
    clear_counts(task);
    invalidate_usage(self, task.agent);
    mark_changed(self, job);
}

} // namespace celerylift::fleet
