#include <celerylift/fleet/leadership.hpp>

#include <celerylift/fleet/names.hpp>

#include <fmt/format.h>
#include <utility>

namespace celerylift::fleet {

namespace {

/// How long an owner that has failed keeps others from taking over. Longer than
/// three lost renewals, shorter than the guaranteed time of a takeover.
constexpr duration lease_ttl{1200};
constexpr duration renewal_period{300};
/// Subtracted because clocks run at different speeds.
constexpr duration lease_margin{100};
constexpr duration call_timeout{600};
constexpr duration tick_period{100};

} // namespace

leadership::leadership(runtime& run, store& records, EntryRecord self,
                       callbacks callbacks)
    : run_(run), store_(records), self_(std::move(self)),
      callbacks_(std::move(callbacks)) {}

void leadership::start() {
    run_.timers.every(run_.now(), tick_period, [this](time_point) { tick(); });
    tick();
}

bool leadership::is_valid() const {
    return epoch_ != 0 && !stopped_ && run_.now() < lease_valid_until_;
}

void leadership::tick() {
    if (stopped_)
        return;
    if (lease_ == 0)
        return request_lease();
    if (!renewing_ && run_.now() >= last_renewal_sent_at_ + renewal_period)
        renew();
    if (!registered_ && !registering_)
        register_entry();
    if (should_claim())
        claim();
}

bool leadership::should_claim() const {
    if (!owner_seen_ || owner_revision_ != 0 || epoch_ != 0 || claiming_)
        return false;
    const auto delay = callbacks_.claim_delay();
    return delay && run_.now() >= unowned_since_ + *delay;
}

void leadership::request_lease() {
    if (lease_requested_)
        return;
    lease_requested_ = true;
    const auto sent = run_.now();
    store_.grant_lease(lease_ttl, call_timeout,
                       [this, sent](const lease_reply& reply) {
                           lease_requested_ = false;
                           handle_lease(reply, sent);
                       });
}

void leadership::handle_lease(const lease_reply& reply, time_point sent) {
    if (stopped_ || reply.status != store_status::ok)
        return;
    lease_ = reply.lease;
    self_.set_lease(lease_);
    last_renewal_sent_at_ = sent;
    lease_valid_until_ = sent + reply.ttl - lease_margin;
    registered_ = false;
    tick();
}

void leadership::renew() {
    renewing_ = true;
    const auto sent = run_.now();
    last_renewal_sent_at_ = sent;
    store_.renew_lease(lease_, call_timeout,
                       [this, sent, lease = lease_](const lease_reply& reply) {
                           renewing_ = false;
                           handle_renewal(reply, sent, lease);
                       });
}

void leadership::handle_renewal(const lease_reply& reply, time_point sent,
                                std::int64_t lease) {
    if (stopped_ || lease != lease_)
        return;
    if (reply.status == store_status::not_found)
        return abandon_lease("the store lease has ended");
    if (reply.status == store_status::ok)
        lease_valid_until_ = sent + lease_ttl - lease_margin;
}

void leadership::abandon_lease(const char* reason) {
    lease_ = 0;
    registered_ = false;
    resign(reason);
    request_lease();
}

void leadership::resign(const char* reason) {
    if (epoch_ == 0)
        return;
    run_.journal.event("ownership_lost", {{"epoch", epoch_}, {"why", reason}});
    epoch_ = 0;
    callbacks_.lost();
}

void leadership::register_entry() {
    registering_ = true;
    store_transaction write;
    write.puts.push_back({fmt::format("{}{}", entry_prefix, self_.name()),
                          self_.SerializeAsString(), lease_});
    store_.transact(write, call_timeout,
                    [this, lease = lease_](const transaction_reply& reply) {
                        registering_ = false;
                        if (lease != lease_)
                            return;
                        registered_ = reply.status == store_status::ok;
                        if (reply.status == store_status::not_found)
                            abandon_lease("the store lease has ended");
                    });
}

void leadership::claim() {
    if (run_.now() >= lease_valid_until_)
        return;
    claiming_ = true;
    store_transaction write;
    write.expected.push_back({std::string(owner_key), 0});
    write.puts.push_back(
        {std::string(owner_key), self_.SerializeAsString(), lease_});
    store_.transact(write, call_timeout,
                    [this, claimed = self_](const transaction_reply& reply) {
                        claiming_ = false;
                        handle_claim_reply(claimed, reply);
                    });
}

bool leadership::is_own_claim(const EntryRecord& owner) const {
    return owner.name() == self_.name() && owner.address() == self_.address() &&
           owner.incarnation() == self_.incarnation() &&
           owner.lease() == self_.lease();
}

void leadership::handle_claim_reply(const EntryRecord& claimed,
                                    const transaction_reply& reply) {
    // on_owner_changed() receives the owner key whether or not the claim
    // succeeded, which also covers a claim whose reply was lost.
    if (reply.status == store_status::not_found && claimed.lease() == lease_)
        abandon_lease("the store lease has ended");
    if (reply.status == store_status::ok)
        on_owner_changed(claimed, reply.revision, reply.revision);
}

void leadership::on_owner_changed(const EntryRecord& owner,
                                  std::int64_t revision, std::int64_t as_of) {
    if (!std::exchange(owner_seen_, true))
        unowned_since_ = run_.now();
    // The reply to a claim may arrive before the cache reports an older state.
    if (as_of < owner_as_of_)
        return;
    owner_as_of_ = as_of;
    const bool changed = revision != owner_revision_;
    owner_ = owner;
    if (owner_revision_ != 0 && revision == 0)
        unowned_since_ = run_.now();
    owner_revision_ = revision;
    if (epoch_ != 0 && revision != epoch_)
        resign("another entry owns the cell");
    if (changed)
        run_.journal.event("owner_seen",
                           {{"owner", owner.name()}, {"epoch", revision}});
    if (!stopped_ && epoch_ == 0 && revision != 0 &&
        revision != handed_over_epoch_ && is_own_claim(owner)) {
        epoch_ = revision;
        run_.journal.event("ownership_gained", {{"epoch", epoch_}});
        callbacks_.gained(epoch_);
    }
    tick();
}

void leadership::hand_over(const char* reason) {
    if (epoch_ == 0)
        return;
    handed_over_epoch_ = epoch_;
    store_transaction write;
    write.expected.push_back({std::string(owner_key), epoch_});
    write.removals.emplace_back(owner_key);
    // This entry decides nothing from here on, whether or not a reply arrives.
    resign(reason);
    store_.transact(write, call_timeout,
                    [this, lease = lease_](const transaction_reply& reply) {
                        if (reply.status != store_status::ok && lease == lease_)
                            replace_lease();
                    });
}

/// The store removes the owner key with its lease, at the latest when the lease
/// expires.
void leadership::replace_lease() {
    store_.end_lease(lease_, call_timeout, [](const lease_reply&) {});
    abandon_lease("the cell could not be handed over");
}

void leadership::on_own_entry_removed() {
    registered_ = false;
}

void leadership::stop(std::function<void()> done) {
    stopped_ = true;
    epoch_ = 0;
    if (lease_ == 0)
        return done();
    store_.end_lease(lease_, call_timeout,
                     [done = std::move(done)](const lease_reply&) { done(); });
}

} // namespace celerylift::fleet
