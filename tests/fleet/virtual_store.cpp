#include "virtual_store.hpp"

#include <celerylift/fleet/names.hpp>

#include <memory>

namespace celerylift::test {

namespace {

constexpr duration write_delay{3000};
constexpr duration watch_poll_period{5};
constexpr std::size_t page_size = 20;

} // namespace

/// The store client of one process.
class virtual_store_client : public fleet::store {
public:
    virtual_store_client(virtual_store& store, std::string name,
                         std::weak_ptr<int> liveness)
        : store_(store), name_(std::move(name)),
          liveness_(std::move(liveness)) {}

    void
    transact(const fleet::store_transaction& transaction, duration timeout,
             fleet::reply_handler<fleet::transaction_reply> done) override {
        const auto time = upload_time(transaction);
        if (time > timeout)
            return reply_after(timeout, std::move(done),
                               fleet::transaction_reply{});
        if (time > duration{0})
            return store_.sim_.after(
                time, liveness_, [this, transaction, timeout, time, done] {
                    transact_now(transaction, timeout - time, done);
                });
        transact_now(transaction, timeout, std::move(done));
    }
    void transact_now(const fleet::store_transaction& transaction,
                      duration timeout,
                      fleet::reply_handler<fleet::transaction_reply> done) {
        call<fleet::transaction_reply>(true, timeout, std::move(done),
                                       [&store = store_, transaction] {
                                           return store.transact(transaction);
                                       });
    }
    void read(const std::string& key, duration timeout,
              fleet::reply_handler<fleet::read_reply> done) override {
        call<fleet::read_reply>(
            false, timeout, std::move(done), [&store = store_, key] {
                fleet::read_reply reply;
                const auto item = store.get(key);
                reply.status = item ? fleet::store_status::ok
                                    : fleet::store_status::not_found;
                if (item)
                    reply.item = *item;
                reply.as_of = store.revision_;
                return reply;
            });
    }
    void range(const std::string& prefix, const std::string& after,
               duration timeout,
               fleet::reply_handler<fleet::range_reply> done) override {
        if (store_.page_time > timeout ||
            (fault() == store_fault::no_job_pages &&
             prefix == fleet::job_prefix))
            return reply_after(timeout, std::move(done), fleet::range_reply{});
        if (store_.page_time > duration{0}) {
            auto& sim = store_.sim_;
            return sim.after(store_.page_time, liveness_,
                             [&store = store_, prefix, after, done] {
                                 done(store.range(prefix, after));
                             });
        }
        call<fleet::range_reply>(false, timeout, std::move(done),
                                 [&store = store_, prefix, after] {
                                     return store.range(prefix, after);
                                 });
    }
    void watch(const std::string& prefix, std::int64_t after, duration wait,
               duration timeout,
               fleet::reply_handler<fleet::watch_reply> done) override {
        ++store_.watch_calls;
        poll(prefix, after, store_.sim_.now + wait, store_.sim_.now + timeout,
             done);
    }
    void grant_lease(duration ttl, duration timeout,
                     fleet::reply_handler<fleet::lease_reply> done) override {
        call<fleet::lease_reply>(
            true, timeout, std::move(done),
            [&store = store_, ttl] { return store.grant(ttl); });
    }
    void renew_lease(std::int64_t lease, duration timeout,
                     fleet::reply_handler<fleet::lease_reply> done) override {
        call<fleet::lease_reply>(
            true, timeout, std::move(done),
            [&store = store_, lease] { return store.renew(lease); });
    }
    void end_lease(std::int64_t lease, duration timeout,
                   fleet::reply_handler<fleet::lease_reply> done) override {
        call<fleet::lease_reply>(
            true, timeout, std::move(done),
            [&store = store_, lease] { return store.end(lease); });
    }

private:
    duration upload_time(const fleet::store_transaction& transaction) const {
        if (store_.written_bytes_per_s == 0)
            return duration{0};
        std::size_t bytes = 0;
        for (const auto& put : transaction.puts)
            bytes += put.value.size();
        return duration{static_cast<std::int64_t>(bytes) * 1000 /
                        store_.written_bytes_per_s};
    }

    store_fault fault() const {
        const auto it = store_.client_faults.find(name_);
        return it == store_.client_faults.end() ? store_.fault : it->second;
    }

    template <class Reply>
    void reply_after(duration delay, fleet::reply_handler<Reply> done,
                     const Reply& reply) {
        store_.sim_.after(delay, liveness_,
                          [done = std::move(done), reply] { done(reply); });
    }

    template <class Reply, class Action>
    void call(bool writes, duration timeout, fleet::reply_handler<Reply> done,
              Action action) {
        auto& sim = store_.sim_;
        const auto delay = store_.one_way_delay;
        Reply unknown;
        unknown.status = fleet::store_status::unknown;
        Reply refused;
        refused.status = fleet::store_status::refused;
        const auto active = fault();
        if (active == store_fault::unresponsive)
            return reply_after(timeout, std::move(done), unknown);
        if (active == store_fault::busy)
            return reply_after(2 * delay, std::move(done), refused);
        if (active == store_fault::lost_replies && writes) {
            sim.after(delay, [action] { action(); });
            return reply_after(timeout, std::move(done), unknown);
        }
        if (active == store_fault::delayed_writes && writes) {
            sim.after(write_delay, [action] { action(); });
            return reply_after(timeout, std::move(done), unknown);
        }
        sim.after(delay, [this, action, done, delay, liveness = liveness_] {
            if (liveness.lock())
                reply_after(delay, done, action());
            else
                action();
        });
    }

