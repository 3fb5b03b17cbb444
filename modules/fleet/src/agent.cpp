#include <celerylift/fleet/agent.hpp>

#include "agent_internal.hpp"

#include <celerylift/fleet/names.hpp>
#include <celerylift/fleet/run_lease.hpp>

#include <algorithm>

namespace celerylift::fleet {

namespace {

constexpr duration report_period{500};
/// A server with runs is polled often enough to detect a stalled run within
/// about one second. An idle server is polled only for its clock.
constexpr duration busy_poll_wait{300};
constexpr duration idle_poll_wait{1000};
constexpr duration poll_retry_delay{100};
/// After a server has announced its end, which a refused connection confirms.
constexpr duration departure_poll_delay{20};
/// A server that still sends heartbeats this long after the announcement may
/// not be ending. Earlier ones may have been under way.
constexpr duration max_departure_time{1000};

/// A server that has not replied for this long counts as departed once the
/// lease of its runs has expired.
constexpr duration unresponsive_timeout{2500};

/// The lease is not extended on a server that has not replied for this long.
constexpr duration lease_extension_timeout{1800};

std::string incarnation_of(const server_heartbeat& heartbeat) {
    return incarnation_name(heartbeat.id, heartbeat.started_unix_ms);
}

void apply_heartbeat(agent& self, const server_heartbeat& heartbeat) {
    self.last_heartbeat = heartbeat;
    self.earliest_shutdown_at = self.run.now() + heartbeat.remaining;
    self.cold_until = self.run.now() + heartbeat.cold_left;
}

void mark_departed(agent& self) {
    self.departed = true;
    self.departed_at = self.run.now();
    self.has_orders = false;
}

void follow_new_incarnation(agent& self, const server_heartbeat& heartbeat) {
    record_crash(self);
    apply_heartbeat(self, heartbeat);
    self.incarnation = incarnation_of(heartbeat);
    self.departed = false;
    self.has_announced_end = false;
    self.end_doubted_at.reset();
    self.incarnation_confirmed = false;
    ++self.incarnation_number;
    self.clock_known = false;
    self.run_list_clock_ms = 0;
    self.acknowledged_up_to = 0;
    self.has_orders = false;
    self.running.clear();
    self.ended.clear();
    index_run_lists(self);
    self.has_run_list = false;
    self.orders.clear();
    self.gone.clear();
    self.run_resources.clear();
    self.progress.clear();
    self.speed.reset();
    self.long_poll_open = false;
    self.short_poll_open = false;
    // An earlier agent may have extended the lease until this one started.
    self.run_lease_expires_by =
        latest_end_of_lease(self.created_at, grant_duration);
    self.last_reply_at = self.run.now();
    self.run.journal.event("server_followed",
                           {{"incarnation", self.incarnation},
                            {"service", heartbeat.service},
                            {"rack", heartbeat.rack}});
}

bool same_runs(const std::vector<RunningTask>& left,
               const std::vector<RunningTask>& right) {
    return std::ranges::equal(left, right, [](const auto& x, const auto& y) {
        return x.name().task() == y.name().task() &&
               x.name().run() == y.name().run();
    });
}

/// Updates for how long the percentage of each run has not changed.
void update_progress(agent& self) {
    std::map<run_key, last_progress> updated;
    for (auto& running : self.running) {
        const run_key key{running.name().task(), running.name().run()};
        const auto it = self.progress.find(key);
        const bool unchanged = it != self.progress.end() &&
                               it->second.percent == running.percent();
        const auto changed_at_ms =
            unchanged ? it->second.changed_at_ms : self.run_list_clock_ms;
        updated[key] = {running.percent(), changed_at_ms};
        running.set_still_ms(self.run_list_clock_ms - changed_at_ms);
    }
    self.progress = std::move(updated);
}

void apply_run_lists(agent& self, const poll_reply& reply) {
    const bool changed = !self.has_run_list ||
                         !same_runs(self.running, reply.running) ||
                         reply.ended.size() != self.ended.size();
    self.running = reply.running;
    update_progress(self);
    self.ended.clear();
    for (const auto& end : reply.ended)
        if (end.number() > self.acknowledged_up_to)
            self.ended.push_back(end);
    index_run_lists(self);
    self.has_run_list = true;
    if (changed)
        send_report(self);
}

/// Handles a reply of a server that may have been taken for departed. Its runs
/// were given up meanwhile although they may have gone on.
void note_return(agent& self) {
    if (!std::exchange(self.departed, false))
        return;
    self.run.journal.event(
        "server_answers_again",
        {{"incarnation", self.incarnation},
         {"announced_end", self.has_announced_end},
         {"departed_ms", (self.run.now() - self.departed_at).count()}});
}

/// Whether a reply to a poll comes from the incarnation of a heartbeat. A
/// server that states its start in replies states it in heartbeats too.
bool is_from(const poll_reply& reply, const server_heartbeat& heartbeat) {
    return reply.started_unix_ms == 0 ||
           reply.started_unix_ms == heartbeat.started_unix_ms;
}

/// The announcement was of an earlier incarnation.
void withdraw_end(agent& self) {
    self.has_announced_end = false;
    self.end_doubted_at.reset();
    self.run.journal.event("server_end_withdrawn",
                           {{"incarnation", self.incarnation}});
    send_report(self);
}

void doubt_announced_end(agent& self) {
    const auto now = self.run.now();
    if (!self.has_announced_end || self.end_doubted_at ||
        now < self.end_announced_at + max_departure_time)
        return;
    self.end_doubted_at = now;
    self.poll_requested = true;
}

/// Handles a reply of a server with another id at the server's address: the one
/// that is followed has ended.
void handle_replacement(agent& self) {
    self.next_long_poll_at = self.run.now() + poll_retry_delay;
    if (self.departed)
        return;
    mark_departed(self);
    self.run.journal.event("server_replaced",
                           {{"incarnation", self.incarnation}});
    send_report(self);
}

/// A server that has announced its end is gone once it refuses connections.
void confirm_announced_end(agent& self, server_status status) {
    if (status != server_status::unreachable || !self.has_announced_end ||
        self.departed)
        return;
    mark_departed(self);
    self.run.journal.event("server_departed",
                           {{"incarnation", self.incarnation}});
    send_report(self);
}

void handle_poll_reply(agent& self, const poll_reply& reply,
                       time_point requested_at) {
    if (reply.status == server_status::other_incarnation)
        return handle_replacement(self);
    if (reply.status != server_status::ok) {
        confirm_announced_end(self, reply.status);
        self.incarnation_confirmed = false;
        const bool is_ending = self.has_announced_end && !self.departed;
        self.next_long_poll_at =
            self.run.now() +
            (is_ending ? departure_poll_delay : poll_retry_delay);
        return;
    }
    if (!is_from(reply, self.last_heartbeat)) {
        // A new incarnation of the same id, whose heartbeat has not come yet.
        // Starts of the one before may still reach it, so the runs are not
        // given up yet.
        self.incarnation_confirmed = false;
        self.next_long_poll_at = self.run.now() + poll_retry_delay;
        return;
    }
    note_return(self);
    if (self.end_doubted_at && requested_at >= *self.end_doubted_at)
        withdraw_end(self);
    self.incarnation_confirmed = true;
    self.last_reply_at = self.run.now();
    // Replies on two connections can arrive out of order. An older list would
    // hide runs that have started since.
    const auto as_of = reply.clock_ms.value_or(self.run_list_clock_ms);
    if (as_of < self.run_list_clock_ms)
        return;
    self.run_list_clock_ms = as_of;
    update_clock(self, reply.clock_ms);
    apply_run_lists(self, reply);
    reconcile_orders(self, requested_at);
}

void poll(agent& self, duration wait, bool agent::*is_open) {
    poll_call call;
    // Without a bound, a server whose replies are lost would keep its runs
    // forever.
    if (self.run.now() < self.last_reply_at + lease_extension_timeout)
        call.deadline_ms = deadline_on_server(self);
    call.fencing_token = self.epoch;
    // A new incarnation numbers its ends from the start, and none of them is
    // acknowledged yet.
    call.acknowledged_up_to =
        self.incarnation_confirmed ? self.acknowledged_up_to : 0;
    call.wait = wait;
    if (call.deadline_ms)
        record_run_lease(self);
    self.*is_open = true;
    self.backend.poll_runs(
        self.last_heartbeat.id, call,
        [&self, is_open, incarnation = self.incarnation_number,
         requested_at = self.run.now()](const poll_reply& reply) {
            if (self.incarnation_number != incarnation)
                return;
            self.*is_open = false;
            handle_poll_reply(self, reply, requested_at);
            send_due_calls(self);
        });
}

void handle_identity_reply(agent& self, const std::string& incarnation,
                           const poll_reply& reply, time_point requested_at) {
    if (!self.announced || incarnation_of(*self.announced) != incarnation)
        return; // Superseded by a later heartbeat.
    if (reply.status == server_status::other_incarnation ||
        (reply.status == server_status::ok &&
         !is_from(reply, *self.announced))) {
        self.run.journal.event(
            "heartbeat_disowned",
            {{"announced", incarnation}, {"followed", self.incarnation}});
        self.announced.reset();
        return;
    }
    if (reply.status != server_status::ok) {
        self.next_identity_poll_at = self.run.now() + poll_retry_delay;
        return;
    }
    follow_new_incarnation(self, *std::exchange(self.announced, std::nullopt));
    handle_poll_reply(self, reply, requested_at);
}

/// Asks the server whether it is the incarnation that was announced. Extends no
/// lease and acknowledges no end.
void poll_identity(agent& self) {
    poll_call call;
    call.fencing_token = self.epoch;
    self.identity_poll_open = true;
    self.backend.poll_runs(
        self.announced->id, call,
        [&self, incarnation = incarnation_of(*self.announced),
         requested_at = self.run.now()](const poll_reply& reply) {
            self.identity_poll_open = false;
            handle_identity_reply(self, incarnation, reply, requested_at);
            send_due_calls(self);
        });
}

duration poll_wait(const agent& self) {
    if (!self.clock_known)
        return duration{0};
    return self.running.empty() ? idle_poll_wait : busy_poll_wait;
}

void check_responsiveness(agent& self) {
    const auto now = self.run.now();
    if (self.departed || now < self.last_reply_at + unresponsive_timeout ||
        now < self.run_lease_expires_by)
        return;
    mark_departed(self);
    self.run.journal.event("server_silent",
                           {{"incarnation", self.incarnation},
                            {"silent_ms", (now - self.last_reply_at).count()}});
    send_report(self);
}

} // namespace

bool on_heartbeat(agent& self, const server_heartbeat& heartbeat) {
    // The clock of a host may have gone back before its server started again.
    if (heartbeat.started_unix_ms < self.last_heartbeat.started_unix_ms &&
        !self.departed)
        return false;
    if (self.incarnation != incarnation_of(heartbeat)) {
        self.announced = heartbeat;
        self.next_identity_poll_at = {};
    } else if (heartbeat.sequence > self.last_heartbeat.sequence) {
        const bool changed = heartbeat.draining != self.last_heartbeat.draining;
        const bool turns_cold = heartbeat.cold_left > duration{0} &&
                                self.cold_until <= self.run.now();
        apply_heartbeat(self, heartbeat);
        if (turns_cold && !changed)
            send_report(self);
        if (changed) {
            self.run.journal.event(
                "server_draining",
                {{"incarnation", self.incarnation},
                 {"draining", heartbeat.draining},
                 {"remaining_ms", heartbeat.remaining.count()}});
            send_report(self);
        }
    }
    if (self.incarnation == incarnation_of(heartbeat))
        doubt_announced_end(self);
    send_due_calls(self);
    return true;
}

void on_departure(agent& self, const std::string& id) {
    if (id != self.last_heartbeat.id || self.departed ||
        std::exchange(self.has_announced_end, true))
        return;
    self.end_announced_at = self.run.now();
    self.run.journal.event("server_end_announced",
                           {{"incarnation", self.incarnation}});
    send_report(self);
    self.next_long_poll_at = {};
    send_due_calls(self);
}

void send_report(agent& self) {
    AgentReport report;
    report.set_failure_domain(self.failure_domain);
    report.set_sent_at_ms(self.run.now().time_since_epoch().count());
    report.set_followed_epoch(self.epoch);
    report.set_reads_shared_payloads(true);
    for (const auto& crash : self.crashes)
        *report.add_crashes() = crash;
    report.set_has_no_server(
        self.incarnation.empty() &&
        self.run.now() >= latest_end_of_lease(self.created_at, grant_duration));
    // A server is not offered to the owner before its runs are known.
    if (!self.incarnation.empty() && (self.has_run_list || self.departed)) {
        auto* server = report.mutable_server();
        server->set_incarnation(self.incarnation);
        server->set_service(self.last_heartbeat.service);
        server->set_rack(self.last_heartbeat.rack);
        to_record(self.last_heartbeat.capacity, server->mutable_capacity());
        for (const auto& label : self.last_heartbeat.labels)
            server->add_labels(label);
        server->set_draining(self.last_heartbeat.draining || self.stopping ||
                             self.has_announced_end);
        server->set_departed(self.departed);
        // At least 1 ms, also when the time is over: 0 means that the server
        // does not report it.
        if (self.last_heartbeat.draining &&
            self.last_heartbeat.remaining > duration{0})
            server->set_remaining_ms(std::max<std::int64_t>(
                1, (self.earliest_shutdown_at - self.run.now()).count()));
        if (self.speed)
            *server->mutable_speed() = *self.speed;
        server->set_cold_left_ms(std::max<std::int64_t>(
            0, (self.cold_until - self.run.now()).count()));
        report.set_lists_as_of_ms(self.run_list_clock_ms);
        for (const auto& running : self.running)
            *report.add_running() = running;
        for (const auto& ended : self.ended)
            *report.add_ended() = ended;
        for (const auto& [key, reason] : self.gone) {
            auto* gone = report.add_gone();
            gone->mutable_name()->set_task(key.task);
            gone->mutable_name()->set_run(key.run);
            gone->set_reason(reason);
        }
    }
    self.last_report_at = self.run.now();
    self.report(report);
}

void send_due_calls(agent& self) {
    if (self.announced && !self.identity_poll_open &&
        self.run.now() >= self.next_identity_poll_at)
        poll_identity(self);
    if (self.incarnation.empty())
        return;
    advance_orders(self);
    if (!self.long_poll_open && self.run.now() >= self.next_long_poll_at)
        poll(self, poll_wait(self), &agent::long_poll_open);
    if (std::exchange(self.poll_requested, self.short_poll_open) &&
        !self.short_poll_open)
        poll(self, duration{0}, &agent::short_poll_open);
}

void report_now(agent& self) {
    send_report(self);
}

void on_tick(agent& self) {
    if (!self.incarnation.empty())
        check_responsiveness(self);
    send_due_calls(self);
    if (self.run.now() >= self.last_report_at + report_period)
        send_report(self);
}

} // namespace celerylift::fleet
