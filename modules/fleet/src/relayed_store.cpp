#include <celerylift/fleet/relayed_store.hpp>

#include <celerylift/fleet/names.hpp>
#include <celerylift/fleet/store_calls.hpp>

#include <algorithm>
#include <utility>

namespace celerylift::fleet {

namespace {

/// How often an entry that is cut off probes whether the store answers again.
constexpr duration probe_period{250};
constexpr duration probe_timeout{240};

/// A call that was sent less than this before the store answered again may
/// still be answered and is not abandoned.
constexpr duration expected_reply_time{50};

/// Added to a call's own timeout for the round trip to the other entry.
constexpr duration relay_allowance{30};

/// An entry that could not complete a call is used again after this time.
constexpr duration avoidance_period{1000};

/// Concurrent calls on behalf of other entries: a few for each entry in
/// addition to those of its callers, and a bound on what they can cost this
/// entry.
constexpr int max_served_calls = 64;

bool was_answered(store_status status) {
    return status != store_status::refused && status != store_status::unknown;
}

} // namespace

relayed_store::relayed_store(runtime& run, store& direct, sender send)
    : run_(run), direct_(direct), send_(std::move(send)),
      // A reply to an earlier incarnation of this process must match no call.
      last_number_(run.unix_ms() * 1000) {}

void relayed_store::start() {
    run_.timers.every(run_.now(), probe_period,
                      [this](time_point) { probe(); });
}

void relayed_store::set_entries(std::vector<std::string> addresses) {
    entries_ = std::move(addresses);
}

void relayed_store::probe() {
    if (!cut_off_ || probing_)
        return;
    probing_ = true;
    direct_.read(std::string(owner_key), probe_timeout,
                 [this, sent_at = run_.now()](const read_reply& reply) {
                     probing_ = false;
                     record_outcome(reply.status, sent_at);
                 });
}

void relayed_store::record_outcome(store_status status, time_point sent_at) {
    if (was_answered(status)) {
        last_answer_at_ = run_.now();
        if (!std::exchange(cut_off_, false))
            return;
        run_.journal.event("store_direct_again",
                           {{"open_calls", direct_calls_.size()}});
        return abandon_lost_calls();
    }
    // One lost reply is no outage if the store has answered since the call was
    // sent.
    if (cut_off_ || last_answer_at_ > sent_at)
        return;
    cut_off_ = true;
    cut_off_since_ = run_.now();
    run_.journal.event("store_cut_off",
                       {{"refused", status == store_status::refused},
                        {"silent_ms", (run_.now() - last_answer_at_).count()},
                        {"other_entries", entries_.size()}});
    run_.metrics.count("store_cut_off_total");
}

void relayed_store::abandon_lost_calls() {
    std::vector<std::function<void()>> lost;
    std::erase_if(direct_calls_, [&](auto& open) {
        if (run_.now() < open.second.sent_at + expected_reply_time)
            return false;
        lost.push_back(std::move(open.second.abandon));
        return true;
    });
    // Runs after the loop above, since each callback may make new calls.
    for (const auto& abandon : lost)
        abandon();
}

bool relayed_store::is_avoided(const std::string& entry) const {
    const auto it = avoided_until_.find(entry);
    return it != avoided_until_.end() && run_.now() < it->second;
}

store_outage relayed_store::outage() const {
    const bool can_relay =
        std::ranges::any_of(entries_, [this](const std::string& entry) {
            return !is_avoided(entry);
        });
    return cut_off_ && !can_relay ? store_outage{cut_off_since_}
                                  : store_outage{};
}

const std::string* relayed_store::choose_entry() {
    if (!cut_off_)
        return nullptr;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const auto& entry = entries_[(next_entry_ + i) % entries_.size()];
        if (is_avoided(entry))
            continue;
        next_entry_ = (next_entry_ + i) % entries_.size();
        return &entry;
    }
    return nullptr;
}

void relayed_store::relay(const std::string& entry, StoreCall call,
                          duration timeout,
                          std::function<void(const StoreReply&)> done) {
    const auto number = ++last_number_;
    call.set_number(number);
    call.set_timeout_ms(timeout.count());
    relayed_calls_[number] = {entry, std::move(done)};
    run_.metrics.count("store_calls_relayed_total");
    run_.timers.once(run_.now() + timeout + relay_allowance,
                     [this, number](time_point) { abandon(number); });
    FleetEnvelope envelope;
    *envelope.mutable_store_call() = std::move(call);
    send_(entry, envelope);
}

void relayed_store::abandon(std::int64_t number) {
    StoreReply reply;
    reply.set_number(number);
    reply.set_status(STORE_UNKNOWN);
    handle_reply(reply);
}

