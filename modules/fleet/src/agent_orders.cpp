#include "agent_internal.hpp"

#include <celerylift/fleet/names.hpp>
#include <celerylift/fleet/run_lease.hpp>
#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace celerylift::fleet {

namespace {

/// A start is not sent when less than this remains of the grant.
constexpr duration min_grant_for_start{300};

/// How long a start waits for capacity that is about to become free.
constexpr duration max_wait_for_capacity{1500};

/// Interval between the attempts of a stop that was not answered, and how long
/// an order stays uncertain or fenced before it requests another poll.
constexpr duration stop_retry_interval{400};

/// Starts and stops in flight. A server that gets thousands at once answers
/// none of them in time.
constexpr std::ptrdiff_t max_open_calls = 32;

run_key key_of(const RunName& name) {
    return {name.task(), name.run()};
}

bool is_running(const agent& self, const run_key& key) {
    return self.running_keys.contains(key);
}

bool has_ended(const agent& self, const run_key& key) {
    return self.ended_keys.contains(key);
}

void set_phase(agent& self, run_order& order, order_phase phase) {
    order.phase = phase;
    order.phase_since = self.run.now();
}

void fence(agent& self, run_order& order, std::string reason) {
    order.reason = std::move(reason);
    order.call_open = false;
    order.poll_requested = false;
    order.last_call_at = {};
    set_phase(self, order, order_phase::fencing);
}

/// Capacity that is certainly free: every run that may be active is deducted.
/// Nothing if the resources of one of them are not known.
std::optional<resources> free_capacity(const agent& self) {
    auto free = self.last_heartbeat.capacity;
    const auto deduct = [&](const run_key& key) {
        const auto it = self.run_resources.find(key);
        if (it == self.run_resources.end())
            return false;
        free -= it->second;
        return true;
    };
    for (const auto& key : self.running_keys)
        if (!deduct(key))
            return std::nullopt;
    for (const auto& [key, order] : self.orders)
        if (order.phase != order_phase::queued && !has_ended(self, key) &&
            !is_running(self, key) && !deduct(key))
            return std::nullopt;
    return free;
}

bool may_start_runs(const agent& self) {
    if (self.stopping || self.departed || self.has_announced_end ||
        self.last_heartbeat.draining || !self.has_run_list ||
        !self.clock_known || !self.has_orders || !self.incarnation_confirmed)
        return false;
    return self.run.now() + min_grant_for_start <= self.granted_until;
}

void handle_start_reply(agent& self, const run_key& key,
                        const server_reply& reply) {
    auto it = self.orders.find(key);
    if (it == self.orders.end() || it->second.phase != order_phase::sent)
        return;
    auto& order = it->second;
    order.call_open = false;
    update_clock(self, reply.clock_ms);
    self.run.journal.event("start_answered",
                           {{"task", key.task},
                            {"run", key.run},
                            {"status", static_cast<int>(reply.status)},
                            {"reason", reply.reason}});
    if (reply.status == server_status::ok)
        set_phase(self, order, order_phase::started);
    else if (reply.status == server_status::unknown)
        set_phase(self, order, order_phase::uncertain);
    else {
        order.may_have_begun = false;
        // The call had no effect, but an earlier attempt may still arrive.
        fence(self, order,
              fmt::format("the server refused the start: {}", reply.reason));
    }
    self.poll_requested = true;
    send_due_calls(self);
}

void send_start(agent& self, const run_key& key, run_order& order) {
    const auto deadline = deadline_on_server(self);
    if (!deadline)
        return;
    record_run_lease(self);
    set_phase(self, order, order_phase::sent);
    order.call_open = true;
    order.may_have_begun = true;
    start_call call{
        key.task,  key.run,   order.start.payload(), order.start.checkpoint(),
        *deadline, self.epoch};
    self.run.journal.event("start_sent", {{"task", key.task},
                                          {"run", key.run},
                                          {"epoch", self.epoch},
                                          {"deadline_ms", *deadline}});
    self.backend.start(self.last_heartbeat.id, call,
                       [&self, key, incarnation = self.incarnation_number](
                           const server_reply& reply) {
                           if (self.incarnation_number == incarnation)
                               handle_start_reply(self, key, reply);
                       });
}

void handle_stop_reply(agent& self, const run_key& key,
                       const server_reply& reply) {
    auto it = self.orders.find(key);
    if (it == self.orders.end() || it->second.phase != order_phase::fencing)
        return;
    auto& order = it->second;
    order.call_open = false;
    update_clock(self, reply.clock_ms);
    if (reply.status != server_status::ok)
        return; // advance_orders sends it again.
    set_phase(self, order, order_phase::fenced);
    self.poll_requested = true;
    send_due_calls(self);
}

void send_stop(agent& self, const run_key& key, run_order& order) {
    order.call_open = true;
    order.last_call_at = self.run.now();
    self.run.journal.event(
        "stop_sent",
        {{"task", key.task}, {"run", key.run}, {"reason", order.reason}});
    self.backend.stop(self.last_heartbeat.id, {key.task, key.run, self.epoch},
                      [&self, key, incarnation = self.incarnation_number](
                          const server_reply& reply) {
                          if (self.incarnation_number == incarnation)
                              handle_stop_reply(self, key, reply);
                      });
}

void abandon(agent& self, const run_key& key, const std::string& reason) {
    self.gone[key] = reason;
    self.run.journal.event(
        "run_barred",
        {{"task", key.task}, {"run", key.run}, {"reason", reason}});
}

/// Returns whether the outcome of the order is known, so that it can be
/// dropped.
bool reconcile(agent& self, const run_key& key, run_order& order,
               time_point requested_at) {
    if (has_ended(self, key))
        return true;
    const bool is_listed = is_running(self, key);
    switch (order.phase) {
    case order_phase::queued:
        // A previous incarnation of this agent started it.
        return is_listed;
    case order_phase::started:
        // A confirmed run that is on no list has ended, and the owner has
        // acknowledged its end.
        return is_listed || requested_at > order.phase_since;
    case order_phase::uncertain:
        if (is_listed)
            return true;
        if (is_mutant("give-up-without-barring") &&
            requested_at > order.phase_since) {
            abandon(self, key, "the start was not answered");
            return true;
        }
        if (requested_at > order.phase_since)
            fence(self, order, "the start was not answered");
        return false;
    case order_phase::fenced:
        if (is_listed || requested_at <= order.phase_since)
            return false;
        abandon(self, key, order.reason);
        return true;
    default:
        return false;
    }
}

void add_shared_payload(const OwnerOrders& orders, StartOrder& start) {
    const auto name = parse_task_name(start.name().task());
    const auto it =
        name ? orders.payloads().find(name->job) : orders.payloads().end();
    if (it != orders.payloads().end())
        start.set_payload(it->second);
}

template <class Function>
void for_each_start(const OwnerOrders& orders, Function function) {
    for (const auto& start : orders.assigned())
        function(start);
    for (const auto& start : orders.assigned_sharing_payloads())
        function(start);
}

void apply_starts(agent& self, const OwnerOrders& orders) {
    for_each_start(orders, [&](const StartOrder& start) {
        const auto key = key_of(start.name());
        self.run_resources[key] = from_record(start.each());
        if (start.seen() || self.orders.contains(key) ||
            self.gone.contains(key) || is_running(self, key) ||
            has_ended(self, key))
            return;
        auto& order = self.orders[key];
        order.start = start;
        add_shared_payload(orders, order.start);
        set_phase(self, order, order_phase::queued);
    });
}

void apply_stops(agent& self, const OwnerOrders& orders) {
    for (const auto& name : orders.stops()) {
        const auto key = key_of(name);
        if (self.gone.contains(key) || has_ended(self, key))
            continue;
        // A queued order is fenced too: a previous incarnation of this agent
        // may have sent the start.
        auto& order = self.orders[key];
        if (order.phase != order_phase::fencing &&
            order.phase != order_phase::fenced)
            fence(self, order, "the owner ordered the stop");
    }
}

/// Whether this process has sent a report at `sent_at`. The clock starts anew
/// with the host, so times of an earlier process can lie in the future.
bool is_own_time(const agent& self, time_point sent_at) {
    return sent_at >= self.created_at && sent_at <= self.run.now();
}

/// Removes the state of runs that the owner's orders no longer name.
void prune_runs(agent& self, const OwnerOrders& orders) {
    std::set<run_key> named;
    for_each_start(orders, [&](const StartOrder& start) {
        named.insert(key_of(start.name()));
    });
    for (const auto& name : orders.stops())
        named.insert(key_of(name));
    std::erase_if(self.gone,
                  [&](const auto& g) { return !named.contains(g.first); });
    std::erase_if(self.orders, [&](const auto& order) {
        return order.second.phase == order_phase::queued &&
               !named.contains(order.first);
    });
    std::erase_if(self.run_resources, [&](const auto& entry) {
        return !named.contains(entry.first) && !is_running(self, entry.first) &&
               !self.orders.contains(entry.first);
    });
}

} // namespace

