#include "replay.hpp"

#include <celerylift/kernel/estimates.hpp>
#include <celerylift/kernel/fragmentation.hpp>
#include <celerylift/kernel/guarantees.hpp>
#include <celerylift/kernel/policy.hpp>
#include <celerylift/kernel/queue.hpp>
#include <celerylift/kernel/schedule.hpp>
#include <celerylift/kernel/workers.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace celerylift::bench {

using namespace kernel;

namespace {

constexpr int workers_per_rack = 3;
constexpr int domain_count = 4;
constexpr duration checkpoint_time{2000};
constexpr duration failing_run{2000};

/// Time to reserve and start a gang, including the messages.
constexpr duration start_time{50};

void schedule_event(replay& state, time_point when,
                    std::function<void()> action) {
    state.events.emplace(when, std::move(action));
}

void schedule_now(replay& state);

void finish_job(replay& state, replay::job_record& job) {
    const auto u = static_cast<std::size_t>(job.source.job.urgency);
    state.completion_s[u].push_back(
        static_cast<double>((state.now - job.arrived_at).count()) / 1000);
    state.jobs.erase(job.source.job.id);
}

void record_task_results(replay& state, const gang_state& gang, bool fails,
                         replay::job_record& job) {
    for (const auto& s : gang.shares) {
        const bool bad = fails && state.bad_workers.contains(s.worker);
        if (fails && !bad)
            continue;
        record_task(state.cell, s.worker, gang.job.id, !bad, state.now);
        state.failures_on_bad_workers += bad ? 1 : 0;
        if (bad)
            job.failed_on.insert(s.worker);
    }
}

void end_run(replay& state, gang_id id) {
    auto it = state.gangs.find(id);
    if (it == state.gangs.end())
        return; // The gang was stopped before.
    const auto run = it->second;
    state.gangs.erase(it);
    auto& job = state.jobs.at(run.job);
    record_task_results(state, state.cell.gangs.at(id), run.fails, job);
    end_gang(state.cell, id, run.fails ? gang_end::failed : gang_end::completed,
             state.now);
    if (run.fails)
        enqueue(state.cell, job.source.job, job.arrived_at, job.failed_on);
    else
        finish_job(state, job);
    schedule_now(state);
}

void record_start(replay& state, replay::job_record& job,
                  const gang_state& gang) {
    if (job.has_started)
        return;
    job.has_started = true;
    job.started_at = state.now + start_time;
    const double wait =
        static_cast<double>((job.started_at - job.arrived_at).count()) / 1000;
    const bool urgent = job.source.job.urgency == urgency::urgent;
    state.wait_s[urgent ? 1 : 0].push_back(wait);
    if (gang.use != gang_use::guaranteed)
        return;
    state.guaranteed_wait_s.push_back(wait);
    if (urgent)
        state.guaranteed_urgent_wait_s.push_back(wait);
}

void start(replay& state, const place_gang& placed) {
    const auto& gang = state.cell.gangs.at(placed.gang);

    auto& job = state.jobs.at(placed.job);
    record_start(state, job, gang);
    const bool fails = std::any_of(
        gang.shares.begin(), gang.shares.end(),
        [&](const share& s) { return state.bad_workers.contains(s.worker); });
    const auto ends_at =
        state.now + start_time + (fails ? failing_run : job.remaining_run);
    state.gangs[placed.gang] = {placed.job, ends_at, fails};
    schedule_event(state, ends_at,
                   [&state, id = placed.gang] { end_run(state, id); });
}

void stop(replay& state, const stop_gang& stopped) {
    ++state.stopped_gangs;
    schedule_event(
        state, state.now + checkpoint_time, [&state, id = stopped.gang] {
            auto it = state.gangs.find(id);
            if (it == state.gangs.end())
                return;
            const auto run = it->second;
            state.gangs.erase(it);
            auto& job = state.jobs.at(run.job);
            job.remaining_run = std::max(duration{1}, run.ends_at - state.now);
            end_gang(state.cell, id, gang_end::stopped, state.now);
            enqueue(state.cell, job.source.job, job.arrived_at, job.failed_on);
            schedule_now(state);
        });
}

void schedule_now(replay& state) {
    const auto begin = std::chrono::steady_clock::now();
    const auto decisions = schedule(state.cell, state.now);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    state.decision_us.push_back(
        took.count() /
        static_cast<double>(std::max<std::size_t>(1, decisions.size())));
    for (const auto& d : decisions) {
        if (const auto* placed = std::get_if<place_gang>(&d))
            start(state, *placed);
        else
            stop(state, std::get<stop_gang>(d));
    }
}

void observe_fragmentation(replay& state, time_point until) {
    const auto span =
        static_cast<double>((until - state.last_observed).count());
    state.fragmentation_time += fragmentation(state.cell) * span;
    state.observed_time += span;
    state.last_observed = until;
}

void submit_arrival(replay& state, const arrival& submitted) {
    replay::job_record job;
    job.source = submitted;
    job.remaining_run = submitted.actual_run;
    job.arrived_at = state.now;
    state.jobs[submitted.job.id] = job;
    if (check_admission(state.cell, submitted.job)) {
        ++state.rejected;
        state.jobs.erase(submitted.job.id);
        return;
    }
    enqueue(state.cell, submitted.job, state.now);
    schedule_now(state);
}

} // namespace

