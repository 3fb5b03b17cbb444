// Declarations shared by the entry's source files; internal to this folder.
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

void apply_owner_key(const entry_context& c, const watch_event& event);
bool on_claim_reply(const entry_context& c, const store_reply& reply);
void tick_ownership(const entry_context& c);
void drop_deposed(const entry_context& c);

/// Sends the new owner the jobs that only this entry, as a former owner, has
/// in memory.
void send_bequests(const entry_context& c);

/// Whether the lease on the owner key is valid, or no other entry can acquire
/// the key at present.
bool may_answer(const entry_context& c);

// ---- Calls ----

void offer_call(const entry_context& c, std::uint64_t id);
void tick_calls(const entry_context& c);
void handle_reply(const entry_context& c, const wire::ApiReply& reply);

/// Delivers the replies of an owner in this entry to the entry's callers.
void collect_replies(const entry_context& c);

} // namespace celerylift::protocol
