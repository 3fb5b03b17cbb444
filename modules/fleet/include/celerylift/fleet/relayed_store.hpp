#pragma once

#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/store.hpp>
#include <celerylift/fleet/store_outage.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// Makes store calls over this process's own connection or, while the store
/// rejects this host or is unreachable from it, through another entry. Calls
/// are direct again as soon as the store answers a call from this host.
class relayed_store : public store {
public:
    using sender =
        std::function<void(const std::string& entry, const FleetEnvelope&)>;

    relayed_store(runtime& run, store& direct, sender send);

    /// Starts the periodic probe that detects, while the store does not answer,
    /// that it answers again.
    void start();

    /// Sets the addresses of the other entries.
    void set_entries(std::vector<std::string> addresses);

    /// Handles another entry's reply to a relayed call.
    void handle_reply(const StoreReply& reply);

    /// The outage that calls made now would meet, if one is known.
    store_outage outage() const;

    /// Makes a call on behalf of another entry. Refuses it at once while the
    /// store is unreachable from here as well.
    void serve(const StoreCall& call,
               std::function<void(const StoreReply&)> done);

    void transact(const store_transaction& transaction, duration timeout,
                  reply_handler<transaction_reply> done) override;
    void read(const std::string& key, duration timeout,
              reply_handler<read_reply> done) override;
    void range(const std::string& prefix, const std::string& after,
               duration timeout, reply_handler<range_reply> done) override;
    void watch(const std::string& prefix, std::int64_t after, duration wait,
               duration timeout, reply_handler<watch_reply> done) override;
    void grant_lease(duration ttl, duration timeout,
                     reply_handler<lease_reply> done) override;
    void renew_lease(std::int64_t lease, duration timeout,
                     reply_handler<lease_reply> done) override;
    void end_lease(std::int64_t lease, duration timeout,
                   reply_handler<lease_reply> done) override;

private:
    /// A call that another entry makes on behalf of this one.
    struct relayed_call {
        std::string entry;
        std::function<void(const StoreReply&)> done;
    };

    /// A call over this process's own connection.
    struct direct_call {
        time_point sent_at{};
        std::function<void()> abandon;
    };

    template <class Reply, class Direct, class Describe>
    void route(duration timeout, reply_handler<Reply> done, Direct direct,
               Describe describe);

    /// Updates `cut_off_` after a direct call was answered or not.
    void record_outcome(store_status status, time_point sent_at);
    void probe();
    /// Completes, after an outage, the calls that were sent during it with an
    /// unknown outcome. They are lost, and their callers need not wait for the
    /// timeout.
    void abandon_lost_calls();
    /// Returns the entry to relay through, or null where a call is to be made
    /// directly.
    const std::string* choose_entry();
    bool is_avoided(const std::string& entry) const;
    void relay(const std::string& entry, StoreCall call, duration timeout,
               std::function<void(const StoreReply&)> done);
    void abandon(std::int64_t number);

    runtime& run_;
    store& direct_;
    sender send_;
    bool cut_off_ = false;
    time_point cut_off_since_{};
    bool probing_ = false;
    time_point last_answer_at_{};
    std::vector<std::string> entries_;
    std::size_t next_entry_ = 0;
    std::map<std::string, time_point> avoided_until_;
    std::int64_t last_number_ = 0;
    std::map<std::int64_t, relayed_call> relayed_calls_;
    std::map<std::int64_t, direct_call> direct_calls_;
    int served_calls_ = 0;
};

} // namespace celerylift::fleet