    void poll(const std::string& prefix, std::int64_t after,
              time_point wait_until, time_point timeout_at,
              const fleet::reply_handler<fleet::watch_reply>& done) {
        store_.sim_.after(watch_poll_period, liveness_, [=, this] {
            const auto now = store_.sim_.now;
            fleet::watch_reply reply;
            if (fault() == store_fault::unresponsive ||
                fault() == store_fault::busy || store_.silence_watches) {
                if (now >= timeout_at || fault() == store_fault::busy)
                    return done(reply);
                return poll(prefix, after, wait_until, timeout_at, done);
            }
            const auto found = store_.changes(prefix, after);
            if (!found) {
                reply.status = fleet::store_status::compacted;
                return done(reply);
            }
            if (store_.delay_watches && now < wait_until)
                return poll(prefix, after, wait_until, timeout_at, done);
            if (!found->changes.empty())
                return deliver(prefix, *found, timeout_at, done);
            if (now >= wait_until)
                return done(*found);
            poll(prefix, after, wait_until, timeout_at, done);
        });
    }

    void deliver(const std::string& prefix, const fleet::watch_reply& changes,
                 time_point timeout_at,
                 const fleet::reply_handler<fleet::watch_reply>& done) {
        const auto it = store_.job_watch_times.find(name_);
        if (it == store_.job_watch_times.end() || prefix != fleet::job_prefix)
            return done(changes);
        const auto left = timeout_at - store_.sim_.now;
        const bool arrives = it->second <= left;
        reply_after(arrives ? it->second : left, done,
                    arrives ? changes : fleet::watch_reply{});
    }

    virtual_store& store_;
    std::string name_;
    std::weak_ptr<int> liveness_;
};

std::unique_ptr<fleet::store>
virtual_store::client(const std::string& name, std::weak_ptr<int> liveness) {
    return std::make_unique<virtual_store_client>(*this, name,
                                                  std::move(liveness));
}

void virtual_store::expire() {
    std::vector<std::int64_t> ended;
    for (const auto& [id, granted] : leases_)
        if (sim_.now >= granted.ends)
            ended.push_back(id);
    for (const auto id : ended)
        end(id);
}

void virtual_store::remove(const std::string& key) {
    if (items_.erase(key) == 0)
        return;
    history_.push_back({{key, "", ++revision_}, true});
}

void virtual_store::put(const std::string& key, const std::string& value) {
    fleet::store_transaction transaction;
    transaction.puts.push_back({key, value, 0});
    transact(transaction);
}

std::optional<fleet::store_item>
virtual_store::get(const std::string& key) const {
    const auto it = items_.find(key);
    if (it == items_.end())
        return std::nullopt;
    return fleet::store_item{key, it->second.value, it->second.revision};
}

void virtual_store::compact() {
    history_.clear();
    compacted_revision_ = revision_;
}

fleet::transaction_reply
virtual_store::transact(const fleet::store_transaction& transaction) {
    expire();
    fleet::transaction_reply reply;
    for (const auto& put : transaction.puts)
        if (put.lease != 0 && !leases_.contains(put.lease)) {
            reply.status = fleet::store_status::not_found;
            return reply;
        }
    bool conditions_hold = true;
    for (const auto& condition : transaction.expected) {
        const auto item = get(condition.key);
        conditions_hold = conditions_hold &&
                          condition.revision == (item ? item->revision : 0);
        if (item)
            reply.current.push_back(*item);
    }
    if (!conditions_hold) {
        reply.status = fleet::store_status::conflict;
        return reply;
    }
    reply.current.clear();
    ++revision_;
    for (const auto& put : transaction.puts) {
        items_[put.key] = {put.value, revision_, put.lease};
        history_.push_back({{put.key, put.value, revision_}, false});
    }
    for (const auto& key : transaction.removals)
        if (items_.erase(key) > 0)
            history_.push_back({{key, "", revision_}, true});
    reply.status = fleet::store_status::ok;
    reply.revision = revision_;
    return reply;
}

fleet::range_reply virtual_store::range(const std::string& prefix,
                                        const std::string& after) const {
    fleet::range_reply reply;
    reply.status = fleet::store_status::ok;
    reply.as_of = revision_;
    for (const auto& [key, stored] : items_) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        if (reply.items.size() == page_size) {
            reply.has_more = true;
            break;
        }
        reply.items.push_back({key, stored.value, stored.revision});
    }
    return reply;
}

std::optional<fleet::watch_reply>
virtual_store::changes(const std::string& prefix, std::int64_t after) const {
    const_cast<virtual_store*>(this)->expire();
    if (after < compacted_revision_)
        return std::nullopt;
    fleet::watch_reply reply;
    reply.status = fleet::store_status::ok;
    reply.as_of = revision_;
    for (const auto& change : history_)
        if (change.item.revision > after && change.item.key.starts_with(prefix))
            reply.changes.push_back(change);
    return reply;
}

fleet::lease_reply virtual_store::grant(duration ttl) {
    leases_[++last_lease_] = {ttl, sim_.now + ttl};
    return {fleet::store_status::ok, last_lease_, ttl};
}

fleet::lease_reply virtual_store::renew(std::int64_t id) {
    expire();
    auto it = leases_.find(id);
    if (it == leases_.end())
        return {fleet::store_status::not_found, id, duration{0}};
    it->second.ends = sim_.now + it->second.ttl;
    return {fleet::store_status::ok, id, it->second.ttl};
}

fleet::lease_reply virtual_store::end(std::int64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, stored] : items_)
        if (stored.lease == id)
            keys.push_back(key);
    for (const auto& key : keys)
        remove(key);
    return {fleet::store_status::ok, id, duration{0}};
}

} // namespace celerylift::test
