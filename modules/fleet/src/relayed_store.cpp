#include <celerylift/fleet/relayed_store.hpp>

#include <celerylift/fleet/names.hpp>
#include <celerylift/fleet/store_calls.hpp>

#include <algorithm>
#include <utility>

namespace celerylift::fleet {

namespace {

/// How often an entry that is cut off looks whether the store answers again.
constexpr duration probe_period{250};
constexpr duration probe_timeout{240};

/// A call that was sent less than this before the store answered again may
/// just be on its way.
constexpr duration usual_answer{50};

/// Added to a call's own timeout for the way to the other entry and back.
constexpr duration relay_allowance{30};

/// An entry that did not help is asked again after this time.
constexpr duration avoidance{1000};

/// Calls that are made for other entries at a time: a few for each of them
/// besides its callers', and a bound on what they can cost this one.
constexpr int most_served_calls = 64;

bool was_answered(store_status status) {
    return status != store_status::refused && status != store_status::unknown;
}

} // namespace

relayed_store::relayed_store(runtime& run, store& direct, sender send)
    : run_(run), direct_(direct), send_(std::move(send)),
      // A reply to an earlier life of this process must match no call.
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
                 [this, sent = run_.now()](const read_reply& reply) {
                     probing_ = false;
                     note(reply.status, sent);
                 });
}

void relayed_store::note(store_status status, time_point sent) {
    if (was_answered(status)) {
        answered_at_ = run_.now();
        if (!std::exchange(cut_off_, false))
            return;
        run_.journal.event("store_direct_again",
                           {{"open_calls", direct_open_.size()}});
        return give_up_lost_calls();
    }
    // A lost reply alone tells little where other calls are answered.
    if (cut_off_ || answered_at_ > sent)
        return;
    cut_off_ = true;
    run_.journal.event("store_cut_off",
                       {{"refused", status == store_status::refused},
                        {"silent_ms", (run_.now() - answered_at_).count()},
                        {"other_entries", entries_.size()}});
    run_.metrics.count("store_cut_off_total");
}

void relayed_store::give_up_lost_calls() {
    std::vector<std::function<void()>> lost;
    std::erase_if(direct_open_, [&](auto& open) {
        if (run_.now() < open.second.sent + usual_answer)
            return false;
        lost.push_back(std::move(open.second.give_up));
        return true;
    });
    // Each may make new calls.
    for (const auto& give_up : lost)
        give_up();
}

const std::string* relayed_store::choose_entry() {
    if (!cut_off_)
        return nullptr;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const auto& entry = entries_[(next_entry_ + i) % entries_.size()];
        const auto it = avoided_until_.find(entry);
        if (it != avoided_until_.end() && run_.now() < it->second)
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
    open_[number] = {entry, std::move(done)};
    run_.metrics.count("store_calls_relayed_total");
    run_.timers.once(run_.now() + timeout + relay_allowance,
                     [this, number](time_point) { give_up(number); });
    FleetEnvelope envelope;
    *envelope.mutable_store_call() = std::move(call);
    send_(entry, envelope);
}

void relayed_store::give_up(std::int64_t number) {
    StoreReply none;
    none.set_number(number);
    none.set_status(STORE_UNKNOWN);
    handle_reply(none);
}

void relayed_store::handle_reply(const StoreReply& reply) {
    const auto it = open_.find(reply.number());
    if (it == open_.end())
        return;
    const auto call = std::move(it->second);
    open_.erase(it);
    if (reply.status() == STORE_UNKNOWN || reply.status() == STORE_REFUSED)
        avoided_until_[call.entry] = run_.now() + avoidance;
    call.done(reply);
}

void relayed_store::serve(const StoreCall& call,
                          std::function<void(const StoreReply&)> done) {
    if (cut_off_ || serving_ >= most_served_calls) {
        StoreReply refusal;
        refusal.set_number(call.number());
        refusal.set_status(STORE_REFUSED);
        return done(refusal);
    }
    ++serving_;
    make_call(direct_, call,
              [this, done = std::move(done)](const StoreReply& reply) {
                  --serving_;
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
    const auto sent = run_.now();
    direct_open_[number] = {sent, [done] { done(Reply{}); }};
    direct([this, done = std::move(done), number, sent](const Reply& reply) {
        const bool waited_for = direct_open_.erase(number) > 0;
        note(reply.status, sent);
        if (waited_for)
            done(reply);
    });
}

void relayed_store::transact(const store_transaction& transaction,
                             duration timeout,
                             reply_handler<transaction_reply> done) {
    route<transaction_reply>(
        timeout, std::move(done),
        [&](auto answered) {
            direct_.transact(transaction, timeout, std::move(answered));
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
        [&](auto answered) { direct_.read(key, timeout, std::move(answered)); },
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
        [&](auto answered) {
            direct_.range(prefix, after, timeout, std::move(answered));
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
        [&](auto answered) {
            direct_.watch(prefix, after, wait, timeout, std::move(answered));
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
        [&](auto answered) {
            direct_.grant_lease(ttl, timeout, std::move(answered));
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
        [&](auto answered) {
            direct_.renew_lease(lease, timeout, std::move(answered));
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
        [&](auto answered) {
            direct_.end_lease(lease, timeout, std::move(answered));
        },
        [&] {
            StoreCall call;
            call.set_end_lease(lease);
            return call;
        });
}

} // namespace celerylift::fleet
