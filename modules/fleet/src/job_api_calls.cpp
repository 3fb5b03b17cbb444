#include "job_api_internal.hpp"

#include <celerylift/fleet/names.hpp>

#include <fmt/format.h>

namespace celerylift::fleet {

namespace {

/// Whether the caller may know of a job: it is of the caller's organisation, or
/// of a queue or a time at which no key was asked for.
bool may_access(const pending_call& call) {
    const auto found = call.api.jobs->jobs.find(call.id);
    if (call.access.queue.is_public || found == call.api.jobs->jobs.end() ||
        !found->second.submission)
        return true;
    const auto& organisation = found->second.submission->organisation();
    return organisation.empty() || organisation == call.access.organisation;
}

} // namespace

answer make_answer(answer_kind kind, std::string message,
                   duration retry_after) {
    answer reply;
    reply.kind = kind;
    reply.message = std::move(message);
    reply.retry_after = retry_after;
    return reply;
}

duration advised_return(job_api& api) {
    return retry_after(api.outage(), api.run.now(),
                       std::uniform_real_distribution<>{0, 1}(api.random));
}

std::variant<admission, answer> admit(job_api& api, const caller& from) {
    if (!api.config)
        return make_answer(
            answer_kind::unavailable,
            "this entry has not read its configuration yet; use another entry",
            advised_return(api));
    const auto* queue = find_queue(*api.config, from.host, from.path);
    if (!queue)
        return make_answer(answer_kind::unknown_queue,
                           "no queue has this host and path; check both");
    const auto* organisation = find_organisation_by_key(*api.config, from.key);
    if (!organisation && !queue->is_public)
        return make_answer(
            answer_kind::unauthorised,
            "no organisation has this API key; ask the operators for a key");
    return admission{*queue, organisation ? organisation->name : ""};
}

call_ptr begin(job_api& api, const caller& from, const std::string& id,
               answer_callback done) {
    return std::make_shared<pending_call>(
        pending_call{api, from, id, std::move(done), api.run.now()});
}

void finish(const call_ptr& call, const char* verb, const answer& reply) {
    if (const auto written = std::exchange(call->in_flight, std::nullopt))
        remove(call->api.in_flight, written->first, written->second);
    const auto took_ms = (call->api.run.now() - call->started_at).count();
    call->api.run.journal.event(
        "call_answered",
        {{"verb", verb},
         {"job", call->id},
         {"answer", static_cast<int>(reply.kind)},
         {"message", reply.message},
         {"took_ms", took_ms},
         {"writes", call->writes},
         {"unanswered_writes", call->unanswered_writes},
         {"config", call->api.config ? call->api.config->version : 0}});
    call->api.run.metrics.observe(fmt::format("{}_ms", verb),
                                  static_cast<double>(took_ms));
    call->api.run.metrics.count(
        fmt::format("calls_total{{verb=\"{}\",answer=\"{}\"}}", verb,
                    static_cast<int>(reply.kind)));
    call->done(reply);
}

void answer_unknown(const call_ptr& call, const char* verb) {
    finish(call, verb,
           make_answer(answer_kind::unknown_job, "no such job was accepted"));
}

void retry_later(const call_ptr& call, std::function<void()> step) {
    call->api.run.timers.once(call->api.run.now() + store_retry_period,
                              [step = std::move(step)](time_point) { step(); });
}

void find_job(const call_ptr& call, const char* verb,
              std::function<void()> found, std::function<void()> missing) {
    if (shown_state(*call->api.jobs, call->id))
        return may_access(*call) ? found() : answer_unknown(call, verb);
    call->api.records.read(
        job_key(call->id, job_part::submission), call->timeout(),
        [call, verb, found = std::move(found),
         missing = std::move(missing)](const read_reply& reply) {
            if (reply.status == store_status::not_found)
                return missing();
            if (reply.status == store_status::ok) {
                call->api.observe(reply.item);
                return may_access(*call) ? found() : answer_unknown(call, verb);
            }
            if (call->has_time())
                return retry_later(call, [call, verb, found, missing] {
                    find_job(call, verb, found, missing);
                });
            finish(call, verb,
                   make_answer(answer_kind::unavailable,
                               "the store did not answer; try again",
                               advised_return(call->api)));
        });
}

const store_item* find_item(const transaction_reply& reply,
                            const std::string& key) {
    const auto item = std::ranges::find(reply.current, key, &store_item::key);
    return item == reply.current.end() ? nullptr : &*item;
}

std::set<std::string> withdrawing_organisations(const pending_call& call) {
    std::set<std::string> found{call.access.organisation};
    if (call.access.queue.is_public)
        found.emplace();
    return found;
}

} // namespace celerylift::fleet