void index_run_lists(agent& self) {
    self.running_keys.clear();
    for (const auto& running : self.running)
        self.running_keys.insert(key_of(running.name()));
    self.ended_keys.clear();
    for (const auto& ended : self.ended)
        self.ended_keys.insert(key_of(ended.name()));
}

void update_clock(agent& self, const std::optional<std::int64_t>& clock_ms) {
    if (!clock_ms)
        return;
    self.clock_ms = *clock_ms;
    self.clock_read_at = self.run.now();
    self.clock_known = true;
}

std::optional<std::int64_t> deadline_on_server(const agent& self) {
    const auto now = self.run.now();
    if (!self.clock_known || !self.has_orders || now >= self.granted_until)
        return std::nullopt;
    return self.clock_ms + (now - self.clock_read_at).count() +
           (self.granted_until - now).count();
}

void record_run_lease(agent& self) {
    const auto now = self.run.now();
    self.run_lease_expires_by =
        std::max(self.run_lease_expires_by,
                 latest_end_of_lease(now, self.granted_until - now));
}

void reconcile_orders(agent& self, time_point requested_at) {
    bool reconciled = false;
    for (auto it = self.orders.begin(); it != self.orders.end();) {
        const bool drop = reconcile(self, it->first, it->second, requested_at);
        reconciled = reconciled || drop;
        it = drop ? self.orders.erase(it) : std::next(it);
    }
    if (reconciled)
        send_report(self);
}

