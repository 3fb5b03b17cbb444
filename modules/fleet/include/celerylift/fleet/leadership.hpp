#pragma once

#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <functional>
#include <string>

namespace celerylift::fleet {

/// Keeps one entry registered in the store and, where no other entry owns the
/// cell, makes it the owner. The epoch of an owner is the revision at which
/// its key was created: it rises with each owner and fences its orders.
class leadership {
public:
    struct callbacks {
        /// This entry owns the cell now.
        std::function<void(std::int64_t epoch)> gained;
        /// It does not any longer, or can't know.
        std::function<void()> lost;
        /// How long this entry leaves a free cell to others.
        std::function<duration()> claim_delay;
    };

    leadership(runtime& run, store& records, EntryRecord self,
               callbacks callbacks);

    void start();

    /// Gives everything up at once, so that another entry can follow.
    /// `done` is called when the store has answered, or has not in time.
    void stop(std::function<void()> done);

    /// The owner key as the store shows it; an empty record where there is
    /// none.
    void on_owner_changed(const EntryRecord& owner, std::int64_t revision);

    /// Frees the cell for a stronger entry, and decides nothing from here on,
    /// whatever becomes of the call to the store.
    void hand_over();

    /// A registration of this entry has been seen to go.
    void on_own_entry_removed();

    /// Whether no other entry can own the cell now, by a clock that counts
    /// from before the last renewal was sent.
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
    void claim();
    void handle_claim_reply(const transaction_reply& reply);
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
    std::int64_t handed_over_epoch_ = 0; // Never owned again.
    time_point unowned_since_{};         // The cell, while it has no owner.
    EntryRecord owner_;
    std::int64_t owner_revision_ = 0;
    std::int64_t epoch_ = 0;
    time_point last_renewal_sent_at_{};
};

} // namespace celerylift::fleet
