// How a new owner determines which jobs run, and resolves jobs for which it
// cannot.
#include "owner_internal.hpp"

#include <celerylift/kernel/schedule.hpp>
#include <celerylift/kernel/workers.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

/// What agents have reported about one job.
struct job_reports {
    std::map<kernel::gang_id,
             std::vector<std::pair<std::string, wire::MemberReport>>>
        gangs;
    std::vector<std::pair<std::string, wire::RunReport>> runs;
};

job_reports reports_about(const owner_state& owner, const std::string& job) {
    job_reports found;
    for (const auto& [agent, heartbeat] : owner.reports) {
        for (const auto& m : heartbeat.members()) {
            if (m.job() == job)
                found.gangs[m.gang()].emplace_back(agent, m);
        }
        for (const auto& r : heartbeat.runs()) {
            if (r.job() == job)
                found.runs.emplace_back(agent, r);
        }
    }
    return found;
}

/// A gang whose members are all reported as running or succeeded, or null.
const std::pair<const kernel::gang_id,
                std::vector<std::pair<std::string, wire::MemberReport>>>*
complete_gang(const job_reports& reports) {
    for (const auto& gang : reports.gangs) {
        const auto& members = gang.second;
        const bool running =
            std::all_of(members.begin(), members.end(), [](const auto& m) {
                return m.second.state() == wire::STARTED ||
                       m.second.state() == wire::SUCCEEDED;
            });
        if (running && members.front().second.gang_size() ==
                           static_cast<int>(members.size()))
            return &gang;
    }
    return nullptr;
}

const wire::RunReport* pending_run(const job_reports& reports,
                                   const live_job& job) {
    for (const auto& [agent, run] : reports.runs) {
        const auto* gang = complete_gang(reports);
        const bool belongs = job.record.spec().gang().members() == 0 ||
                             (gang && gang->first == run.attempt());
        if (run.outcome() == wire::RUN_PENDING && belongs)
            return &run;
    }
    return nullptr;
}

std::string agent_of_run(const job_reports& reports,
                         const wire::RunReport* run) {
    for (const auto& [agent, r] : reports.runs) {
        if (&r == run)
            return agent;
    }
    return {};
}

bool workers_known(const owner_state& owner, const job_reports& reports) {
    for (const auto& [gang, members] : reports.gangs) {
        for (const auto& [agent, m] : members) {
            auto it = owner.agents.find(agent);
            if (it == owner.agents.end() ||
                !owner.cell.worker_index.contains(it->second.worker))
                return false;
        }
    }
    return true;
}

gang_run adopted_run(const owner_context& c, const live_job& job,
                     const job_reports& reports) {
    gang_run run;
    run.job = id_of(job);
    run.phase = gang_phase::running;
    run.phase_since = c.now;
    if (const auto* gang = complete_gang(reports)) {
        run.id = gang->first;
        for (const auto& [agent, m] : gang->second) {
            const auto& worker = c.owner.agents.at(agent).worker;
            gang_member member;
            member.agent = agent;
            member.incarnation = c.owner.agents.at(agent).incarnation;
            member.worker = c.owner.cell.worker_index.at(worker);
            member.accelerators = m.accelerators();
            member.state = m.state();
            member.ever_started = true;
            member.ended = m.state() == wire::SUCCEEDED;
            run.members.push_back(std::move(member));
        }
    }
    if (const auto* pending = pending_run(reports, job)) {
        run.id = pending->attempt();
        run.backend = pending->backend();
        run.backend_agent = agent_of_run(reports, pending);
        run.backend_incarnation =
            c.owner.agents.at(run.backend_agent).incarnation;
        run.run_sent = true;
    }
    return run;
}

