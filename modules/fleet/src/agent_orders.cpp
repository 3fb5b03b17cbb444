#include "agent_internal.hpp"

#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace celerylift::fleet {

namespace {

/// A start isn't sent on the last moments of a grant.
constexpr duration least_grant_for_start{300};

/// How long a start waits for room that is about to become free.
constexpr duration longest_wait_for_room{1500};

/// Between two tries at a stop that was not answered.
constexpr duration stop_retry{400};

/// Servers' clocks may be 2% slow.
constexpr int clock_percent = 103;
constexpr duration reserve_for_clocks{200};

run_key key_of(const RunName& name) {
    return {name.task(), name.run()};
}

bool is_running(const agent& a, const run_key& key) {
    return std::ranges::any_of(
        a.running, [&](const auto& r) { return key_of(r.name()) == key; });
}

bool has_ended(const agent& a, const run_key& key) {
    return std::ranges::any_of(
        a.ended, [&](const auto& e) { return key_of(e.name()) == key; });
}

void set_phase(agent& a, run_order& o, order_phase phase) {
    o.phase = phase;
    o.since = a.run.now();
}

void bar(agent& a, run_order& o, std::string reason) {
    o.reason = std::move(reason);
    o.call_open = false;
    o.called_at = {};
    set_phase(a, o, order_phase::barring);
}

/// Room that is certainly free: everything that may be at work counts.
/// Nothing where a run is there whose size isn't known.
std::optional<resources> free_room(const agent& a) {
    std::set<run_key> counted;
    for (const auto& r : a.running)
        counted.insert(key_of(r.name()));
    for (const auto& [key, o] : a.orders)
        if (o.phase != order_phase::queued && !has_ended(a, key))
            counted.insert(key);
    auto free = a.last_heartbeat.capacity;
    for (const auto& key : counted) {
        const auto it = a.needs.find(key);
        if (it == a.needs.end())
            return std::nullopt;
        free -= it->second;
    }
    return free;
}

bool may_start(const agent& a, const run_order& o) {
    if (a.stopping || a.departed || a.last_heartbeat.draining || !a.listed ||
        !a.clock_known || !a.orders_current || !a.life_confirmed)
        return false;
    if (a.run.now() + least_grant_for_start > a.granted_until)
        return false;
    const auto free = free_room(a);
    return free && fits(from_record(o.order.each()), *free);
}

void take_start(agent& a, const run_key& key, const server_reply& reply) {
    auto it = a.orders.find(key);
    if (it == a.orders.end() || it->second.phase != order_phase::sent)
        return;
    auto& o = it->second;
    o.call_open = false;
    take_clock(a, reply.clock_ms);
    a.run.journal.event("start_answered",
                        {{"task", key.task},
                         {"run", key.run},
                         {"status", static_cast<int>(reply.status)},
                         {"reason", reply.reason}});
    if (reply.status == server_status::ok)
        set_phase(a, o, order_phase::started);
    else if (reply.status == server_status::unknown)
        set_phase(a, o, order_phase::doubtful);
    else
        // Nothing was done, but an earlier try may still be on its way.
        bar(a, o, fmt::format("the start was refused: {}", reply.reason));
    a.look_again = true;
    advance(a);
}

void send_start(agent& a, const run_key& key, run_order& o) {
    const auto deadline = deadline_on_server(a);
    if (!deadline)
        return;
    note_lease(a);
    set_phase(a, o, order_phase::sent);
    o.call_open = true;
    start_call call{key.task,  key.run, o.order.payload(), o.order.checkpoint(),
                    *deadline, a.epoch};
    a.run.journal.event("start_sent", {{"task", key.task},
                                       {"run", key.run},
                                       {"epoch", a.epoch},
                                       {"deadline_ms", *deadline}});
    a.calls.start(a.last_heartbeat.id, call,
                  [&a, key, life = a.life](const server_reply& reply) {
                      if (a.life == life)
                          take_start(a, key, reply);
                  });
}

void take_stop(agent& a, const run_key& key, const server_reply& reply) {
    auto it = a.orders.find(key);
    if (it == a.orders.end() || it->second.phase != order_phase::barring)
        return;
    auto& o = it->second;
    o.call_open = false;
    take_clock(a, reply.clock_ms);
    if (reply.status != server_status::ok)
        return; // Tried again.
    set_phase(a, o, order_phase::barred);
    a.look_again = true;
    advance(a);
}

void send_stop(agent& a, const run_key& key, run_order& o) {
    o.call_open = true;
    o.called_at = a.run.now();
    a.run.journal.event(
        "stop_sent",
        {{"task", key.task}, {"run", key.run}, {"reason", o.reason}});
    a.calls.stop(a.last_heartbeat.id, {key.task, key.run, a.epoch},
                 [&a, key, life = a.life](const server_reply& reply) {
                     if (a.life == life)
                         take_stop(a, key, reply);
                 });
}

void give_up(agent& a, const run_key& key, const std::string& reason) {
    a.gone[key] = reason;
    a.run.journal.event(
        "run_barred",
        {{"task", key.task}, {"run", key.run}, {"reason", reason}});
}

/// Returns whether the order is settled and can be dropped.
bool settle(agent& a, const run_key& key, run_order& o, time_point sent) {
    if (has_ended(a, key))
        return true;
    const bool there = is_running(a, key);
    switch (o.phase) {
    case order_phase::queued:
        // An earlier life of this agent has started it.
        return there;
    case order_phase::started:
        // One that was confirmed and is on no list has ended and is noted.
        return there || sent > o.since;
    case order_phase::doubtful:
        if (there)
            return true;
        if (is_mutant("give-up-without-barring") && sent > o.since) {
            give_up(a, key, "the start was not answered");
            return true;
        }
        if (sent > o.since)
            bar(a, o, "the start was not answered");
        return false;
    case order_phase::barred:
        if (there || sent <= o.since)
            return false;
        give_up(a, key, o.reason);
        return true;
    default:
        return false;
    }
}

void take_assigned(agent& a, const OwnerOrders& orders) {
    for (const auto& order : orders.assigned()) {
        const auto key = key_of(order.name());
        a.needs[key] = from_record(order.each());
        if (order.seen() || a.orders.contains(key) || a.gone.contains(key) ||
            is_running(a, key) || has_ended(a, key))
            continue;
        auto& o = a.orders[key];
        o.order = order;
        set_phase(a, o, order_phase::queued);
    }
}

void take_stops(agent& a, const OwnerOrders& orders) {
    for (const auto& name : orders.stops()) {
        const auto key = key_of(name);
        if (a.gone.contains(key) || has_ended(a, key))
            continue;
        // Also one that is still queued: an earlier life of this agent may
        // have sent it.
        auto& o = a.orders[key];
        if (o.phase != order_phase::barring && o.phase != order_phase::barred)
            bar(a, o, "the owner wants it stopped");
    }
}

/// Forgets what the owner no longer speaks of.
void forget_settled(agent& a, const OwnerOrders& orders) {
    std::set<run_key> named;
    for (const auto& order : orders.assigned())
        named.insert(key_of(order.name()));
    for (const auto& name : orders.stops())
        named.insert(key_of(name));
    std::erase_if(a.gone,
                  [&](const auto& g) { return !named.contains(g.first); });
    std::erase_if(a.orders, [&](const auto& o) {
        return o.second.phase == order_phase::queued &&
               !named.contains(o.first);
    });
    std::erase_if(a.needs, [&](const auto& n) {
        return !named.contains(n.first) && !is_running(a, n.first) &&
               !a.orders.contains(n.first);
    });
}

} // namespace

