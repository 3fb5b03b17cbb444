// Gangs: all members are reserved before any starts, and a gang is released as
// a whole.
#include "owner_internal.hpp"

#include <celerylift/kernel/schedule.hpp>
#include <celerylift/kernel/workers.hpp>

#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

/// Pause before the job of a gang that could not be reserved is queued again.
constexpr duration reserve_retry{200};

live_job& job_of(const owner_context& c, const gang_run& run) {
    return c.owner.jobs.at(run.job);
}

bool all_members(const gang_run& run, wire::MemberState state) {
    return std::all_of(run.members.begin(), run.members.end(),
                       [&](const gang_member& m) { return m.state == state; });
}

std::string gang_name(const gang_run& run) {
    return fmt::format("{:x}", run.id);
}

void send_reserve(const owner_context& c, gang_run& run, gang_member& m) {
    auto& reserve = *send(c, m.agent).mutable_reserve();
    reserve.set_epoch(c.owner.epoch);
    reserve.set_gang(run.id);
    reserve.set_job(run.job);
    reserve.set_accelerators(m.accelerators);
    reserve.set_gang_size(static_cast<int>(run.members.size()));
    reserve.set_lease_ms(static_cast<int>(gang_lease(c.owner).count()));
    reserve.set_incarnation(m.incarnation);
    reserve.set_heard(c.owner.agents[m.agent].sequence);
    m.last_sent = c.now;
}

void send_start(const owner_context& c, gang_run& run, gang_member& m) {
    auto& start = *send(c, m.agent).mutable_start();
    start.set_epoch(c.owner.epoch);
    start.set_gang(run.id);
    start.set_incarnation(m.incarnation);
    if (run.backend.empty())
        start.set_payload(job_of(c, run).record.spec().payload());
    m.last_sent = c.now;
    m.ever_started = true; // Until the agent reports otherwise.
}

void send_release(const owner_context& c, gang_run& run, gang_member& m) {
    m.last_sent = c.now;
    if (m.incarnation != c.owner.agents[m.agent].incarnation)
        return; // The agent restarted: the lease has to expire.
    auto& release = *send(c, m.agent).mutable_release();
    release.set_epoch(c.owner.epoch);
    release.set_gang(run.id);
    release.set_grace_ms(static_cast<int>(run.grace.count()));
}

void send_run(const owner_context& c, gang_run& run) {
    const auto& spec = job_of(c, run).record.spec();
    auto& message = *send(c, run.backend_agent).mutable_run();
    message.set_epoch(c.owner.epoch);
    message.set_job(run.job);
    message.set_attempt(run.id);
    message.set_backend(run.backend);
    message.set_payload(spec.payload());
    message.set_incarnation(run.backend_incarnation);
    message.set_heard(c.owner.agents[run.backend_agent].sequence);
    run.run_sent = true;
    run.run_last_sent = c.now;
}

void enter_phase(const owner_context& c, gang_run& run, gang_phase phase) {
    run.phase = phase;
    run.phase_since = c.now;
}

void set_status_members(const owner_context& c, const gang_run& run,
                        live_job& job) {
    auto* status = job.record.mutable_status();
    status->clear_members();
    for (const auto& m : run.members) {
        auto* member = status->add_members();
        member->set_worker(c.owner.cell.workers[m.worker].spec.id);
        member->set_accelerators(m.accelerators);
    }
    status->set_backend(run.backend);
}

gang_run new_run(const owner_context& c, const kernel::gang_state& gang) {
    gang_run run;
    run.id = gang.id;
    run.job = gang.job.id;
    run.phase_since = c.now;
    run.backend = gang.backend;
    for (const auto& s : gang.shares) {
        gang_member m;
        m.worker = s.worker;
        m.accelerators = s.accelerators;
        m.agent =
            c.owner.worker_agent.at(c.owner.cell.workers[s.worker].spec.id);
        m.incarnation = c.owner.agents[m.agent].incarnation;
        run.members.push_back(std::move(m));
    }
    if (!run.backend.empty()) {
        run.backend_agent =
            c.owner.cell.backends.backends.at(run.backend).spec.agent;
        run.backend_incarnation = c.owner.agents[run.backend_agent].incarnation;
    }
    return run;
}

