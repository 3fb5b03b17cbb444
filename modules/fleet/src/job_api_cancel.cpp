#include "job_api_internal.hpp"

#include <celerylift/fleet/jobs.hpp>
#include <celerylift/fleet/names.hpp>

namespace celerylift::fleet {

namespace {

void find_and_cancel(const call_ptr& call);
void withdraw(const call_ptr& call);

/// What a caller is told whose cancellation was not stored in time.
void give_up_cancellation(const call_ptr& call) {
    if (call->unanswered_writes > 0)
        return finish(call, "cancel",
                      make_answer(answer_kind::outcome_unknown,
                                  "the store did not answer; cancel again"));
    finish(call, "cancel",
           make_answer(answer_kind::unavailable,
                       "the store accepts no writes; cancel again",
                       advised_return(call->api)));
}

/// Expects the submission, so that a write that is carried out late leaves no
/// cancellation behind of a job that is not on record any more.
void store_cancellation(const call_ptr& call) {
    const auto known = call->api.jobs->jobs.find(call->id);
    if (known == call->api.jobs->jobs.end() || !known->second.submission)
        return find_and_cancel(call);
    store_transaction write;
    write.expected.push_back({job_key(call->id, job_part::submission),
                              known->second.submission_revision});
    write.puts.push_back(
        {job_key(call->id, job_part::cancellation), "cancelled", 0});
    ++call->writes;
    call->api.records.transact(
        write, call->timeout(), [call](const transaction_reply& reply) {
            if (reply.status == store_status::ok) {
                call->api.observe({job_key(call->id, job_part::cancellation),
                                   "cancelled", reply.revision});
                return finish(call, "cancel",
                              make_answer(answer_kind::accepted, ""));
            }
            call->unanswered_writes +=
                reply.status == store_status::unknown ? 1 : 0;
            if (!call->has_time())
                return give_up_cancellation(call);
            if (reply.status != store_status::conflict)
                return retry_later(call, [call] { store_cancellation(call); });
            for (const auto& item : reply.current)
                call->api.observe(item);
            if (reply.current.empty())
                return withdraw(call); // The job's records have been removed.
            store_cancellation(call);
        });
}

/// Calls `then` once the entry has a lease for withdrawals, or has failed to
/// get one.
void request_withdrawal_lease(job_api& api, duration timeout,
                              std::function<void()> then) {
    auto& state = api.withdrawn;
    state.awaiting_lease.push_back(std::move(then));
    if (std::exchange(state.lease_requested, true))
        return;
    api.records.grant_lease(
        withdrawal_lease_ttl, timeout,
        [&api, sent_at = api.run.now()](const lease_reply& reply) {
            auto& state = api.withdrawn;
            state.lease_requested = false;
            if (reply.status == store_status::ok) {
                state.lease = reply.lease;
                state.lease_used_until =
                    sent_at + reply.ttl - min_withdrawal_time;
            }
            for (const auto& call : std::exchange(state.awaiting_lease, {}))
                call();
        });
}

void store_withdrawal(const call_ptr& call);

void handle_withdrawal_reply(const call_ptr& call, const store_item& mark,
                             const transaction_reply& reply) {
    if (reply.status == store_status::ok) {
        call->api.observe({mark.key, mark.value, reply.revision});
        call->api.run.metrics.count("jobs_withdrawn_total");
        call->api.run.journal.event(
            "job_withdrawn", {{"job", call->id},
                              {"organisation", call->access.organisation},
                              {"revision", reply.revision}});
        return answer_unknown(call, "cancel");
    }
    if (reply.status == store_status::not_found)
        call->api.withdrawn.lease_used_until = {}; // It has ended.
    call->unanswered_writes += reply.status == store_status::unknown ? 1 : 0;
    if (!call->has_time())
        return give_up_cancellation(call);
    if (reply.status != store_status::conflict)
        return retry_later(call, [call] { store_withdrawal(call); });
    for (const auto& item : reply.current)
        call->api.observe(item);
    if (find_item(reply, job_key(call->id, job_part::submission)))
        return find_and_cancel(call);
    const auto* other = find_item(reply, mark.key);
    call->expected_withdrawal = other ? other->revision : 0;
    if (other)
        call->own_withdrawal.organisations.merge(
            parse_withdrawal(other->value).organisations);
    store_withdrawal(call);
}

/// Stores that a job which is not on record was withdrawn, and only then
/// answers that there is no such job.
void store_withdrawal(const call_ptr& call) {
    auto& api = call->api;
    const auto now = api.run.now();
    const auto decision = decide_write(api.outage(), now, call->retry_by());
    if (decision == write_decision::reject || !call->has_time())
        return give_up_cancellation(call);
    if (decision == write_decision::hold)
        return retry_later(call, [call] { store_withdrawal(call); });
    if (now >= api.withdrawn.lease_used_until)
        return request_withdrawal_lease(api, call->timeout(), [call] {
            if (call->api.run.now() < call->api.withdrawn.lease_used_until)
                return store_withdrawal(call);
            retry_later(call, [call] { store_withdrawal(call); });
        });
    call->own_withdrawal.organisations.merge(withdrawing_organisations(*call));
    const store_item mark{job_key(call->id, job_part::cancellation),
                          to_value(call->own_withdrawal)};
    store_transaction write;
    write.expected.push_back({job_key(call->id, job_part::submission), 0});
    write.expected.push_back({mark.key, call->expected_withdrawal});
    write.puts.push_back({mark.key, mark.value, api.withdrawn.lease});
    ++call->writes;
    api.records.transact(write, call->timeout(),
                         [call, mark](const transaction_reply& reply) {
                             handle_withdrawal_reply(call, mark, reply);
                         });
}

void withdraw(const call_ptr& call) {
    if (take_withdrawal(call->api.withdrawn, call->access.organisation,
                        call->api.run.now()))
        return store_withdrawal(call);
    call->api.run.metrics.count("withdrawals_refused_total");
    finish(call, "cancel",
           make_answer(answer_kind::unavailable,
                       "too many jobs are being cancelled that were not "
                       "accepted; cancel again",
                       advised_return(call->api)));
}

void find_and_cancel(const call_ptr& call) {
    find_job(
        call, "cancel",
        [call] {
            const auto state = shown_state(*call->api.jobs, call->id);
            if (state && is_final(*state))
                return finish(call, "cancel",
                              make_answer(answer_kind::accepted, ""));
            store_cancellation(call);
        },
        [call] { withdraw(call); });
}

} // namespace

void cancel(job_api& api, const caller& from, const std::string& id,
            answer_callback done) {
    const auto call = begin(api, from, id, std::move(done));
    const auto access = admit(api, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "cancel", *refusal);
    call->access = std::get<admission>(access);
    find_and_cancel(call);
}

} // namespace celerylift::fleet