void take_clock(agent& a, const std::optional<std::int64_t>& clock_ms) {
    if (!clock_ms)
        return;
    a.clock_ms = *clock_ms;
    a.clock_at = a.run.now();
    a.clock_known = true;
}

std::optional<std::int64_t> deadline_on_server(const agent& a) {
    const auto now = a.run.now();
    if (!a.clock_known || !a.orders_current || now >= a.granted_until)
        return std::nullopt;
    return a.clock_ms + (now - a.clock_at).count() +
           (a.granted_until - now).count();
}

void note_lease(agent& a) {
    const auto left = a.granted_until - a.run.now();
    a.runs_end_by =
        std::max(a.runs_end_by,
                 a.run.now() + left * clock_percent / 100 + reserve_for_clocks);
}

void settle_orders(agent& a, time_point sent) {
    bool settled = false;
    for (auto it = a.orders.begin(); it != a.orders.end();) {
        const bool drop = settle(a, it->first, it->second, sent);
        settled = settled || drop;
        it = drop ? a.orders.erase(it) : std::next(it);
    }
    if (settled)
        send_report(a);
}

void advance_orders(agent& a) {
    for (auto& [key, o] : a.orders) {
        const auto now = a.run.now();
        if (o.phase == order_phase::queued) {
            if (may_start(a, o))
                send_start(a, key, o);
            else if (now > o.since + longest_wait_for_room ||
                     a.last_heartbeat.draining)
                bar(a, o, "the agent's guard found no room or no grant");
        } else if (o.phase == order_phase::barring && !o.call_open &&
                   now >= o.called_at + stop_retry && !a.departed) {
            send_stop(a, key, o);
        } else if (o.phase == order_phase::doubtful ||
                   o.phase == order_phase::barred) {
            a.look_again = a.look_again || now > o.since + stop_retry;
        }
    }
}

void on_orders(agent& a, const OwnerOrders& orders) {
    if (orders.epoch() < a.epoch)
        return;
    if (orders.epoch() > a.epoch)
        a.run.journal.event("owner_followed", {{"epoch", orders.epoch()}});
    a.epoch = orders.epoch();
    if (orders.grant_ms() > 0) {
        const time_point granted{
            duration{orders.answered_sent_at_ms() + orders.grant_ms()}};
        a.granted_until = std::max(a.granted_until, granted);
    }
    if (orders.incarnation() != a.incarnation || a.incarnation.empty())
        return;
    a.orders_current = true;
    if (orders.noted_end() > a.noted_end) {
        a.noted_end = orders.noted_end();
        std::erase_if(a.ended, [&](const EndedTask& e) {
            return e.number() <= a.noted_end;
        });
        a.look_again = true;
    }
    // What runs there already must be known first.
    if (a.listed) {
        take_stops(a, orders);
        take_assigned(a, orders);
    }
    forget_settled(a, orders);
    advance(a);
}

} // namespace celerylift::fleet
