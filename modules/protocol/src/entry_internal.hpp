// Shared by the parts of the entry; not for use outside this folder.
#pragma once

#include <celerylift/protocol/entry.hpp>
#include <celerylift/protocol/job_state.hpp>

namespace celerylift::protocol {

wire::Envelope& send(const entry_context& c, const std::string& to);
void note(const entry_context& c, std::string kind, std::string subject,
          std::string detail = {});
owner_context owner_of(const entry_context& c);
std::uint64_t call_store(const entry_context& c, store_request request);

// ---- Ownership ----

void take_owner_key(const entry_context& c, const watch_event& event);
bool on_claim_reply(const entry_context& c, const store_reply& reply);
void tick_ownership(const entry_context& c);
void drop_deposed(const entry_context& c);

/// Offers what this entry alone knew as an owner to the new owner.
void send_bequests(const entry_context& c);

/// Whether the lease on the cell holds, or nobody can take it at present.
bool may_answer(const entry_context& c);

// ---- Calls ----

void offer_call(const entry_context& c, std::uint64_t id);
void tick_calls(const entry_context& c);
void take_reply(const entry_context& c, const wire::ApiReply& reply);

/// Hands over the replies that an owner in this entry has for its callers.
void collect_replies(const entry_context& c);

} // namespace celerylift::protocol
