#include "owner_internal.hpp"

#include <celerylift/fleet/names.hpp>
#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace celerylift::fleet {

namespace {

/// How long jobs that have ended stay known; see the callers' interface.
constexpr std::int64_t ended_job_life_ms = 150'000;

constexpr duration reserve_for_clocks{300};

/// Changes of this time are decided together.
constexpr duration gathering_time{2};

/// Between two passes the owner does other work for this many times as long
/// as a pass takes: whatever waits, leases of running work are extended.
constexpr int pause_per_pass = 3;

bool is_of_current_life(const server& s, const task& t) {
    return t.incarnation == s.state.incarnation();
}

void take_gone(owner& o, server& s, const GoneRun& gone) {
    const auto name = parse_task_name(gone.name().task());
    auto it = name ? o.jobs.find(name->job) : o.jobs.end();
    auto* t = it == o.jobs.end() ? nullptr : find_task(it->second, *name);
    if (!t || t->phase != task_phase::assigned || t->agent != s.agent ||
        t->run != gone.name().run() || t->ended_in_gang)
        return;
    if (!t->stopping)
        t->avoid_agent = s.agent;
    o.run.metrics.count("starts_refused_total");
    lose_run(o, *t, gone.reason().c_str());
}

bool names_run(const AgentReport& report, const task& t) {
    const auto is_it = [&](const auto& listed) {
        return listed.name().run() == t.run &&
               listed.name().task() == to_string(t.name);
    };
    return std::ranges::any_of(report.running(), is_it) ||
           std::ranges::any_of(report.ended(), is_it);
}

/// A run that was assigned to an earlier life of its server, or to one that
/// has left.
void follow_restart(owner& o, const AgentReport& report, task& t) {
    if (report.server().departed())
        return lose_run(o, t, "its backend server has left");
    // A start may reach the next life, which has the same id.
    if (names_run(report, t)) {
        t.incarnation = report.server().incarnation();
        return;
    }
    if (t.seen_running)
        return lose_run(o, t, "its backend server has restarted");
    // It may still be on its way there: it must be barred first.
    t.incarnation = report.server().incarnation();
    stop_run(o, o.jobs.at(t.name.job), t,
             "its backend server has restarted before it was seen there");
}

void take_incarnation(owner& o, server& s, const AgentReport& report) {
    const auto& state = report.server();
    if (state.incarnation().empty())
        return;
    if (s.state.incarnation() != state.incarnation()) {
        o.run.journal.event("server_seen",
                            {{"agent", s.agent},
                             {"incarnation", state.incarnation()},
                             {"service", state.service()},
                             {"rack", state.rack()}});
        s.applied_up_to = 0;
        s.acknowledged_up_to = 0;
        s.unstored_ends.clear();
        s.running.clear();
        s.usage.stale = true;
        s.lists_as_of_ms = 0;
        s.health = {};
    }
    s.state = state;
    s.labels.assign(state.labels().begin(), state.labels().end());
    const auto held = s.assigned;
    for (const auto& [name, h] : held) {
        auto& t = *h.task_ref;
        if (t.agent == s.agent && t.phase == task_phase::assigned &&
            !t.ended_in_gang && (!is_of_current_life(s, t) || state.departed()))
            follow_restart(o, report, t);
    }
}

void take_ends(owner& o, server& s, const AgentReport& report) {
    for (const auto& end : report.ended()) {
        if (end.number() <= s.applied_up_to)
            continue;
        apply_end(o, s, end);
        s.applied_up_to = end.number();
    }
}

/// Whether no run of a job can be at work any more.
bool is_at_rest(const job& j) {
    for (const auto& at : j.occurrences)
        for (const auto& s : at.steps)
            for (const auto& t : s.tasks)
                if (t.phase == task_phase::assigned)
                    return false;
    return true;
}

void remove_old_jobs(owner& o) {
    const auto oldest = o.run.unix_ms() - ended_job_life_ms;
    store_transaction write;
    write.expected.push_back({std::string(owner_key), o.epoch});
    for (auto it = o.jobs.begin(); it != o.jobs.end();) {
        const auto& id = it->first;
        const auto& j = it->second;
        if (!is_final(j.state) || j.ended_unix_ms > oldest ||
            j.stored_version != j.version || j.write_in_flight ||
            write.removals.size() + 4 > most_transaction_entries ||
            !is_at_rest(j)) {
            ++it;
            continue;
        }
        for (const auto part :
             {job_part::submission, job_part::cancellation, job_part::progress})
            write.removals.push_back(job_key(id, part));
        o.waiting_jobs.erase(id);
        o.unwritten_jobs.erase(id);
        it = o.jobs.erase(it);
    }
    if (!write.removals.empty())
        o.records.transact(write, duration{1000},
                           [](const transaction_reply&) {});
}

void drop_silent_servers(owner& o) {
    for (auto& [agent, s] : o.servers) {
        const auto until = is_mutant("place-before-lapse")
                               ? s.last_report_at + max_report_age
                               : s.granted_until;
        if (o.run.now() <= until || s.assigned.empty())
            continue;
        lose_all_runs(o, s, "nothing was heard of its agent for too long");
    }
}

} // namespace

