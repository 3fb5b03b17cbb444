#pragma once

#include "virtual_world.hpp"

#include <celerylift/fleet/store.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace celerylift::test {

/// What is wrong with the store for one of its clients, or for all.
enum class store_fault {
    none,
    silent, // Calls have no effect and no reply.
    busy,   // Calls are refused.
    lost,   // Writes are done, and their replies are lost.
    late,   // Writes are done three seconds later, without a reply.
};

/// A stand-in for the platform's store, in virtual time.
class virtual_store {
public:
    explicit virtual_store(virtual_world& world) : world_(world) {}

    store_fault fault = store_fault::none;
    std::map<std::string, store_fault> fault_of; // By the client's name.
    bool watches_are_silent = false;
    duration one_way{2};
    int watches = 0; // How often one was asked for.

    /// A client of its own for each process.
    std::unique_ptr<fleet::store> client(const std::string& name,
                                         std::weak_ptr<int> life);

    /// Writes as the operators do.
    void put(const std::string& key, const std::string& value);
    std::optional<fleet::store_item> get(const std::string& key) const;

    /// Forgets the history: watches have to read anew.
    void compact();

    fleet::transaction_reply transact(const fleet::store_transaction& t);
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
    struct kept {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    friend class virtual_store_client;

    void remove(const std::string& key);
    void expire();

    virtual_world& world_;
    std::map<std::string, kept> items_;
    std::map<std::int64_t, lease> leases_;
    std::deque<fleet::store_change> history_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_ = 0;
    std::int64_t last_lease_ = 0;
};

} // namespace celerylift::test
