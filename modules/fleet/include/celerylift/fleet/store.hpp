#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// Outcome of a call to the store. `refused`: the call had no effect.
/// `conflict`: an expected revision did not match, and nothing was written.
/// `compacted`: the changes after the requested revision are no longer kept.
/// `unknown`: the call may have taken effect, or may still do so seconds later
/// if its conditions hold then.
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
    std::int64_t lease = 0; // 0: the key is kept until it is removed.

    bool operator==(const store_put&) const = default;
};

/// Requires that a key has this revision. Revision 0 requires that the key does
/// not exist.
struct store_condition {
    std::string key;
    std::int64_t revision = 0;

    bool operator==(const store_condition&) const = default;
};

/// Applied atomically. Holds at most `max_transaction_entries` conditions, puts
/// and removals together.
struct store_transaction {
    std::vector<store_condition> expected;
    std::vector<store_put> puts;
    std::vector<std::string> removals;

    bool operator==(const store_transaction&) const = default;
};

inline constexpr std::size_t max_transaction_entries = 32;

/// After a conflict, `current` holds the current items of the expected keys.
struct transaction_reply {
    store_status status = store_status::unknown;
    std::int64_t revision = 0;
    std::vector<store_item> current;
};

/// `as_of` is the revision of the store that the reply reflects, here and in
/// the replies below.
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

/// The platform's key-value service. Each call gets exactly one reply, within
/// `timeout`; that of a range or a watch counts from the last data that has
/// arrived. Reads are linearizable.
class store {
public:
    virtual ~store() = default;

    virtual void transact(const store_transaction& transaction,
                          duration timeout,
                          reply_handler<transaction_reply> done) = 0;
    virtual void read(const std::string& key, duration timeout,
                      reply_handler<read_reply> done) = 0;
    /// Reads one page of the keys with a prefix, starting with the first key
    /// after `after`.
    virtual void range(const std::string& prefix, const std::string& after,
                       duration timeout, reply_handler<range_reply> done) = 0;
    /// Waits up to `wait` for changes with a revision higher than `after`.
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
