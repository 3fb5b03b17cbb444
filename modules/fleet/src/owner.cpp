#include "owner_internal.hpp"

#include <celerylift/fleet/names.hpp>
#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace celerylift::fleet {

namespace {

/// How long callers can query a job after its end. The job API documents this
/// time.
constexpr std::int64_t ended_job_retention_ms = 150'000;

/// Changes that arrive within this time share one pass.
constexpr duration pass_delay{2};

/// The pause after a pass, as a multiple of its duration. It leaves the owner
/// time to extend the leases of running work, however much work is waiting.
constexpr int pass_pause_factor = 3;

bool is_of_current_incarnation(const server& server, const task& task) {
    return task.incarnation == server.state.incarnation();
}

void apply_gone_run(owner& self, server& server, const GoneRun& gone) {
    const auto name = parse_task_name(gone.name().task());
    auto it = name ? self.jobs.find(name->job) : self.jobs.end();
    auto* task = it == self.jobs.end() ? nullptr : find_task(it->second, *name);
    if (!task || task->phase != task_phase::assigned ||
        task->agent != server.agent || task->run != gone.name().run() ||
        task->ended_in_gang)
        return;
    if (!task->stopping)
        task->avoid_agent = server.agent;
    self.run.metrics.count("starts_refused_total");
    lose_run(self, *task, gone.reason().c_str());
}

bool lists_run(const AgentReport& report, const task& task) {
    const auto is_same_run = [&](const auto& listed) {
        return listed.name().run() == task.run &&
               listed.name().task() == to_string(task.name);
    };
    return std::ranges::any_of(report.running(), is_same_run) ||
           std::ranges::any_of(report.ended(), is_same_run);
}

/// Handles a run that was assigned to an earlier incarnation of its server, or
/// to a server that has left.
void handle_restart(owner& self, const AgentReport& report, task& task) {
    if (report.server().departed())
        return lose_run(self, task, "its backend server has left");
    // A start order may reach the next incarnation, which has the same id.
    if (lists_run(report, task)) {
        task.incarnation = report.server().incarnation();
        return;
    }
    count_unexplained_loss(self, task);
    if (task.seen_running)
        return lose_run(self, task, "its backend server has restarted");
    // The start may still be in flight, so the run must be fenced first.
    task.incarnation = report.server().incarnation();
    stop_run(self, self.jobs.at(task.name.job), task,
             "its backend server has restarted before the run was seen there");
}

/// Whether a report is about an earlier incarnation of the server than one that
/// has runs. It tells nothing about these.
bool is_superseded(const server& server, const AgentReport& report) {
    const auto& reported = report.server().incarnation();
    if (reported.empty() || reported == server.state.incarnation())
        return false;
    const auto start = start_of_incarnation(reported);
    return std::ranges::any_of(server.assigned, [&](const auto& entry) {
        const auto& task = *entry.second.task_ref;
        return !task.ended_in_gang &&
               start < start_of_incarnation(task.incarnation);
    });
}

/// Whether a report was overtaken by a later one about the same incarnation.
/// The clock of a host may start anew, so that this counts only for as long as
/// the grant for the later report.
bool is_overtaken(const owner& self, const server& server,
                  const AgentReport& report) {
    return !report.server().incarnation().empty() &&
           report.server().incarnation() == server.state.incarnation() &&
           report.sent_at_ms() < server.answered_sent_at_ms &&
           self.run.now() < end_of_grant(server.last_report_at);
}

void apply_server_state(owner& self, server& server,
                        const AgentReport& report) {
    const auto& state = report.server();
    if (state.incarnation().empty())
        return;
    if (server.state.incarnation() != state.incarnation()) {
        self.run.journal.event("server_seen",
                               {{"agent", server.agent},
                                {"incarnation", state.incarnation()},
                                {"service", state.service()},
                                {"rack", state.rack()}});
        server.applied_up_to = 0;
        server.acknowledged_up_to = 0;
        server.unstored_ends.clear();
        server.running.clear();
        server.usage.stale = true;
        server.lists_as_of_ms = 0;
        server.health = {};
        server.cold_until = {};
        forget_speed(self, server);
        inherit_speed(self, server, state.speed());
        if (!server.state.incarnation().empty())
            note_restart(self, server);
    }
    server.state = state;
    server.history.draining = state.draining();
    if (state.cold_left_ms() > 0)
        server.cold_until = self.run.now() + duration{state.cold_left_ms()};
    server.labels.assign(state.labels().begin(), state.labels().end());
    const auto copy = server.assigned;
    for (const auto& [name, assigned] : copy) {
        auto& task = *assigned.task_ref;
        if (task.agent == server.agent && task.phase == task_phase::assigned &&
            !task.ended_in_gang &&
            (!is_of_current_incarnation(server, task) || state.departed()))
            handle_restart(self, report, task);
    }
}

void apply_sign_of_life(owner& self, server& server,
                        const AgentReport& report) {
    const bool names_server = !report.server().incarnation().empty();
    const bool was_named = std::exchange(server.is_named, names_server);
    if (names_server) {
        server.last_report_at = self.run.now();
        server.answered_sent_at_ms = report.sent_at_ms();
        self.expected_agents.erase(server.agent);
    } else if (was_named) {
        self.run.journal.event(
            "server_not_named",
            {{"agent", server.agent},
             {"incarnation", server.state.incarnation()},
             {"assigned_tasks", server.assigned.size()},
             {"grant_ends_in_ms",
              (server.granted_until - self.run.now()).count()}});
        self.run.metrics.count("servers_not_named_total");
    }
}

void apply_ends(owner& self, server& server, const AgentReport& report) {
    for (const auto& end : report.ended()) {
        if (end.number() <= server.applied_up_to)
            continue;
        apply_end(self, server, end);
        server.applied_up_to = end.number();
    }
}

/// Whether no run of a job can still exist.
bool is_idle(const job& job) {
    for (const auto& occurrence : job.occurrences)
        for (const auto& step : occurrence.steps)
            for (const auto& task : step.tasks)
                if (task.phase == task_phase::assigned)
                    return false;
    return true;
}

void remove_old_jobs(owner& self) {
    const auto cutoff = self.run.unix_ms() - ended_job_retention_ms;
    store_transaction write;
    write.expected.push_back({std::string(owner_key), self.epoch});
    for (auto it = self.jobs.begin(); it != self.jobs.end();) {
        const auto& id = it->first;
        const auto& job = it->second;
        if (!is_final(job.state) || job.ended_unix_ms > cutoff ||
            job.stored_version != job.version || job.write_in_flight ||
            write.removals.size() + 4 > max_transaction_entries ||
            !is_idle(job)) {
            ++it;
            continue;
        }
        for (const auto part :
             {job_part::submission, job_part::cancellation, job_part::progress})
            write.removals.push_back(job_key(id, part));
        self.waiting_jobs.erase(id);
        self.unwritten_jobs.erase(id);
        it = self.jobs.erase(it);
    }
    if (!write.removals.empty())
        self.records.transact(write, duration{1000},
                              [](const transaction_reply&) {});
}

void lose_runs_of_unresponsive_servers(owner& self) {
    for (auto& [agent, server] : self.servers) {
        const auto until = is_mutant("place-before-lapse")
                               ? server.last_report_at + max_report_age
                               : server.granted_until;
        if (self.run.now() <= until || server.assigned.empty())
            continue;
        lose_all_runs(self, server,
                      "no report of its backend server for too long");
    }
}

} // namespace

