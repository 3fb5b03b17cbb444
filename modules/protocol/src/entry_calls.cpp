// Forwards client calls to the owner and returns its replies.
#include "entry_internal.hpp"

#include <celerylift/protocol/limits.hpp>
#include <celerylift/protocol/timing.hpp>

#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

/// A call without a reply is sent to the owner again after this time.
constexpr duration call_resend{1500};
constexpr duration overloaded_retry{1000};

/// Assigns an id to a configuration change, so that the owner recognises a
/// repetition after a lost reply.
void assign_request_id(const entry_context& c, wire::ApiCall& call) {
    const auto id =
        fmt::format("{}-{:x}", c.entry.settings.name, c.entry.next_call);
    const auto fill = [&](auto* request) {
        if (request->request_id().empty())
            request->set_request_id(id);
    };
    if (call.has_put_organisation())
        fill(call.mutable_put_organisation());
    else if (call.has_remove_organisation())
        fill(call.mutable_remove_organisation());
    else if (call.has_set_configuration())
        fill(call.mutable_set_configuration());
}

bool changes_something(const wire::ApiCall& call) {
    return call.has_submit_job() || call.has_cancel_job() ||
           call.has_put_organisation() || call.has_remove_organisation() ||
           call.has_set_configuration() || call.has_drain();
}

error timeout_error(const pending_call& pending) {
    if (!pending.forwarded)
        return {error_kind::unavailable,
                "no entry owns the cell at present; retry later",
                run_state::not_run, overloaded_retry};
    if (changes_something(pending.call))
        return {error_kind::deadline_exceeded,
                "the owner has not answered in time and may have applied the "
                "request; retry with the same id",
                run_state::unknown, overloaded_retry};
    return {error_kind::deadline_exceeded,
            "the owner has not answered in time; retry later",
            run_state::not_run, overloaded_retry};
}

} // namespace

std::uint64_t on_local_call(const entry_context& c, wire::ApiCall call,
                            duration limit) {
    const auto id = c.entry.next_call++;
    if (c.entry.calls.size() >= max_queued_calls || c.entry.leaving) {
        c.out.replies.push_back(error_reply(
            id,
            {c.entry.leaving ? error_kind::unavailable : error_kind::overloaded,
             c.entry.leaving
                 ? std::string("this entry is leaving; use another")
                 : fmt::format("{} calls are already pending; retry later",
                               c.entry.calls.size()),
             run_state::not_run, overloaded_retry}));
        return id;
    }
    call.set_id(id);
    assign_request_id(c, call);
    pending_call pending;
    pending.call = std::move(call);
    pending.deadline = c.now + limit;
    c.entry.calls.emplace(id, std::move(pending));
    offer_call(c, id);
    collect_replies(c);
    return id;
}

void offer_call(const entry_context& c, std::uint64_t id) {
    auto& pending = c.entry.calls.at(id);
    if (c.entry.owner) {
        if (!may_answer(c))
            return;
        pending.last_sent = c.now;
        pending.forwarded = true;
        return on_call(owner_of(c), {c.entry.settings.name, id},
                       wire::ApiCall(pending.call));
    }
    if (c.entry.owner_name.empty() ||
        c.entry.owner_name == c.entry.settings.name)
        return;
    pending.last_sent = c.now;
    pending.forwarded = true;
    *send(c, c.entry.owner_name).mutable_api_call() = pending.call;
}

void handle_reply(const entry_context& c, const wire::ApiReply& reply) {
    if (c.entry.calls.contains(reply.id()))
        c.out.replies.push_back(reply);
}

void collect_replies(const entry_context& c) {
    auto& replies = c.out.replies;
    auto kept =
        replies.begin() + static_cast<std::ptrdiff_t>(c.out.matched_replies);
    for (auto it = kept; it != replies.end(); ++it) {
        auto call = c.entry.calls.find(it->id());
        if (call == c.entry.calls.end())
            continue; // Already answered: the call was sent twice.
        if (!is_mutant("answer-twice"))
            c.entry.calls.erase(call);
        if (kept != it)
            *kept = std::move(*it);
        ++kept;
    }
    replies.erase(kept, replies.end());
    c.out.matched_replies = replies.size();
}

void tick_calls(const entry_context& c) {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, pending] : c.entry.calls)
        ids.push_back(id);
    for (auto id : ids) {
        auto it = c.entry.calls.find(id);
        if (it == c.entry.calls.end())
            continue;
        if (c.now >= it->second.deadline) {
            c.out.replies.push_back(error_reply(id, timeout_error(it->second)));
            continue;
        }
        const bool due = it->second.last_sent == time_point{} ||
                         c.now >= it->second.last_sent + call_resend;
        if (due)
            offer_call(c, id);
    }
}

} // namespace celerylift::protocol