/// Writes the intent to start to the store before a job that must not be
/// repeated is started. Starts a repeatable job at once.
void begin_intent(const owner_context& c, gang_run& run) {
    auto& job = job_of(c, run);
    if (is_repeatable(job) || is_mutant("start-without-record"))
        return begin_start(c, run);
    enter_phase(c, run, gang_phase::intent);
    job.record.set_intent(true);
    job.record.clear_intent_agents();
    std::set<std::string> agents;
    for (const auto& m : run.members)
        agents.insert(m.agent);
    if (!run.backend_agent.empty())
        agents.insert(run.backend_agent);
    for (const auto& a : agents)
        job.record.add_intent_agents(
            fmt::format("{}#{}", a, c.owner.agents[a].incarnation));
    mark_changed(c, job);
    when_durable(c, job, durable_step::start);
}

void place(const owner_context& c, const kernel::place_gang& placed) {
    const auto& gang = c.owner.cell.gangs.at(placed.gang);
    auto& job = c.owner.jobs.at(placed.job);
    auto* status = job.record.mutable_status();
    status->set_attempts(status->attempts() + 1);
    auto [it, added] = c.owner.gangs.emplace(gang.id, new_run(c, gang));
    auto& run = it->second;
    job.gang = run.id;
    set_status_members(c, run, job);
    if (run.members.empty())
        return begin_intent(c, run);
    set_state(c, job, api::RESERVING,
              fmt::format("gang {} on {} workers", gang_name(run),
                          run.members.size()));
    for (auto& m : run.members)
        send_reserve(c, run, m);
}

void reclaim(const owner_context& c, const kernel::stop_gang& stop) {
    auto it = c.owner.gangs.find(stop.gang);
    if (it == c.owner.gangs.end())
        return;
    note(c, "reclaim", stop.job, "for " + stop.reclaimed_for);
    if (it->second.phase == gang_phase::releasing)
        return;
    const duration grace{
        c.owner.configuration.current.settings().checkpoint_grace_ms()};
    begin_release(c, it->second, release_reason::reclaimed, grace);
}

void all_started(const owner_context& c, gang_run& run) {
    enter_phase(c, run, gang_phase::running);
    set_state(c, job_of(c, run), api::RUNNING, "");
    if (!run.backend.empty())
        send_run(c, run);
}

void all_succeeded(const owner_context& c, gang_run& run) {
    for (const auto& m : run.members)
        kernel::record_task(c.owner.cell, m.worker, run.job, true, c.now);
    finish_job(c, job_of(c, run), api::ANSWERED,
               fmt::format("{} members succeeded", run.members.size()),
               std::nullopt);
    begin_release(c, run, release_reason::finished);
}

/// Requeues, fails or gives an unknown outcome to a job whose gang was lost or
/// failed.
void handle_failed_gang(const owner_context& c, const gang_run& run,
                        live_job& job) {
    const auto max_attempts =
        c.owner.configuration.current.settings().max_attempts();
    const bool may_have_run =
        run.run_sent ||
        std::any_of(run.members.begin(), run.members.end(),
                    [](const gang_member& m) { return m.ever_started; });
    if (!may_have_run)
        return requeue_job(c, job, reserve_retry, "nothing was started");
    if (run.reason == release_reason::member_lost && !is_repeatable(job))
        return finish_job(
            c, job, api::UNKNOWN, "",
            error{error_kind::outcome_unknown,
                  "a worker or agent was lost while the job ran, and the job "
                  "must not be repeated; check its effects before you submit "
                  "it under a new id",
                  run_state::unknown, duration{0}});
    const bool exhausted =
        static_cast<int>(job.failed_on.size()) >= max_attempts;
    if (run.reason == release_reason::member_failed &&
        (!is_repeatable(job) || exhausted))
        return finish_job(
            c, job, api::FAILED, "",
            error{error_kind::execution_failed,
                  fmt::format("the job's tasks failed on {} workers; correct "
                              "the job and submit it under a new id",
                              job.failed_on.size()),
                  run_state::ran, duration{0}});
    requeue_job(c, job, duration{0}, "starts again after a failure");
}

void finish_or_requeue_job(const owner_context& c, const gang_run& run) {
    auto it = c.owner.jobs.find(run.job);
    if (it == c.owner.jobs.end() || it->second.gang != run.id)
        return;
    auto& job = it->second;
    job.gang = 0;
    if (is_terminal(job))
        return;
    switch (run.reason) {
    case release_reason::not_reserved:
        return requeue_job(c, job, reserve_retry, "not reserved whole");
    case release_reason::reclaimed:
        return requeue_job(c, job, duration{0}, "reclaimed by a guarantee");
    case release_reason::request_failed:
        return requeue_job(c, job, reserve_retry, "the request failed");
    case release_reason::member_failed:
    case release_reason::member_lost:
        return handle_failed_gang(c, run, job);
    case release_reason::finished:
    case release_reason::cancelled:
        break;
    }
}

} // namespace