namespace {

/// What one pass over the orders may still use. The free capacity is counted
/// once it is asked for.
struct order_budget {
    bool may_start = false;
    std::ptrdiff_t calls = 0;
    std::optional<std::optional<resources>> free;
};

/// Calls are made in groups, because counting the free capacity costs more than
/// a call.
order_budget budget_of(const agent& self) {
    const auto open = std::ranges::count_if(
        self.orders, [](const auto& order) { return order.second.call_open; });
    return {may_start_runs(self),
            open > max_open_calls / 2 ? 0 : max_open_calls - open,
            std::nullopt};
}

/// Takes the resources of a run from the free capacity. Returns whether it has
/// them.
bool take_capacity(const agent& self, const run_order& order,
                   order_budget& budget) {
    if (!budget.free)
        budget.free = free_capacity(self);
    auto& free = *budget.free;
    const auto each = from_record(order.start.each());
    if (!free || !fits(each, *free))
        return false;
    *free -= each;
    return true;
}

bool refuses_starts(const agent& self) {
    return is_out_of_service(self.evacuations, self.failure_domain) &&
           !is_mutant("start-out-of-service");
}

/// The run is fenced although no start was sent: a previous incarnation of this
/// agent may have sent one.
void refuse_start(agent& self, const run_key& key, run_order& order) {
    constexpr auto reason = "the failure domain is out of service";
    self.run.journal.event("start_refused", {{"task", key.task},
                                             {"run", key.run},
                                             {"domain", self.failure_domain},
                                             {"as_of", self.evacuations.as_of},
                                             {"reason", reason}});
    self.run.metrics.count("starts_refused_out_of_service_total");
    fence(self, order, reason);
}

void advance_queued(agent& self, const run_key& key, run_order& order,
                    order_budget& budget) {
    const auto now = self.run.now();
    if (refuses_starts(self)) {
        refuse_start(self, key, order);
    } else if (budget.may_start && budget.calls <= 0) {
        order.phase_since = now; // It waits for a call, not for capacity.
    } else if (budget.may_start && take_capacity(self, order, budget)) {
        send_start(self, key, order);
        --budget.calls;
    } else if (now > order.phase_since + max_wait_for_capacity ||
               self.last_heartbeat.draining) {
        fence(self, order, "the agent found no free capacity or no grant");
    }
}

} // namespace

