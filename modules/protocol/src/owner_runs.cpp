// The owner's handling of requests that run at backend servers.
#include "owner_internal.hpp"

#include <celerylift/kernel/backend_pool.hpp>
#include <celerylift/kernel/workers.hpp>
#include <celerylift/mutant.hpp>

#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

void retry_or_fail(const owner_context& c, live_job& job,
                   const std::string& detail) {
    const auto max_attempts =
        c.owner.configuration.current.settings().max_attempts();
    auto run = c.owner.gangs.find(job.gang);
    const bool last =
        !is_repeatable(job) || job.record.status().attempts() >= max_attempts;
    if (last)
        finish_job(c, job, api::FAILED, "",
                   error{error_kind::execution_failed,
                         fmt::format("the backend server failed the request: "
                                     "{}; correct the request and submit it "
                                     "under a new id",
                                     detail),
                         run_state::ran, duration{0}});
    if (run == c.owner.gangs.end())
        return;
    kernel::return_slot(c.owner.cell.backends, run->second.backend,
                        kernel::slot_use::failed, c.now);
    c.owner.cell.gangs.at(run->first).backend.clear();
    begin_release(c, run->second, release_reason::request_failed);
    if (all_ended(run->second))
        finish_release(c, run->first);
}

void run_never_started(const owner_context& c, live_job& job) {
    auto run = c.owner.gangs.find(job.gang);
    if (run == c.owner.gangs.end())
        return;
    run->second.run_sent = false;
    if (run->second.members.empty()) {
        begin_release(c, run->second, release_reason::not_reserved);
        return finish_release(c, run->first);
    }
    // The gang runs already and is kept, because a job that must not be
    // repeated cannot start another. The request is sent again.
    run->second.run_sent = true;
    run->second.run_last_sent = c.now;
}

void run_lost(const owner_context& c, live_job& job) {
    auto run = c.owner.gangs.find(job.gang);
    if (run == c.owner.gangs.end())
        return;
    begin_release(c, run->second, release_reason::member_lost);
    if (all_ended(run->second))
        finish_release(c, run->first);
}

void run_done(const owner_context& c, live_job& job,
              const wire::RunReport& report) {
    auto run = c.owner.gangs.find(job.gang);
    const auto& answer =
        is_mutant("cross-answers") ? report.detail() : report.answer();
    finish_job(c, job, api::ANSWERED, answer, std::nullopt);
    if (run == c.owner.gangs.end())
        return;
    for (const auto& m : run->second.members)
        kernel::record_task(c.owner.cell, m.worker, run->second.job, true,
                            c.now);
    begin_release(c, run->second, release_reason::finished);
    if (all_ended(run->second))
        finish_release(c, run->first);
}

void acknowledge_run(const owner_context& c, const std::string& agent,
                     const wire::RunReport& report) {
    auto& ack = *send(c, agent).mutable_run_ack();
    ack.set_epoch(c.owner.epoch);
    ack.set_job(report.job());
    ack.set_attempt(report.attempt());
}

} // namespace

void on_run_report(const owner_context& c, const std::string& agent,
                   const wire::RunReport& report) {
    auto it = c.owner.jobs.find(report.job());
    if (it == c.owner.jobs.end()) {
        if (report.outcome() != wire::RUN_PENDING)
            acknowledge_run(c, agent, report);
        return;
    }
    auto& job = it->second;
    if (is_terminal(job)) {
        if (job.durable && report.outcome() != wire::RUN_PENDING)
            acknowledge_run(c, agent, report);
        return;
    }
    auto run = c.owner.gangs.find(job.gang);
    const bool current =
        run != c.owner.gangs.end() && run->first == report.attempt() &&
        run->second.run_sent && run->second.phase == gang_phase::running;
    if (report.outcome() == wire::RUN_DONE)
        return run_done(c, job, report);
    if (!current) {
        if (report.outcome() != wire::RUN_PENDING)
            acknowledge_run(c, agent, report);
        return;
    }
    switch (report.outcome()) {
    case wire::RUN_PENDING:
        run->second.run_last_sent = time_point{}; // Received: not sent again.
        break;
    case wire::RUN_FAILED:
        retry_or_fail(c, job, report.detail());
        break;
    case wire::RUN_NOT_STARTED:
        acknowledge_run(c, agent, report);
        run_never_started(c, job);
        break;
    default:
        run_lost(c, job);
        break;
    }
}

void on_run_update(const owner_context& c, const std::string& agent,
                   const wire::RunUpdate& update) {
    if (c.owner.phase != owner_phase::active ||
        c.owner.agents[agent].incarnation != update.incarnation() ||
        update.refused_epoch())
        return;
    on_run_report(c, agent, update.run());
    run_schedule(c);
    flush_pages(c);
}

} // namespace celerylift::protocol