void finish_release(const owner_context& c, kernel::gang_id id) {
    const gang_run run = std::move(c.owner.gangs.at(id));
    c.owner.gangs.erase(id);
    const auto how = run.reason == release_reason::finished
                         ? kernel::gang_end::completed
                         : kernel::gang_end::stopped;
    kernel::end_gang(c.owner.cell, id, how, c.now);
    note(c, "gang_ended", run.job, gang_name(run));
    finish_or_requeue_job(c, run);
}

bool all_ended(const gang_run& run) {
    return std::all_of(run.members.begin(), run.members.end(),
                       [](const gang_member& m) { return m.ended; });
}

namespace {

gang_member* member_at(gang_run& run, const std::string& agent) {
    for (auto& m : run.members) {
        if (m.agent == agent)
            return &m;
    }
    return nullptr;
}

void resend(const owner_context& c, gang_run& run, gang_member& m) {
    if (c.now < m.last_sent + resend_period)
        return;
    if (run.phase == gang_phase::reserving && m.state != wire::RESERVED)
        send_reserve(c, run, m);
    else if (run.phase == gang_phase::starting && m.state != wire::STARTED)
        send_start(c, run, m);
    else if (run.phase == gang_phase::releasing && !m.ended)
        send_release(c, run, m);
}

void check_limits(const owner_context& c, gang_run& run) {
    const auto age = c.now - run.phase_since;
    if (run.phase == gang_phase::reserving && age > reserve_timeout)
        begin_release(c, run, release_reason::not_reserved);
    else if (run.phase == gang_phase::intent && age > start_timeout)
        begin_release(c, run, release_reason::not_reserved);
    else if (run.phase == gang_phase::starting && age > start_timeout)
        begin_release(c, run, release_reason::member_lost);
}

void tick_gang(const owner_context& c, gang_run& run) {
    for (auto& m : run.members) {
        resend(c, run, m);
        if (run.phase == gang_phase::releasing && !m.ended &&
            c.now >= m.lease_expires_by && m.lease_expires_by != time_point{})
            m.ended = true;
    }
    const bool run_waits = run.phase == gang_phase::running && run.run_sent &&
                           run.run_last_sent != time_point{} &&
                           c.now >= run.run_last_sent + resend_period;
    if (run_waits)
        send_run(c, run);
    check_limits(c, run);
}

} // namespace

bool is_renewable(const gang_run& run) {
    return run.phase != gang_phase::releasing;
}

void run_schedule(const owner_context& c) {
    if (c.owner.phase != owner_phase::active)
        return;
    for (const auto& d : kernel::schedule(c.owner.cell, c.now)) {
        if (const auto* placed = std::get_if<kernel::place_gang>(&d))
            place(c, *placed);
        else
            reclaim(c, std::get<kernel::stop_gang>(d));
    }
}

void begin_start(const owner_context& c, gang_run& run) {
    enter_phase(c, run, gang_phase::starting);
    job_of(c, run).ran = run_state::ran;
    set_state(c, job_of(c, run), api::STARTING, "");
    for (auto& m : run.members)
        send_start(c, run, m);
    if (run.members.empty())
        all_started(c, run);
}

void begin_release(const owner_context& c, gang_run& run, release_reason reason,
                   duration grace) {
    if (run.phase == gang_phase::releasing)
        return;
    if (is_mutant("keep-partial-gangs") &&
        reason == release_reason::member_lost)
        return;
    enter_phase(c, run, gang_phase::releasing);
    run.reason = reason;
    run.grace = grace;
    note(c, "gang_release", run.job, gang_name(run));
    const auto bound = c.now + grace + gang_lease(c.owner) + lease_margin;
    for (auto& m : run.members) {
        if (m.ended)
            continue;
        // The lease of an unresponsive member has expired by then, because
        // leases of a released gang are not renewed.
        if (m.lease_expires_by == time_point{})
            m.lease_expires_by = bound;
        send_release(c, run, m);
    }
}

void check_progress(const owner_context& c, gang_run& run) {
    if (run.phase == gang_phase::reserving && all_members(run, wire::RESERVED))
        begin_intent(c, run);
    else if (run.phase == gang_phase::starting &&
             all_members(run, wire::STARTED))
        all_started(c, run);
    else if (run.phase == gang_phase::running && run.backend.empty() &&
             all_members(run, wire::SUCCEEDED))
        all_succeeded(c, run);
}