time_point end_of_grant(time_point from) {
    return from + grant_duration * 103 / 100 + reserve_for_clocks;
}

void clear_state(owner& o) {
    o.servers.clear();
    o.jobs.clear();
    o.reservations.clear();
    o.agents_to_update.clear();
    o.waiting_jobs.clear();
    o.unwritten_jobs.clear();
}

void activate(owner& o, std::int64_t epoch, const job_index& d,
              const std::set<std::string>& expected_agents) {
    o.epoch = epoch;
    o.expected_agents = expected_agents;
    o.active_since = o.run.now();
    clear_state(o);
    for (const auto& [id, stored] : d.jobs)
        on_job_changed(o, stored);
    int assigned = 0;
    for (auto& [id, j] : o.jobs)
        for (auto& at : j.occurrences)
            for (auto& s : at.steps)
                for (auto& t : s.tasks) {
                    if (t.phase != task_phase::assigned)
                        continue;
                    ++assigned;
                    auto& holder = o.servers[t.agent];
                    holder.agent = t.agent;
                    holder.assigned[t.name] = {&j, &t};
                    // The former owner may have granted until just now.
                    holder.granted_until = end_of_grant(o.active_since);
                }
    o.run.journal.event("took_over", {{"epoch", epoch},
                                      {"jobs", o.jobs.size()},
                                      {"assigned_tasks", assigned}});
    process_changes(o);
}

void deactivate(owner& o) {
    o.epoch = 0;
    clear_state(o);
}

void on_config(owner& o, std::shared_ptr<const fleet_config> config) {
    o.config = std::move(config);
    if (o.epoch != 0)
        process_changes(o);
}

void on_report(owner& o, const std::string& agent, const AgentReport& report) {
    if (o.epoch == 0 || report.followed_epoch() > o.epoch)
        return;
    auto& s = o.servers[agent];
    s.agent = agent;
    s.failure_domain = report.failure_domain();
    if (!std::exchange(s.has_reported, true))
        o.last_new_server_at = o.run.now();
    s.last_report_at = o.run.now();
    s.answered_sent_at_ms = report.sent_at_ms();
    if (!report.server().incarnation().empty())
        o.expected_agents.erase(agent);
    take_incarnation(o, s, report);
    if (report.server().incarnation() == s.state.incarnation() &&
        !report.server().incarnation().empty()) {
        take_ends(o, s, report);
        apply_running(o, s, report);
        for (const auto& gone : report.gone())
            take_gone(o, s, gone);
    }
    acknowledge_stored_ends(o, s);
    o.agents_to_update.insert(agent);
    process_changes(o);
}

void on_tick(owner& o) {
    if (o.epoch == 0)
        return;
    for (auto& [id, j] : o.jobs)
        if (add_due_occurrences(j, o.run.unix_ms(), o.run.now()))
            o.waiting_jobs.insert(id);
    drop_silent_servers(o);
    if (o.is_valid())
        remove_old_jobs(o);
    process_changes(o);
}

void run_pass(owner& o) {
    if (o.epoch == 0)
        return;
    const auto begun = o.run.now();
    if (o.is_valid())
        schedule(o);
    const auto took = o.run.now() - begun;
    o.run.metrics.count("schedule_passes_total");
    o.earliest_pass_at = o.run.now() + took * pause_per_pass;
    o.run.metrics.observe("schedule_pass_ms",
                          static_cast<double>(took.count()));
    write_changes(o);
    send_orders(o);
}

void process_changes(owner& o) {
    if (o.epoch == 0)
        return;
    write_changes(o);
    send_orders(o);
    if (std::exchange(o.pass_scheduled, true))
        return;
    o.run.timers.once(
        std::max(o.run.now() + gathering_time, o.earliest_pass_at),
        [&o](time_point) {
            o.pass_scheduled = false;
            run_pass(o);
        });
}

} // namespace celerylift::fleet
