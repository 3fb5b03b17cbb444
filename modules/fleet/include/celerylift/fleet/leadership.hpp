#pragma once

#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace celerylift::fleet {

/// Keeps one entry registered in the store and makes it the owner of the cell
/// if there is none. The epoch of an owner is the revision at which its owner
/// key was created: it rises with each owner and is the fencing token of its
/// orders.
class leadership {
public:
    struct callbacks {
        /// Called when this entry becomes the owner of the cell.
        std::function<void(std::int64_t epoch)> gained;
        /// Called when it no longer is the owner, or cannot know.
        std::function<void()> lost;
        /// How long this entry waits before it claims a cell without an owner.
        /// Nothing if it could not take over now.
        std::function<std::optional<duration>()> claim_delay;
    };

    leadership(runtime& run, store& records, EntryRecord self,
               callbacks callbacks);

    void start();

    /// Releases ownership and lease at once, so that another entry can take
    /// over. `done` is called when the store has answered or the call has timed
    /// out.
    void stop(std::function<void()> done);

    /// Applies the owner key as the store held it at the revision `as_of`; the
    /// record is empty and the revision 0 if there was none. A state that is
    /// older than one that was applied is ignored.
    void on_owner_changed(const EntryRecord& owner, std::int64_t revision,
                          std::int64_t as_of);

    /// Releases the cell to another entry. This entry stops deciding at once,
    /// whatever the outcome of the call to the store.
    void hand_over(const char* reason);

    /// A registration of this entry was removed; the entry registers again.
    void on_own_entry_removed();

    /// Whether this entry owns the cell and no other entry can own it now. The
    /// validity of the lease counts from before its last renewal was sent.
    bool is_valid() const;

    std::int64_t epoch() const { return epoch_; }

private:
    void request_lease();
    void handle_lease(const lease_reply& reply, time_point sent);
    void register_entry();
    void renew();
    void handle_renewal(const lease_reply& reply, time_point sent,
                        std::int64_t lease);
    void tick();
    bool should_claim() const;
    void claim();
    /// Whether this process has written an owner key, under the lease that it
    /// renews now. A key under an earlier lease ends unnoticed.
    bool is_own_claim(const EntryRecord& owner) const;
    void handle_claim_reply(const EntryRecord& claimed,
                            const transaction_reply& reply);
    void abandon_lease(const char* reason);
    void replace_lease();
    void resign(const char* reason);

    runtime& run_;
    store& store_;
    EntryRecord self_;
    callbacks callbacks_;
    std::int64_t lease_ = 0;
    time_point lease_valid_until_{};
    bool lease_requested_ = false;
    bool renewing_ = false;
    bool registering_ = false;
    bool registered_ = false;
    bool claiming_ = false;
    bool stopped_ = false;
    bool owner_seen_ = false;
    std::int64_t handed_over_epoch_ = 0; // Its ownership is not resumed.
    time_point unowned_since_{};         // Valid only while there is no owner.
    EntryRecord owner_;
    std::int64_t owner_revision_ = 0;
    std::int64_t owner_as_of_ = 0;
    std::int64_t epoch_ = 0;
    time_point last_renewal_sent_at_{};
};

} // namespace celerylift::fleet