namespace {

void on_member_failed(const owner_context& c, gang_run& run, gang_member& m,
                      const std::string& detail) {
    m.ended = true;
    note(c, "task_failed", run.job,
         c.owner.cell.workers[m.worker].spec.id + " " + detail);
    if (run.phase == gang_phase::releasing)
        return;
    auto& job = job_of(c, run);
    job.failed_on.insert(m.worker);
    if (kernel::record_task(c.owner.cell, m.worker, run.job, false, c.now))
        note(c, "worker_quarantined", c.owner.cell.workers[m.worker].spec.id);
    begin_release(c, run, release_reason::member_failed);
}

void on_member_stopped(const owner_context& c, gang_run& run, gang_member& m,
                       const wire::MemberReport& report) {
    m.ended = true;
    m.ever_started = report.ever_started();
    if (run.phase == gang_phase::reserving || run.phase == gang_phase::intent)
        begin_release(c, run, release_reason::not_reserved);
    else if (run.phase != gang_phase::releasing)
        begin_release(c, run, release_reason::member_lost);
}

void on_refusal(const owner_context& c, gang_run& run, gang_member& m,
                const wire::MemberReport& report, const std::string& detail) {
    note(c, "member_refused", run.job, m.agent + ": " + detail);
    on_member_stopped(c, run, m, report);
}

/// Replies to the report of a member that belongs to no current gang: the agent
/// may forget an ended member and stops any other.
void reply_to_unknown_member(const owner_context& c, const std::string& agent,
                             const wire::MemberReport& member) {
    auto it = c.owner.jobs.find(member.job());
    const bool awaits_store = it != c.owner.jobs.end() &&
                              is_terminal(it->second) && !it->second.durable;
    if (awaits_store || c.owner.unresolved.contains(member.job()))
        return;
    if (member.state() >= wire::SUCCEEDED) {
        auto& ack = *send(c, agent).mutable_member_ack();
        ack.set_epoch(c.owner.epoch);
        ack.set_gang(member.gang());
        return;
    }
    auto& release = *send(c, agent).mutable_release();
    release.set_epoch(c.owner.epoch);
    release.set_gang(member.gang());
}

} // namespace

void on_member_report(const owner_context& c, const std::string& agent,
                      const wire::MemberReport& report, bool refused,
                      const std::string& detail) {
    auto it = c.owner.gangs.find(report.gang());
    auto* m =
        it == c.owner.gangs.end() ? nullptr : member_at(it->second, agent);
    if (!m)
        return reply_to_unknown_member(c, agent, report);
    // A restarted agent cannot report on tasks of its earlier incarnation.
    if (m->incarnation != c.owner.agents[agent].incarnation)
        return;
    auto& run = it->second;
    if (refused) {
        on_refusal(c, run, *m, report, detail);
    } else if (report.state() == wire::TASK_FAILED) {
        on_member_failed(c, run, *m, detail);
    } else if (report.state() == wire::STOPPED) {
        on_member_stopped(c, run, *m, report);
    } else if (report.state() > m->state) {
        m->state = report.state();
        if (m->state == wire::SUCCEEDED)
            m->ended = true;
    }
    if (run.phase == gang_phase::releasing && all_ended(run))
        return finish_release(c, run.id);
    check_progress(c, run);
    if (run.phase == gang_phase::releasing && all_ended(run))
        finish_release(c, run.id);
}

void on_member_update(const owner_context& c, const std::string& agent,
                      const wire::MemberUpdate& update) {
    if (c.owner.phase != owner_phase::active ||
        c.owner.agents[agent].incarnation != update.incarnation())
        return;
    on_member_report(c, agent, update.member(), update.refused(),
                     update.detail());
    run_schedule(c);
    flush_pages(c);
}

void on_agent_lost(const owner_context& c, const std::string& agent,
                   const std::string& why) {
    note(c, "agent_lost", agent, why);
    const auto bound = c.now + gang_lease(c.owner) + lease_margin;
    std::vector<kernel::gang_id> ended;
    for (auto& [id, run] : c.owner.gangs) {
        auto* m = member_at(run, agent);
        const bool runs_there = run.backend_agent == agent && run.run_sent;
        if (m && !m->ended)
            m->lease_expires_by = bound;
        if (!(m && !m->ended) && !runs_there)
            continue;
        begin_release(c, run, release_reason::member_lost);
        if (all_ended(run))
            ended.push_back(id);
    }
    for (auto id : ended)
        finish_release(c, id);
}

void tick_gangs(const owner_context& c) {
    std::vector<kernel::gang_id> ended;
    for (auto& [id, run] : c.owner.gangs) {
        tick_gang(c, run);
        if (run.phase == gang_phase::releasing && all_ended(run))
            ended.push_back(id);
    }
    std::sort(ended.begin(), ended.end());
    for (auto id : ended)
        finish_release(c, id);
}

} // namespace celerylift::protocol
