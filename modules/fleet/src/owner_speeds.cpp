#include "owner_internal.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace celerylift::fleet {

bool tells_speed(const server& server, const Step& step) {
    return !step.gang() && !step.lasting() && !step.filling() &&
           (step.affinity_rack().empty() ||
            step.affinity_rack() == server.state.rack());
}

namespace {

constexpr duration estimate_period{300};

/// An inherited estimate counts for no more runs than this, so that the own
/// runs soon outweigh it.
constexpr double max_inherited_weight = 4;

/// Complete runs that are kept for each server, on average. Four are enough to
/// tell speeds apart; twice that bridges times without independent tasks.
constexpr std::size_t runs_kept_per_server = 8;

/// Progress below this many percent tells too little.
constexpr int min_projected_percents = 5;

double log_ms(duration time) {
    return std::log(
        static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

task_name step_name(task_name name) {
    name.index = 0;
    return name;
}

/// The samples of a cell, with its servers, steps and queues numbered.
struct numbered_samples {
    std::map<std::string, std::size_t, std::less<>> servers;
    std::map<task_name, std::size_t> step_numbers;
    std::map<std::string, std::size_t> queues;
    std::vector<step_work> steps;
    std::vector<speed_sample> samples;

    void add(const timed_run& run, double weight) {
        const auto server = servers.find(run.agent);
        if (server == servers.end() || run.ran <= duration{0})
            return;
        const auto queue =
            queues.try_emplace(run.queue, queues.size()).first->second;
        const auto [step, added] =
            step_numbers.try_emplace(run.step, steps.size());
        if (added)
            steps.push_back(
                {queue, run.declared > duration{0}, log_ms(run.declared)});
        samples.push_back(
            {server->second, step->second, log_ms(run.ran), weight});
    }
};

timed_run run_of(const job& job, const task& task, duration ran) {
    return {task.agent, job.submission.queue(), step_name(task.name),
            duration{step_of(job, task.name).estimate_ms()}, ran};
}

void add_projected_runs(const server& server, numbered_samples& samples) {
    for (const auto& [name, assigned] : server.assigned) {
        const auto& task = *assigned.task_ref;
        const auto& job = *assigned.job_ref;
        const int percents = task.percent - task.first_seen_percent;
        if (task.stopping || task.ended_in_gang || !task.seen_running ||
            percents < min_projected_percents ||
            !tells_speed(server, step_of(job, name)))
            continue;
        const auto run_time = projected_run_time_ms(server, task);
        samples.add(
            run_of(job, task, duration{static_cast<std::int64_t>(run_time)}),
            weight_of_progress(percents));
    }
}

numbered_samples gather_samples(const owner& self) {
    numbered_samples samples;
    for (const auto& [agent, server] : self.servers)
        samples.servers.emplace(agent, samples.servers.size());
    for (const auto& run : self.timed_runs)
        samples.add(run, 1.0);
    for (const auto& [agent, server] : self.servers)
        if (!is_degraded(server.health, self.run.now()) &&
            !is_cold(server, self.run.now()))
            add_projected_runs(server, samples);
    return samples;
}

using speeds_by_service = std::map<std::string, speed_distribution>;

void report_speeds(owner& self, const speeds_by_service& before) {
    int known = 0;
    int differing = 0;
    for (const auto& [service, speeds] : self.speeds) {
        known += speeds.known;
        differing += speeds.differing;
        const auto earlier = before.find(service);
        const bool was_uneven =
            earlier != before.end() && earlier->second.is_uneven;
        if (speeds.is_uneven != was_uneven)
            self.run.journal.event(
                speeds.is_uneven ? "servers_uneven" : "servers_even",
                {{"service", service},
                 {"known", speeds.known},
                 {"differing", speeds.differing},
                 {"spread_percent",
                  static_cast<int>(100 * speeds.log_spread)}});
    }
    self.run.metrics.gauge("servers_of_known_speed", known);
    self.run.metrics.gauge("servers_of_other_speed", differing);
}

/// Logs a server's speed once it is known, and when it begins or ceases to
/// differ from the average.
void log_speed(const owner& self, const server& server,
               const speed_estimate& estimate) {
    if (!is_known(estimate) ||
        (is_known(server.speed) && differs(estimate) == differs(server.speed)))
        return;
    self.run.journal.event(
        "server_speed",
        {{"agent", server.agent},
         {"incarnation", server.state.incarnation()},
         {"slowness_percent",
          static_cast<int>(100 * std::exp(estimate.log_slowness))},
         {"runs", static_cast<int>(estimate.weight)},
         {"differs", differs(estimate)}});
}

} // namespace

void record_timed_run(owner& self, const server& server, const job& job,
                      const task& task, duration ran) {
    // A run that overlaps a time for which its server was slow tells nothing
    // about the speed that it has otherwise.
    if (!self.policy.use_server_speeds ||
        !tells_speed(server, step_of(job, task.name)) ||
        server.health.degraded_until > task.assigned_at ||
        server.cold_until > task.assigned_at)
        return;
    self.timed_runs.push_back(run_of(job, task, ran));
    while (self.timed_runs.size() > runs_kept_per_server * self.servers.size())
        self.timed_runs.pop_front();
}

void forget_speed(owner& self, server& server) {
    server.inherited_speed = {};
    if (std::exchange(server.speed, {}).weight == 0)
        return;
    std::erase_if(self.timed_runs, [&](const timed_run& run) {
        return run.agent == server.agent;
    });
}

void inherit_speed(owner& self, server& server, const SpeedEstimate& kept) {
    speed_estimate estimate{kept.log_slowness(), kept.weight()};
    if (!self.policy.use_server_speeds || !is_plausible(estimate))
        return;
    estimate.weight = std::min(estimate.weight, max_inherited_weight);
    server.inherited_speed = estimate;
    server.speed = estimate;
    self.speeds_estimated_at = {}; // The next pass uses it.
}

void update_speeds(owner& self) {
    if (!self.policy.use_server_speeds ||
        self.run.now() < self.speeds_estimated_at + estimate_period)
        return;
    self.speeds_estimated_at = self.run.now();
    const auto samples = gather_samples(self);
    std::vector<speed_estimate> earlier;
    for (const auto& [agent, server] : self.servers)
        earlier.push_back(server.inherited_speed);
    const auto estimates =
        estimate_speeds(samples.samples, samples.steps, earlier);
    std::size_t next = 0;
    for (auto& [agent, server] : self.servers) {
        const auto& estimate = estimates[next++];
        log_speed(self, server, estimate);
        server.speed = estimate;
    }
    std::map<std::string, std::vector<speed_estimate>> by_service;
    for (const auto& [agent, server] : self.servers)
        by_service[server.state.service()].push_back(server.speed);
    const auto before = std::exchange(self.speeds, {});
    for (const auto& [service, known] : by_service) {
        const auto earlier = before.find(service);
        self.speeds[service] = distribution_of(
            known, earlier != before.end() && earlier->second.is_uneven);
    }
    report_speeds(self, before);
}

const speed_distribution& speeds_of(const owner& self,
                                    const std::string& service) {
    static const speed_distribution unknown;
    const auto it = self.speeds.find(service);
    return it == self.speeds.end() ? unknown : it->second;
}

double expected_slowness_of(const owner& self, const std::string& agent) {
    const auto it = self.servers.find(agent);
    return it == self.servers.end()
               ? 1.0
               : expected_slowness(it->second.speed,
                                   speeds_of(self, it->second.state.service()));
}

double expected_pace(const owner& self, const job& job, const task& task) {
    if (!step_of(job, task.name).gang())
        return expected_slowness_of(self, task.agent);
    double slowest = 0;
    for (const auto& member : step_run_of(job, task.name).tasks)
        if (member.phase == task_phase::assigned)
            slowest =
                std::max(slowest, expected_slowness_of(self, member.agent));
    return slowest > 0 ? slowest : 1.0;
}

double urgent_slowness_limit(const owner& self) {
    auto limit = no_slowness_limit;
    if (!self.config)
        return limit;
    for (const auto& queue : self.config->queues)
        if (queue.priority == 0 && speeds_of(self, queue.service).is_uneven)
            limit = std::min(limit, std::max(1.0, queue.stretch));
    return limit;
}

} // namespace celerylift::fleet
