// The states of a job, and the replies to its callers.
#include "owner_internal.hpp"

#include <celerylift/kernel/queue.hpp>
#include <celerylift/kernel/schedule.hpp>

#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {
constexpr int max_history_steps = 64;
}

const std::string& id_of(const live_job& job) {
    return job.record.spec().id();
}

bool is_terminal(const live_job& job) {
    return is_ended(job.record.status().state());
}

bool is_repeatable(const live_job& job) {
    return !job.record.spec().not_repeatable();
}

void set_state(const owner_context& c, live_job& job, api::JobState state,
               const std::string& reason) {
    auto& record = job.record;
    record.mutable_status()->set_state(state);
    if (record.history_size() < max_history_steps || is_ended(state)) {
        auto* step = record.add_history();
        step->set_state(state);
        step->set_wall_ms(c.wall_ms);
        step->set_reason(reason);
    }
    note(c, "job_" + api::JobState_Name(state), id_of(job), reason);
}

api::JobStatus status_of(const owner_state& owner, const live_job& job) {
    api::JobStatus status = job.record.status();
    status.set_id(id_of(job));
    status.set_durable(job.durable);
    if (auto it = owner.cell.waiting.find(id_of(job));
        it != owner.cell.waiting.end())
        status.set_waiting_for(it->second.waiting_for);
    return status;
}

void admit_job(const owner_context& c, live_job& job, bool durable) {
    if (durable && !job.durable) {
        job.durable = true;
        if (c.owner.volatile_jobs > 0 &&
            job.record.status().state() != api::ACCEPTED)
            --c.owner.volatile_jobs;
    }
    if (job.record.status().state() == api::ACCEPTED) {
        if (!durable) {
            ++c.owner.volatile_jobs;
            mark_changed(c, job);
            when_durable(c, job, durable_step::admit);
        }
        kernel::enqueue(c.owner.cell, from_api(job.record.spec()),
                        job.accepted);
        set_state(c, job, api::QUEUED, durable ? "" : "store is down");
    }
    for (const auto& who : job.submitters) {
        wire::ApiReply answer;
        *answer.mutable_job() = status_of(c.owner, job);
        reply(c, who, std::move(answer));
    }
    job.submitters.clear();
}

void finish_job(const owner_context& c, live_job& job, api::JobState state,
                const std::string& answer, const std::optional<error>& why) {
    if (is_terminal(job))
        return;
    kernel::remove_waiting(c.owner.cell, id_of(job));
    c.owner.delayed_jobs.erase(id_of(job));
    c.owner.unresolved.erase(id_of(job));
    drop_holds(c, id_of(job));
    auto* status = job.record.mutable_status();
    status->set_answer(answer);
    if (why)
        *status->mutable_error() = to_api(*why);
    set_state(c, job, state, why ? why->message : "");
    job.finished = c.now;
    // Agents keep their records of the job until its outcome is in the store.
    job.durable = is_mutant("forget-outcomes");
    c.owner.finished.emplace_back(c.now, id_of(job));
    mark_changed(c, job);
    when_durable(c, job, durable_step::announce);
}

void announce_outcome(const owner_context& c, live_job& job) {
    auto waiters = std::move(job.waiters);
    job.waiters.clear();
    for (const auto& w : waiters) {
        wire::ApiReply answer;
        *answer.mutable_job() = status_of(c.owner, job);
        reply(c, w.who, std::move(answer));
    }
}

void requeue_job(const owner_context& c, live_job& job, duration pause,
                 const std::string& why) {
    job.gang = 0;
    job.record.mutable_status()->clear_members();
    job.record.mutable_status()->clear_backend();
    if (is_terminal(job))
        return;
    set_state(c, job, api::QUEUED, why);
    if (job.record.intent()) {
        // Nothing has started, so the intent is withdrawn.
        job.ran = run_state::not_run;
        job.record.set_intent(false);
        job.record.clear_intent_agents();
        mark_changed(c, job);
    }
    if (pause.count() > 0) {
        job.retry_at = c.now + pause;
        c.owner.delayed_jobs.insert(id_of(job));
        return;
    }
    kernel::enqueue(c.owner.cell, from_api(job.record.spec()), job.accepted,
                    job.failed_on);
}

namespace {

/// Releases the gang of a job that ended for a reason outside the gang.
void cancel_gang(const owner_context& c, const live_job& job) {
    auto run = c.owner.gangs.find(job.gang);
    if (run != c.owner.gangs.end())
        begin_release(c, run->second, release_reason::cancelled);
}

} // namespace