void relayed_store::handle_reply(const StoreReply& reply) {
    const auto it = relayed_calls_.find(reply.number());
    if (it == relayed_calls_.end())
        return;
    const auto call = std::move(it->second);
    relayed_calls_.erase(it);
    if (reply.status() == STORE_UNKNOWN || reply.status() == STORE_REFUSED)
        avoided_until_[call.entry] = run_.now() + avoidance_period;
    call.done(reply);
}

void relayed_store::serve(const StoreCall& call,
                          std::function<void(const StoreReply&)> done) {
    if (cut_off_ || served_calls_ >= max_served_calls) {
        StoreReply reply;
        reply.set_number(call.number());
        reply.set_status(STORE_REFUSED);
        return done(reply);
    }
    ++served_calls_;
    execute_call(direct_, call,
                 [this, done = std::move(done)](const StoreReply& reply) {
                     --served_calls_;
                     done(reply);
                 });
}

template <class Reply, class Direct, class Describe>
void relayed_store::route(duration timeout, reply_handler<Reply> done,
                          Direct direct, Describe describe) {
    if (const auto* entry = choose_entry())
        return relay(*entry, describe(), timeout,
                     [done = std::move(done)](const StoreReply& record) {
                         Reply reply;
                         from_record(record, reply);
                         done(reply);
                     });
    const auto number = ++last_number_;
    const auto sent_at = run_.now();
    direct_calls_[number] = {sent_at, [done] { done(Reply{}); }};
    direct([this, done = std::move(done), number, sent_at](const Reply& reply) {
        const bool was_pending = direct_calls_.erase(number) > 0;
        record_outcome(reply.status, sent_at);
        if (was_pending)
            done(reply);
    });
}

void relayed_store::transact(const store_transaction& transaction,
                             duration timeout,
                             reply_handler<transaction_reply> done) {
    route<transaction_reply>(
        timeout, std::move(done),
        [&](auto on_reply) {
            direct_.transact(transaction, timeout, std::move(on_reply));
        },
        [&] {
            StoreCall call;
            *call.mutable_transaction() = to_record(transaction);
            return call;
        });
}

void relayed_store::read(const std::string& key, duration timeout,
                         reply_handler<read_reply> done) {
    route<read_reply>(
        timeout, std::move(done),
        [&](auto on_reply) { direct_.read(key, timeout, std::move(on_reply)); },
        [&] {
            StoreCall call;
            call.set_read_key(key);
            return call;
        });
}

void relayed_store::range(const std::string& prefix, const std::string& after,
                          duration timeout, reply_handler<range_reply> done) {
    route<range_reply>(
        timeout, std::move(done),
        [&](auto on_reply) {
            direct_.range(prefix, after, timeout, std::move(on_reply));
        },
        [&] {
            StoreCall call;
            call.mutable_range()->set_prefix(prefix);
            call.mutable_range()->set_after(after);
            return call;
        });
}

void relayed_store::watch(const std::string& prefix, std::int64_t after,
                          duration wait, duration timeout,
                          reply_handler<watch_reply> done) {
    route<watch_reply>(
        timeout, std::move(done),
        [&](auto on_reply) {
            direct_.watch(prefix, after, wait, timeout, std::move(on_reply));
        },
        [&] {
            StoreCall call;
            call.mutable_watch()->set_prefix(prefix);
            call.mutable_watch()->set_after(after);
            call.mutable_watch()->set_wait_ms(wait.count());
            return call;
        });
}

void relayed_store::grant_lease(duration ttl, duration timeout,
                                reply_handler<lease_reply> done) {
    route<lease_reply>(
        timeout, std::move(done),
        [&](auto on_reply) {
            direct_.grant_lease(ttl, timeout, std::move(on_reply));
        },
        [&] {
            StoreCall call;
            call.set_grant_ttl_ms(ttl.count());
            return call;
        });
}

void relayed_store::renew_lease(std::int64_t lease, duration timeout,
                                reply_handler<lease_reply> done) {
    route<lease_reply>(
        timeout, std::move(done),
        [&](auto on_reply) {
            direct_.renew_lease(lease, timeout, std::move(on_reply));
        },
        [&] {
            StoreCall call;
            call.set_renew_lease(lease);
            return call;
        });
}

void relayed_store::end_lease(std::int64_t lease, duration timeout,
                              reply_handler<lease_reply> done) {
    route<lease_reply>(
        timeout, std::move(done),
        [&](auto on_reply) {
            direct_.end_lease(lease, timeout, std::move(on_reply));
        },
        [&] {
            StoreCall call;
            call.set_end_lease(lease);
            return call;
        });
}

} // namespace celerylift::fleet
