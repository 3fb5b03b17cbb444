#pragma once

#include <celerylift/protocol/platform_calls.hpp>

#include <map>
#include <string>
#include <vector>

namespace celerylift::fakes {

/// An in-memory key-value service with compare-and-swap, leases and watches.
class fake_store {
public:
    struct stored {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };

    /// Executes one call.
    protocol::store_reply apply(const protocol::store_request& request,
                                time_point now);

    /// Expires all leases at once, as after an outage of the store.
    void expire_leases(time_point now);

    /// Removes the keys of expired leases.
    void expire(time_point now);

    /// The changes after `revision` of keys with this prefix, oldest first.
    std::vector<protocol::watch_event>
    changes_after(const std::string& prefix, std::int64_t revision) const;

    /// The current keys with this prefix.
    std::vector<protocol::watch_event>
    snapshot(const std::string& prefix) const;

    std::int64_t revision() const { return revision_; }
    std::uint64_t writes() const { return writes_; }
    std::uint64_t reads() const { return reads_; }
    std::uint64_t bytes_written() const { return bytes_written_; }
    const std::map<std::string, stored>& keys() const { return keys_; }

private:
    struct lease {
        time_point until{};
        duration ttl{0};
    };

    protocol::store_reply put(const protocol::store_request& request);
    protocol::store_reply remove(const protocol::store_request& request);
    protocol::store_reply renew(const protocol::store_request& request,
                                time_point now);
    void remove_key(const std::string& key);

    std::map<std::string, stored> keys_;
    std::map<std::int64_t, lease> leases_;
    std::vector<protocol::watch_event> changes_;
    std::int64_t revision_ = 0;
    std::int64_t next_lease_ = 1;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t bytes_written_ = 0;
};

} // namespace celerylift::fakes
