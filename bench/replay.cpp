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
constexpr int domains = 4;
constexpr duration checkpoint_time{2000};
constexpr duration failing_run{2000};

/// Reservation, start and their messages.
constexpr duration start_time{50};

void at(replay& r, time_point when, std::function<void()> what) {
    r.events.emplace(when, std::move(what));
}

void schedule_now(replay& r);

void finish_job(replay& r, replay::job_record& job) {
    const auto u = static_cast<std::size_t>(job.what.job.urgency);
    r.completion_s[u].push_back(
        static_cast<double>((r.now - job.arrived).count()) / 1000);
    r.jobs.erase(job.what.job.id);
}

void judge_tasks(replay& r, const gang_state& gang, bool fails,
                 replay::job_record& job) {
    for (const auto& s : gang.shares) {
        const bool bad = fails && r.bad_workers.contains(s.worker);
        if (fails && !bad)
            continue;
        record_task(r.cell, s.worker, gang.job.id, !bad, r.now);
        r.failures_on_bad_workers += bad ? 1 : 0;
        if (bad)
            job.failed_on.insert(s.worker);
    }
}

void end_run(replay& r, gang_id id) {
    auto it = r.gangs.find(id);
    if (it == r.gangs.end())
        return; // It was stopped before.
    const auto run = it->second;
    r.gangs.erase(it);
    auto& job = r.jobs.at(run.job);
    judge_tasks(r, r.cell.gangs.at(id), run.fails, job);
    end_gang(r.cell, id, run.fails ? gang_end::failed : gang_end::completed,
             r.now);
    if (run.fails)
        enqueue(r.cell, job.what.job, job.arrived, job.failed_on);
    else
        finish_job(r, job);
    schedule_now(r);
}

void note_start(replay& r, replay::job_record& job, const gang_state& gang) {
    if (job.has_started)
        return;
    job.has_started = true;
    job.started = r.now + start_time;
    const double wait =
        static_cast<double>((job.started - job.arrived).count()) / 1000;
    const bool urgent = job.what.job.urgency == urgency::urgent;
    r.wait_s[urgent ? 1 : 0].push_back(wait);
    if (gang.use != gang_use::guaranteed)
        return;
    r.reclaim_s.push_back(wait);
    if (urgent)
        r.guaranteed_urgent_wait_s.push_back(wait);
}

void start(replay& r, const place_gang& placed) {
    const auto& gang = r.cell.gangs.at(placed.gang);

    auto& job = r.jobs.at(placed.job);
    note_start(r, job, gang);
    const bool fails = std::any_of(
        gang.shares.begin(), gang.shares.end(),
        [&](const share& s) { return r.bad_workers.contains(s.worker); });
    const auto ends = r.now + start_time + (fails ? failing_run : job.left);
    r.gangs[placed.gang] = {placed.job, ends, fails};
    at(r, ends, [&r, id = placed.gang] { end_run(r, id); });
}

void stop(replay& r, const stop_gang& stopped) {
    ++r.stopped_gangs;
    at(r, r.now + checkpoint_time, [&r, id = stopped.gang] {
        auto it = r.gangs.find(id);
        if (it == r.gangs.end())
            return;
        const auto run = it->second;
        r.gangs.erase(it);
        auto& job = r.jobs.at(run.job);
        job.left = std::max(duration{1}, run.ends - r.now);
        end_gang(r.cell, id, gang_end::stopped, r.now);
        enqueue(r.cell, job.what.job, job.arrived, job.failed_on);
        schedule_now(r);
    });
}

void schedule_now(replay& r) {
    const auto begin = std::chrono::steady_clock::now();
    const auto decisions = schedule(r.cell, r.now);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    r.decision_us.push_back(
        took.count() /
        static_cast<double>(std::max<std::size_t>(1, decisions.size())));
    for (const auto& d : decisions) {
        if (const auto* placed = std::get_if<place_gang>(&d))
            start(r, *placed);
        else
            stop(r, std::get<stop_gang>(d));
    }
}

void observe(replay& r, time_point until) {
    const auto span = static_cast<double>((until - r.last_observed).count());
    r.fragmentation_time += fragmentation(r.cell) * span;
    r.observed_time += span;
    r.last_observed = until;
}

void arrive(replay& r, const arrival& a) {
    replay::job_record job;
    job.what = a;
    job.left = a.run;
    job.arrived = r.now;
    r.jobs[a.job.id] = job;
    if (check_admission(r.cell, a.job)) {
        ++r.lost;
        r.jobs.erase(a.job.id);
        return;
    }
    enqueue(r.cell, a.job, r.now);
    schedule_now(r);
}

} // namespace

void build_cell(cell_state& cell, const replay_settings& s) {
    cell.policy = find_policy(s.policy);
    cell.fragmentation_weight = s.fragmentation_weight;
    cell.default_queue_limit = 1'000'000;
    for (int w = 0; w < s.workers; ++w) {
        const int rack = w / workers_per_rack;
        add_worker(cell,
                   {fmt::format("worker-{}", w), fmt::format("rack-{}", rack),
                    fmt::format("domain-{}", rack % domains), s.accelerators});
    }
    // Each organisation is guaranteed racks for large gangs and workers for
    // small ones.
    const int racks = s.workers / workers_per_rack;
    const int guaranteed_racks = static_cast<int>(racks * s.guaranteed);
    const int each = std::max(1, guaranteed_racks / s.organisations / 2);
    for (int o = 0; o < s.organisations; ++o) {
        organisation org;
        org.name = fmt::format("org-{}", o);
        org.guarantee = {
            {each, {workers_per_rack, s.accelerators, adjacency::rack}},
            {each * workers_per_rack, {1, s.accelerators, adjacency::worker}}};
        set_organisation(cell, org);
    }
}

void lose_domain(replay& r, int domain, bool usable) {
    for (int w : r.cell.domains[domain].workers) {
        const auto gangs = r.cell.workers[w].gangs;
        set_worker_usable(r.cell, r.cell.workers[w].spec.id, usable);
        for (gang_id id : gangs) {
            auto it = r.gangs.find(id);
            if (usable || it == r.gangs.end())
                continue;
            auto& job = r.jobs.at(it->second.job);
            r.gangs.erase(it);
            end_gang(r.cell, id, gang_end::stopped, r.now);
            enqueue(r.cell, job.what.job, job.arrived, job.failed_on);
        }
    }
    schedule_now(r);
}

void cancel_waiting(replay& r) {
    std::vector<std::string> ids;
    for (const auto& [id, waiting] : r.cell.waiting)
        ids.push_back(id);
    for (const auto& id : ids) {
        remove_waiting(r.cell, id);
        r.jobs.erase(id);
    }
    schedule_now(r);
}

void run_replay(replay& r, const replay_settings& settings,
                const std::vector<arrival>& arrivals,
                const std::vector<incident>& incidents, duration limit) {
    build_cell(r.cell, settings);
    for (const auto& a : arrivals)
        at(r, time_point{a.at}, [&r, &a] { arrive(r, a); });
    for (const auto& i : incidents)
        at(r, time_point{i.at}, [&r, &i] { i.happen(r); });
    const auto last = arrivals.empty() ? duration{0} : arrivals.back().at;
    const time_point measured{last};
    while (!r.events.empty() &&
           r.events.begin()->first <= time_point{last + limit}) {
        auto node = r.events.extract(r.events.begin());
        if (node.key() <= measured)
            observe(r, node.key());
        r.now = node.key();
        node.mapped()();
    }
    r.unfinished = static_cast<int>(r.jobs.size());
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