void adopt(const owner_context& c, live_job& job, const job_reports& reports) {
    auto run = adopted_run(c, job, reports);
    kernel::gang_state gang;
    gang.id = run.id;
    gang.job = from_api(job.record.spec());
    gang.placed = c.now;
    gang.expected_end = c.now + gang.job.declared_run;
    gang.backend = run.backend;
    for (const auto& m : run.members)
        gang.shares.push_back({m.worker, m.accelerators});
    kernel::adopt_gang(c.owner.cell, gang);
    job.gang = run.id;
    job.ran = run_state::ran;
    auto* status = job.record.mutable_status();
    status->set_attempts(std::max(1, status->attempts()));
    set_state(c, job, api::RUNNING, "adopted by a new owner");
    auto [it, added] = c.owner.gangs.emplace(run.id, std::move(run));
    check_progress(c, it->second);
}

/// Whether the reported gang and request can continue under this owner.
bool is_adoptable(const live_job& job, const job_reports& reports) {
    const auto& spec = job.record.spec();
    const bool gang_runs =
        spec.gang().members() == 0 || complete_gang(reports) != nullptr;
    const bool request_runs =
        spec.service().empty() || pending_run(reports, job) != nullptr;
    return gang_runs && request_runs;
}

enum class intent_evidence { incomplete, not_started, may_have_run };

/// Whether the job may have run, by the reports of the agents to which a start
/// may have been sent.
intent_evidence assess_intent(const owner_state& owner, const live_job& job,
                              const job_reports& reports) {
    for (const auto& named : job.record.intent_agents()) {
        const auto name = named.substr(0, named.find('#'));
        auto it = owner.reports.find(name);
        if (it == owner.reports.end())
            return intent_evidence::incomplete;
        if (named != fmt::format("{}#{}", name, it->second.incarnation()))
            return intent_evidence::may_have_run; // The agent restarted.
    }
    for (const auto& [gang, members] : reports.gangs) {
        for (const auto& [agent, m] : members) {
            if (m.ever_started())
                return intent_evidence::may_have_run;
        }
    }
    for (const auto& [agent, run] : reports.runs) {
        if (run.outcome() != wire::RUN_NOT_STARTED)
            return intent_evidence::may_have_run;
    }
    return intent_evidence::not_started;
}

/// Counts the accelerators on which members of an unresolved job may run as
/// used, so that no other work is placed there until the job is resolved.
void hold_reported(const owner_context& c, const std::string& job,
                   const job_reports& reports) {
    auto& holds = c.owner.unresolved_holds[job];
    for (const auto& [gang, members] : reports.gangs) {
        for (const auto& [agent, m] : members) {
            auto it =
                c.owner.cell.worker_index.find(c.owner.agents.at(agent).worker);
            if (m.state() >= wire::SUCCEEDED ||
                it == c.owner.cell.worker_index.end())
                continue;
            kernel::change_usage(c.owner.cell, it->second, 0, m.accelerators());
            holds.push_back({it->second, m.accelerators()});
        }
    }
}

bool has_capacity(const owner_state& owner, const job_reports& reports) {
    for (const auto& [gang, members] : reports.gangs) {
        for (const auto& [agent, m] : members) {
            const auto& w = owner.cell.workers.at(
                owner.cell.worker_index.at(owner.agents.at(agent).worker));
            if (w.spec.accelerators - w.used < m.accelerators())
                return false;
        }
    }
    return true;
}

void finish_unknown(const owner_context& c, live_job& job) {
    finish_job(c, job, api::UNKNOWN, "",
               error{error_kind::outcome_unknown,
                     "the owner was lost after it may have started the job, "
                     "and not every agent can report the outcome; check the "
                     "job's effects before you submit it under a new id",
                     run_state::unknown, duration{0}});
}

void resolve_intent(const owner_context& c, live_job& job,
                    const job_reports& reports) {
    switch (assess_intent(c.owner, job, reports)) {
    case intent_evidence::incomplete:
        c.owner.unresolved.insert(id_of(job));
        return hold_reported(c, id_of(job), reports);
    case intent_evidence::not_started:
        c.owner.unresolved.erase(id_of(job));
        return requeue_job(c, job, duration{0}, "proved not to have started");
    case intent_evidence::may_have_run:
        return finish_unknown(c, job);
    }
}

} // namespace