time_point end_of_grant(time_point from) {
    return latest_end_of_lease(from, grant_duration);
}

void clear_state(owner& self) {
    self.load = {};
    self.servers.clear();
    self.restarts = {};
    self.jobs.clear();
    self.reservations.clear();
    self.timed_runs.clear();
    self.speeds.clear();
    self.speeds_estimated_at = {};
    self.demand.clear();
    self.next_share_events.clear();
    clear_shares(self);
    self.agents_to_update.clear();
    self.placement_suspended = false;
    self.waiting_jobs.clear();
    self.unwritten_jobs.clear();
}

void activate(owner& self, std::int64_t epoch, const job_index& index,
              const std::set<std::string>& expected_agents) {
    self.epoch = epoch;
    self.expected_agents = expected_agents;
    self.active_since = self.run.now();
    clear_state(self);
    for (const auto& [id, stored] : index.jobs)
        on_job_changed(self, stored);
    int assigned = 0;
    for (auto& [id, job] : self.jobs)
        for (auto& occurrence : job.occurrences)
            for (auto& step : occurrence.steps)
                for (auto& task : step.tasks) {
                    if (task.phase != task_phase::assigned)
                        continue;
                    ++assigned;
                    auto& server = self.servers[task.agent];
                    server.agent = task.agent;
                    server.assigned[task.name] = {&job, &task};
                    // The former owner may have renewed grants until just now.
                    server.granted_until = end_of_grant(self.active_since);
                }
    fail_jobs_without_attempts_left(self);
    // A former owner may not have completed the stops of a job that is over.
    for (auto& [id, job] : self.jobs)
        if (is_final(job.state))
            stop_all_runs(self, job, "its job is over");
    self.run.journal.event("took_over", {{"epoch", epoch},
                                         {"jobs", self.jobs.size()},
                                         {"assigned_tasks", assigned}});
    report_removed_queues(self);
    process_changes(self);
}