void build_cell(cell_state& cell, const replay_settings& settings) {
    cell.policy = find_policy(settings.policy);
    cell.fragmentation_weight = settings.fragmentation_weight;
    cell.default_queue_limit = 1'000'000;
    for (int w = 0; w < settings.workers; ++w) {
        const int rack = w / workers_per_rack;
        add_worker(cell,
                   {fmt::format("worker-{}", w), fmt::format("rack-{}", rack),
                    fmt::format("domain-{}", rack % domain_count),
                    settings.accelerators});
    }
    // Each organisation has guaranteed racks for large gangs and guaranteed
    // workers for small gangs.
    const int racks = settings.workers / workers_per_rack;
    const int guaranteed_racks = static_cast<int>(racks * settings.guaranteed);
    const int blocks_per_shape =
        std::max(1, guaranteed_racks / settings.organisations / 2);
    for (int o = 0; o < settings.organisations; ++o) {
        organisation org;
        org.name = fmt::format("org-{}", o);
        org.guarantee = {
            {blocks_per_shape,
             {workers_per_rack, settings.accelerators, adjacency::rack}},
            {blocks_per_shape * workers_per_rack,
             {1, settings.accelerators, adjacency::worker}}};
        set_organisation(cell, org);
    }
}

void set_domain_usable(replay& state, int domain, bool usable) {
    for (int w : state.cell.domains[domain].workers) {
        const auto gangs = state.cell.workers[w].gangs;
        set_worker_usable(state.cell, state.cell.workers[w].spec.id, usable);
        for (gang_id id : gangs) {
            auto it = state.gangs.find(id);
            if (usable || it == state.gangs.end())
                continue;
            auto& job = state.jobs.at(it->second.job);
            state.gangs.erase(it);
            end_gang(state.cell, id, gang_end::stopped, state.now);
            enqueue(state.cell, job.source.job, job.arrived_at, job.failed_on);
        }
    }
    schedule_now(state);
}

void cancel_waiting(replay& state) {
    std::vector<std::string> ids;
    for (const auto& [id, waiting] : state.cell.waiting)
        ids.push_back(id);
    for (const auto& id : ids) {
        remove_waiting(state.cell, id);
        state.jobs.erase(id);
    }
    schedule_now(state);
}

void run_replay(replay& state, const replay_settings& settings,
                const std::vector<arrival>& arrivals,
                const std::vector<incident>& incidents, duration limit) {
    build_cell(state.cell, settings);
    for (const auto& a : arrivals)
        schedule_event(state, time_point{a.at},
                       [&state, &a] { submit_arrival(state, a); });
    for (const auto& i : incidents)
        schedule_event(state, time_point{i.at},
                       [&state, &i] { i.apply(state); });
    const auto last = arrivals.empty() ? duration{0} : arrivals.back().at;
    const time_point last_arrival_at{last};
    while (!state.events.empty() &&
           state.events.begin()->first <= time_point{last + limit}) {
        auto node = state.events.extract(state.events.begin());
        if (node.key() <= last_arrival_at)
            observe_fragmentation(state, node.key());
        state.now = node.key();
        node.mapped()();
    }
    state.unfinished = static_cast<int>(state.jobs.size());
}

double mean(const std::vector<double>& values) {
    if (values.empty())
        return 0;
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(values.size());
}

double quantile(std::vector<double> values, double q) {
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = std::lround(q * static_cast<double>(values.size() - 1));
    return values[static_cast<std::size_t>(at)];
}

} // namespace celerylift::bench
