#pragma once

#include "simulation.hpp"

#include <celerylift/fleet/store.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace celerylift::test {

/// A fault of the store that is injected for one of its clients, or for all.
enum class store_fault {
    none,
    unresponsive,   // Calls have no effect and get no reply.
    busy,           // Calls are refused and have no effect.
    lost_replies,   // Writes take effect, and their replies are lost.
    delayed_writes, // Writes take effect three seconds later, and get no reply.
    no_job_pages,   // No page of the jobs arrives.
};

/// A fake of the platform's store in virtual time.
class virtual_store {
public:
    explicit virtual_store(simulation& sim) : sim_(sim) {}

    /// Applies to clients that `client_faults` does not list.
    store_fault fault = store_fault::none;
    std::map<std::string, store_fault> client_faults; // By client name.
    bool delay_watches = false;
    /// Watches return nothing until they time out.
    bool silence_watches = false;
    duration one_way_delay{2};
    duration page_time{0}; // How long a page of a range takes to arrive.
    /// How long changes of jobs take to arrive on a watch, by client name.
    std::map<std::string, duration> job_watch_times;
    /// Bandwidth of writes, 0 where it is not limited. A write that takes
    /// longer than its timeout has no effect.
    std::int64_t written_bytes_per_s = 0;
    int watch_calls = 0;

    /// Creates the client of one process. Replies are dropped once that process
    /// has ended.
    std::unique_ptr<fleet::store> client(const std::string& name,
                                         std::weak_ptr<int> liveness);

    /// Writes a key without a condition, as operators do.
    void put(const std::string& key, const std::string& value);
    std::optional<fleet::store_item> get(const std::string& key) const;
    /// Removes a key, as operators do.
    void remove(const std::string& key);

    /// Drops the history of changes. Watches from an earlier revision fail with
    /// `compacted`.
    void compact();

    fleet::transaction_reply
    transact(const fleet::store_transaction& transaction);
    fleet::range_reply range(const std::string& prefix,
                             const std::string& after) const;
    std::optional<fleet::watch_reply> changes(const std::string& prefix,
                                              std::int64_t after) const;
    fleet::lease_reply grant(duration ttl);
    fleet::lease_reply renew(std::int64_t lease);
    fleet::lease_reply end(std::int64_t lease);

private:
    struct lease {
        duration ttl{0};
        time_point ends{};
    };
    struct stored_value {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    friend class virtual_store_client;

    void expire();

    simulation& sim_;
    std::map<std::string, stored_value> items_;
    std::map<std::int64_t, lease> leases_;
    std::deque<fleet::store_change> history_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_revision_ = 0;
    std::int64_t last_lease_ = 0;
};

} // namespace celerylift::test