void deactivate(owner& self) {
    self.epoch = 0;
    clear_state(self);
}

void on_config(owner& self, std::shared_ptr<const fleet_config> config) {
    if (self.epoch != 0)
        record_terms_of_removed_queues(self, *config);
    self.config = std::move(config);
    if (self.epoch == 0)
        return;
    for (auto& [id, job] : self.jobs)
        record_missing_terms(self, job);
    report_removed_queues(self);
    rebuild_demand(self);
    fail_jobs_without_attempts_left(self);
    process_changes(self);
}

void on_evacuations(owner& self, const evacuation_view& view) {
    const bool changed = self.evacuations.state.domains != view.state.domains;
    self.evacuations = view;
    if (changed)
        for (const auto& [agent, server] : self.servers)
            self.agents_to_update.insert(agent);
    if (changed || self.placement_suspended)
        process_changes(self);
}

void on_report(owner& self, const std::string& agent,
               const AgentReport& report) {
    if (self.epoch == 0 || report.followed_epoch() > self.epoch)
        return;
    auto& server = self.servers[agent];
    server.agent = agent;
    if (is_overtaken(self, server, report)) {
        self.run.journal.event("report_overtaken",
                               {{"agent", agent},
                                {"incarnation", report.server().incarnation()},
                                {"departed", report.server().departed()},
                                {"older_by_ms", server.answered_sent_at_ms -
                                                    report.sent_at_ms()}});
        return self.run.metrics.count("reports_overtaken_total");
    }
    // Not even as a sign of life: should the later incarnation be gone after
    // all, its runs are given up with their lease.
    if (is_superseded(server, report)) {
        if (!std::exchange(server.sends_superseded_reports, true))
            self.run.journal.event(
                "report_superseded",
                {{"agent", agent},
                 {"incarnation", report.server().incarnation()},
                 {"followed", server.state.incarnation()}});
        self.run.metrics.count("reports_superseded_total");
        return;
    }
    server.sends_superseded_reports = false;
    server.failure_domain = report.failure_domain();
    server.reads_shared_payloads = report.reads_shared_payloads();
    if (!std::exchange(server.has_reported, true))
        self.last_new_server_at = self.run.now();
    apply_sign_of_life(self, server, report);
    apply_crashes(self, server, report);
    apply_server_state(self, server, report);
    if (report.server().incarnation() == server.state.incarnation() &&
        !report.server().incarnation().empty()) {
        apply_ends(self, server, report);
        apply_running(self, server, report);
        for (const auto& gone : report.gone())
            apply_gone_run(self, server, gone);
    }
    acknowledge_stored_ends(self, server);
    self.agents_to_update.insert(agent);
    process_changes(self);
}

void on_tick(owner& self) {
    if (self.epoch == 0)
        return;
    for (auto& [id, job] : self.jobs)
        if (add_due_occurrences(job, self.run.unix_ms(), self.run.now()))
            self.waiting_jobs.insert(id);
    lose_runs_of_unresponsive_servers(self);
    check_risks(self);
    if (self.is_valid())
        remove_old_jobs(self);
    update_speeds(self);
    publish_load(self);
    process_changes(self);
}

void run_pass(owner& self) {
    if (self.epoch == 0)
        return;
    const auto started_at = self.run.now();
    if (self.is_valid())
        schedule(self);
    const auto elapsed = self.run.now() - started_at;
    self.run.metrics.count("schedule_passes_total");
    self.earliest_pass_at = self.run.now() + elapsed * pass_pause_factor;
    self.run.metrics.observe("schedule_pass_ms",
                             static_cast<double>(elapsed.count()));
    write_changes(self);
    send_orders(self);
}

void process_changes(owner& self) {
    if (self.epoch == 0)
        return;
    write_changes(self);
    send_orders(self);
    if (std::exchange(self.pass_scheduled, true))
        return;
    self.run.timers.once(
        std::max(self.run.now() + pass_delay, self.earliest_pass_at),
        [&self](time_point) {
            self.pass_scheduled = false;
            run_pass(self);
        });
}

} // namespace celerylift::fleet
