#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// How a call to the store ended. `refused` means that the store did nothing;
/// `unknown` that it may have acted, or may still act seconds from now if the
/// condition of the call then holds.
enum class store_status {
    ok,
    conflict,
    not_found,
    compacted,
    refused,
    unknown
};

struct store_item {
    std::string key;
    std::string value;
    std::int64_t revision = 0;

    bool operator==(const store_item&) const = default;
};

struct store_put {
    std::string key;
    std::string value;
    std::int64_t lease = 0; // 0: stays until it is removed.

    bool operator==(const store_put&) const = default;
};

/// Revision 0 expects that the key does not exist.
struct store_condition {
    std::string key;
    std::int64_t revision = 0;

    bool operator==(const store_condition&) const = default;
};

/// Done as a whole or not at all; at most `max_transaction_entries`.
struct store_transaction {
    std::vector<store_condition> expected;
    std::vector<store_put> puts;
    std::vector<std::string> removals;

    bool operator==(const store_transaction&) const = default;
};

inline constexpr std::size_t max_transaction_entries = 32;

/// After a conflict, `current` holds the expected keys as they are now.
struct transaction_reply {
    store_status status = store_status::unknown;
    std::int64_t revision = 0;
    std::vector<store_item> current;
};

struct read_reply {
    store_status status = store_status::unknown;
    store_item item;
    std::int64_t as_of = 0;
};

struct range_reply {
    store_status status = store_status::unknown;
    std::vector<store_item> items;
    bool has_more = false;
    std::int64_t as_of = 0;
};

struct store_change {
    store_item item;
    bool removed = false;
};

struct watch_reply {
    store_status status = store_status::unknown;
    std::vector<store_change> changes;
    std::int64_t as_of = 0;
};

struct lease_reply {
    store_status status = store_status::unknown;
    std::int64_t lease = 0;
    duration ttl{0};
};

template <class Reply>
using reply_handler = std::function<void(const Reply&)>;

/// The platform's key-value service. Each call ends with exactly one reply,
/// after `timeout` at the latest. Reads are linearizable.
class store {
public:
    virtual ~store() = default;

    virtual void transact(const store_transaction& transaction,
                          duration timeout,
                          reply_handler<transaction_reply> done) = 0;
    virtual void read(const std::string& key, duration timeout,
                      reply_handler<read_reply> done) = 0;
    /// One page of the keys with that prefix, from behind the key `after`.
    virtual void range(const std::string& prefix, const std::string& after,
                       duration timeout, reply_handler<range_reply> done) = 0;
    /// Waits up to `wait` for changes after a revision.
    virtual void watch(const std::string& prefix, std::int64_t after,
                       duration wait, duration timeout,
                       reply_handler<watch_reply> done) = 0;
    virtual void grant_lease(duration ttl, duration timeout,
                             reply_handler<lease_reply> done) = 0;
    virtual void renew_lease(std::int64_t lease, duration timeout,
                             reply_handler<lease_reply> done) = 0;
    virtual void end_lease(std::int64_t lease, duration timeout,
                           reply_handler<lease_reply> done) = 0;
};

} // namespace celerylift::fleet
