#pragma once

#include <celerylift/base/event_log.hpp>
#include <celerylift/protocol/owner.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::protocol {

struct entry_settings {
    std::string name;
    std::string cell;
    std::vector<std::string> peers;

    bool operator==(const entry_settings&) const = default;
};

/// A client call received by this entry that the owner has not answered.
struct pending_call {
    wire::ApiCall call;
    time_point deadline{};
    time_point last_sent{};
    bool forwarded = false;
};

/// The steps in which an entry acquires the owner key.
enum class claim_step { none, granting, putting, reading_back };

struct claim_state {
    claim_step step = claim_step::none;
    std::uint64_t request = 0;
    std::int64_t lease = 0;
    time_point lease_until{};
    time_point granted_at{};
    std::string write_id;
    bool resuming = false;
    time_point not_before{};
};

struct peer_view {
    time_point last_status_at{};
    int agents_heard = 0;
    bool leaving = false;
    bool holds_cell = false;
    std::map<std::string, std::uint64_t> agents; // Name to incarnation.
};

struct entry_state {
    entry_settings settings;
    base::event_log log;
    std::unique_ptr<owner_state> owner; // Set while this entry owns the cell.

    std::string owner_name; // According to the store.
    std::int64_t owner_epoch = 0;
    bool owner_known = false; // Set by the first watch event.
    claim_state claim;
    std::uint64_t renewal_request = 0;
    time_point renewal_sent{};
    time_point next_renewal{};
    std::uint64_t remove_request = 0;

    std::map<std::string, time_point> agents_heard;
    std::map<std::string, std::uint64_t> agent_incarnations;
    std::map<std::string, peer_view> peers;
    std::map<std::uint64_t, pending_call> calls;
    std::map<std::string, wire::JobRecord> bequests; // Until acknowledged.
    time_point next_bequest{};
    std::string last_owner;
    std::uint64_t next_call = 1;
    std::uint64_t next_request = 1;
    std::uint64_t next_write = 1;
    std::uint64_t random = 1;
    time_point next_status{};

    std::int64_t configuration_revision = 0;
    api::Settings configuration;
    bool leaving = false;
};

struct entry_context {
    entry_state& entry;
    outbox& out;
    time_point now;
    std::int64_t wall_ms;
};

entry_state make_entry(const entry_settings& settings, std::uint64_t seed,
                       time_point now);

/// Accepts a client call. The reply is queued in the outbox, immediately or
/// later, under the returned call number.
std::uint64_t on_local_call(const entry_context& c, wire::ApiCall call,
                            duration limit);
void on_message(const entry_context& c, const wire::Envelope& envelope);
void on_store_reply(const entry_context& c, const store_reply& reply);
void on_watch(const entry_context& c, const watch_event& event);
void on_tick(const entry_context& c);

/// Stops accepting calls and releases the owner key once all changes are
/// stored.
void begin_leaving(const entry_context& c);
bool is_idle(const entry_state& entry);

/// The prefix of the watched keys of a cell: the owner key and the
/// configuration.
std::string control_prefix(const std::string& cell);
std::string owner_key(const std::string& cell);

} // namespace celerylift::protocol