void cancel_job(const owner_context& c, live_job& job, const error& why) {
    if (is_terminal(job))
        return;
    error e = why;
    e.ran = is_mutant("deny-runs") ? run_state::not_run : job.ran;
    const auto state =
        why.kind == error_kind::cancelled ? api::JOB_CANCELLED : api::FAILED;
    finish_job(c, job, state, "", e);
    cancel_gang(c, job);
}

void on_handover_state(const owner_context& c, const std::string& from,
                       const wire::Bequest& bequest) {
    if (c.owner.phase != owner_phase::active)
        return;
    const auto& record = bequest.job();
    const auto& id = record.spec().id();
    auto [it, added] = c.owner.jobs.try_emplace(id);
    auto& job = it->second;
    if (added) {
        job.record.mutable_spec()->CopyFrom(record.spec());
        job.record.mutable_status()->set_id(id);
        job.record.set_spec_hash(record.spec_hash());
        job.record.set_accepted_wall_ms(record.accepted_wall_ms());
        *job.record.mutable_history() = record.history();
        job.page = page_of(c.owner, id);
        job.accepted = c.now;
        job.ran = run_state::unknown;
        c.owner.pages[job.page].jobs.insert(id);
        note(c, "job_bequeathed", id, from);
        set_state(c, job, api::ACCEPTED, "handed over by " + from);
        mark_changed(c, job);
        if (!is_ended(record.status().state()))
            when_durable(c, job, durable_step::admit);
    }
    const auto& status = record.status();
    if (is_ended(status.state()) && !is_terminal(job)) {
        finish_job(c, job, status.state(), status.answer(),
                   status.has_error() ? std::optional(from_api(status.error()))
                                      : std::nullopt);
        cancel_gang(c, job);
    }
    if (from != c.owner.self)
        send(c, from).mutable_bequest_ack()->set_job(id);
    flush_pages(c);
}

namespace {

void enqueue_delayed_jobs(const owner_context& c) {
    const auto delayed = c.owner.delayed_jobs;
    for (const auto& id : delayed) {
        auto& job = c.owner.jobs.at(id);
        if (job.retry_at > c.now)
            continue;
        c.owner.delayed_jobs.erase(id);
        kernel::enqueue(c.owner.cell, from_api(job.record.spec()), job.accepted,
                        job.failed_on);
    }
}

void expire_jobs(const owner_context& c) {
    auto& deadlines = c.owner.deadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= c.now) {
        const auto id = deadlines.begin()->second;
        deadlines.erase(deadlines.begin());
        auto it = c.owner.jobs.find(id);
        if (it == c.owner.jobs.end())
            continue;
        cancel_job(c, it->second,
                   {error_kind::deadline_exceeded,
                    "the job's deadline passed; raise deadline_ms or the "
                    "organisation's guarantee",
                    run_state::not_run, duration{0}});
    }
}

void expire_waiters(const owner_context& c) {
    const auto ids = c.owner.with_waiters;
    for (const auto& id : ids) {
        auto it = c.owner.jobs.find(id);
        if (it == c.owner.jobs.end() || it->second.waiters.empty()) {
            c.owner.with_waiters.erase(id);
            continue;
        }
        auto& waiters = it->second.waiters;
        for (const auto& w : waiters) {
            if (w.deadline > c.now)
                continue;
            wire::ApiReply answer;
            *answer.mutable_job() = status_of(c.owner, it->second);
            reply(c, w.who, std::move(answer));
        }
        std::erase_if(waiters,
                      [&](const waiter& w) { return w.deadline <= c.now; });
    }
}

void forget_old_outcomes(const owner_context& c) {
    auto& finished = c.owner.finished;
    while (!finished.empty() &&
           finished.front().first + outcome_retention <= c.now) {
        const auto id = finished.front().second;
        finished.pop_front();
        auto it = c.owner.jobs.find(id);
        if (it == c.owner.jobs.end() || !is_terminal(it->second))
            continue;
        mark_changed(c, it->second);
        c.owner.pages[it->second.page].jobs.erase(id);
        c.owner.cell.job_failures.erase(id);
        c.owner.jobs.erase(it);
    }
}

} // namespace

void tick_jobs(const owner_context& c) {
    enqueue_delayed_jobs(c);
    expire_jobs(c);
    expire_waiters(c);
    forget_old_outcomes(c);
}

} // namespace celerylift::protocol