void drop_holds(const owner_context& c, const std::string& job) {
    auto holds = c.owner.unresolved_holds.extract(job);
    if (holds.empty())
        return;
    for (const auto& s : holds.mapped())
        kernel::change_usage(c.owner.cell, s.worker, 0, -s.accelerators);
}

void resolve_job(const owner_context& c, live_job& job) {
    const auto reports = reports_about(c.owner, id_of(job));
    drop_holds(c, id_of(job));
    for (const auto& [agent, run] : reports.runs) {
        if (run.outcome() == wire::RUN_DONE)
            return finish_job(c, job, api::ANSWERED, run.answer(),
                              std::nullopt);
        const bool failed = run.outcome() == wire::RUN_FAILED;
        if (failed && !is_repeatable(job))
            return finish_job(
                c, job, api::FAILED, "",
                error{error_kind::execution_failed,
                      "the backend server failed the request: " + run.detail(),
                      run_state::ran, duration{0}});
    }
    if (is_adoptable(job, reports) && workers_known(c.owner, reports) &&
        has_capacity(c.owner, reports)) {
        c.owner.unresolved.erase(id_of(job));
        return adopt(c, job, reports);
    }
    if (job.record.intent())
        return resolve_intent(c, job, reports);
    requeue_job(c, job, duration{0}, "queued by a new owner");
}

void tick_unresolved(const owner_context& c) {
    if (c.owner.unresolved.empty())
        return;
    const bool expired =
        c.now >= c.owner.phase_since + gang_lease(c.owner) + collect_timeout;
    const auto ids = c.owner.unresolved;
    for (const auto& id : ids) {
        auto& job = c.owner.jobs.at(id);
        resolve_job(c, job);
        if (!expired || !c.owner.unresolved.contains(id))
            continue;
        finish_unknown(c, job);
    }
    if (c.owner.unresolved.empty())
        c.owner.reports.clear();
}

namespace {

void apply_reports(const owner_context& c) {
    for (const auto& [agent, heartbeat] : c.owner.reports) {
        auto& view = c.owner.agents[agent];
        view.incarnation = 0; // Earlier incarnations are unknown.
        apply_heartbeat(c, view, heartbeat);
    }
}

/// Orders jobs that must not be repeated first: their gangs cannot be stopped,
/// so they are adopted before guarantees get their home accelerators.
std::vector<std::string> resolution_order(const owner_state& owner) {
    std::vector<std::string> ids;
    for (const auto& [id, job] : owner.jobs) {
        if (!is_terminal(job))
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end(), [&](const auto& a, const auto& b) {
        return std::make_pair(is_repeatable(owner.jobs.at(a)), a) <
               std::make_pair(is_repeatable(owner.jobs.at(b)), b);
    });
    return ids;
}

void watch_deadline(const owner_context& c, const live_job& job) {
    if (job.record.spec().deadline_ms() > 0)
        c.owner.deadlines.emplace(job.accepted +
                                      duration{job.record.spec().deadline_ms()},
                                  id_of(job));
}

void become_active(const owner_context& c) {
    apply_reports(c);
    change_phase(c, owner_phase::active);
    c.owner.takeover_ms = (c.now - c.owner.claimed).count();
    for (const auto& id : resolution_order(c.owner)) {
        auto& job = c.owner.jobs.at(id);
        watch_deadline(c, job);
        resolve_job(c, job);
    }
    if (c.owner.unresolved.empty())
        c.owner.reports.clear();
    auto early = std::move(c.owner.early_calls);
    c.owner.early_calls.clear();
    for (const auto& [who, call] : early)
        on_call(c, who, call);
    run_schedule(c);
}

} // namespace

void tick_collecting(const owner_context& c) {
    const bool all_reported = std::all_of(
        c.owner.agents.begin(), c.owner.agents.end(),
        [&](const auto& a) { return c.owner.reports.contains(a.first); });
    const auto age = c.now - c.owner.phase_since;
    const bool waited =
        c.owner.agents_complete || age >= 2 * heartbeat_period(c.owner);
    if ((all_reported && waited) || age >= collect_timeout)
        become_active(c);
    else if (!all_reported)
        announce_epoch(c);
}

} // namespace celerylift::protocol