void advance_orders(agent& self) {
    auto budget = budget_of(self);
    for (auto& [key, order] : self.orders) {
        const auto now = self.run.now();
        if (order.phase == order_phase::queued) {
            advance_queued(self, key, order, budget);
        } else if (order.phase == order_phase::fencing && !order.call_open &&
                   now >= order.last_call_at + stop_retry_interval &&
                   !self.departed && budget.calls > 0) {
            send_stop(self, key, order);
            --budget.calls;
        } else if (order.phase == order_phase::fenced &&
                   now > order.phase_since && !order.poll_requested &&
                   !is_running(self, key)) {
            // A run that is not listed is barred as soon as a later list does
            // not have it either. No end will complete the long poll.
            order.poll_requested = true;
            self.poll_requested = true;
        } else if (order.phase == order_phase::uncertain ||
                   order.phase == order_phase::fenced) {
            self.poll_requested = self.poll_requested ||
                                  now > order.phase_since + stop_retry_interval;
        }
    }
}

void on_evacuations(agent& self, const domain_evacuations& reported) {
    const auto before = self.evacuations;
    self.evacuations =
        newest_of(before, restricted_to(reported, self.failure_domain));
    if (before.domains == self.evacuations.domains)
        return;
    const bool is_out =
        is_out_of_service(self.evacuations, self.failure_domain);
    self.run.journal.event(
        is_out ? "domain_out_of_service" : "domain_back_in_service",
        {{"domain", self.failure_domain}, {"as_of", self.evacuations.as_of}});
}

namespace {

/// The view of the agent's own domain that the orders hold.
domain_evacuations evacuations_in(const OwnerOrders& orders,
                                  const std::string& domain) {
    domain_evacuations state{orders.evacuations_as_of(), {}};
    if (orders.is_evacuated())
        state.domains.insert(domain);
    return state;
}

} // namespace

void on_orders(agent& self, const OwnerOrders& orders) {
    // True whichever owner reports it.
    on_evacuations(self, evacuations_in(orders, self.failure_domain));
    if (orders.epoch() < self.epoch)
        return;
    if (orders.epoch() > self.epoch)
        self.run.journal.event("owner_followed", {{"epoch", orders.epoch()}});
    self.epoch = orders.epoch();
    const time_point answered{duration{orders.answered_sent_at_ms()}};
    if (orders.grant_ms() > 0 && is_own_time(self, answered))
        self.granted_until = std::max(self.granted_until,
                                      answered + duration{orders.grant_ms()});
    forget_recorded_crashes(self, orders);
    if (orders.incarnation() != self.incarnation || self.incarnation.empty())
        return;
    self.has_orders = answered >= self.departed_at;
    if (orders.has_speed())
        self.speed = orders.speed();
    if (orders.noted_end() > self.acknowledged_up_to) {
        self.acknowledged_up_to = orders.noted_end();
        std::erase_if(self.ended, [&](const EndedTask& e) {
            return e.number() <= self.acknowledged_up_to;
        });
        index_run_lists(self);
        self.poll_requested = true;
    }
    // Orders are applied only once it is known what the server already runs.
    if (self.has_run_list) {
        apply_stops(self, orders);
        apply_starts(self, orders);
    }
    prune_runs(self, orders);
    send_due_calls(self);
}

} // namespace celerylift::fleet
