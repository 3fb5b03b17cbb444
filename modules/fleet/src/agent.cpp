#include <celerylift/fleet/agent.hpp>

#include "agent_internal.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::fleet {

namespace {

constexpr duration report_period{500};
/// A server that runs something is looked at often enough to notice within
/// about a second that a task stands still; an idle one is asked for nothing
/// but its clock.
constexpr duration hold_wait{300};
constexpr duration idle_hold_wait{1000};
constexpr duration hold_pause_after_failure{100};

/// A server that hasn't answered for this long may be gone.
constexpr duration longest_server_silence{2500};

/// A server that hasn't answered for this long gets no longer lease.
constexpr duration longest_unanswered_lease{1800};

std::string incarnation_of(const server_heartbeat& h) {
    return fmt::format("{}@{}", h.id, h.started_unix_ms);
}

void take_heartbeat(agent& a, const server_heartbeat& heartbeat) {
    a.last_heartbeat = heartbeat;
    a.leaves_at = a.run.now() + heartbeat.remaining;
}

void follow_new_life(agent& a, const server_heartbeat& heartbeat) {
    take_heartbeat(a, heartbeat);
    a.incarnation = incarnation_of(heartbeat);
    a.departed = false;
    a.life_confirmed = false;
    ++a.life;
    a.clock_known = false;
    a.listed_clock_ms = 0;
    a.noted_end = 0;
    a.orders_current = false;
    a.running.clear();
    a.ended.clear();
    a.listed = false;
    a.orders.clear();
    a.gone.clear();
    a.needs.clear();
    a.progress.clear();
    a.long_hold_open = false;
    a.short_hold_open = false;
    a.runs_end_by = {};
    a.answered_at = a.run.now();
    a.run.journal.event("server_followed", {{"incarnation", a.incarnation},
                                            {"service", heartbeat.service},
                                            {"rack", heartbeat.rack}});
}

bool same_runs(const std::vector<RunningTask>& a,
               const std::vector<RunningTask>& b) {
    return std::ranges::equal(a, b, [](const auto& x, const auto& y) {
        return x.name().task() == y.name().task() &&
               x.name().run() == y.name().run();
    });
}

/// Notes how long each run has stood at its percentage.
void mark_progress(agent& a) {
    std::map<run_key, progress_mark> marks;
    for (auto& r : a.running) {
        const run_key key{r.name().task(), r.name().run()};
        const auto it = a.progress.find(key);
        const bool still =
            it != a.progress.end() && it->second.percent == r.percent();
        const auto since = still ? it->second.since_ms : a.listed_clock_ms;
        marks[key] = {r.percent(), since};
        r.set_still_ms(a.listed_clock_ms - since);
    }
    a.progress = std::move(marks);
}

void take_lists(agent& a, const poll_reply& reply) {
    const bool news = !a.listed || !same_runs(a.running, reply.running) ||
                      reply.ended.size() != a.ended.size();
    a.running = reply.running;
    mark_progress(a);
    a.ended.clear();
    for (const auto& end : reply.ended)
        if (end.number() > a.noted_end)
            a.ended.push_back(end);
    a.listed = true;
    if (news)
        send_report(a);
}

void take_hold(agent& a, const poll_reply& reply, time_point sent) {
    if (reply.status == server_status::other_incarnation) {
        a.run.journal.event("server_replaced",
                            {{"incarnation", a.incarnation}});
        a.departed = true;
        send_report(a);
        return;
    }
    if (reply.status != server_status::ok) {
        a.life_confirmed = false;
        a.hold_again_at = a.run.now() + hold_pause_after_failure;
        return;
    }
    if (reply.started_unix_ms != 0 && a.last_heartbeat.started_unix_ms != 0 &&
        reply.started_unix_ms != a.last_heartbeat.started_unix_ms) {
        // Another life of the same id; its heartbeat is to come.
        a.life_confirmed = false;
        a.hold_again_at = a.run.now() + hold_pause_after_failure;
        return;
    }
    a.departed = false;
    a.life_confirmed = true;
    a.answered_at = a.run.now();
    // Replies on two connections may overtake each other.
    const auto as_of = reply.clock_ms.value_or(a.listed_clock_ms);
    if (as_of < a.listed_clock_ms)
        return;
    a.listed_clock_ms = as_of;
    take_clock(a, reply.clock_ms);
    take_lists(a, reply);
    settle_orders(a, sent);
}

void hold(agent& a, duration wait, bool agent::*open) {
    poll_call call;
    // A server that doesn't answer must not keep its runs for ever.
    if (a.run.now() < a.answered_at + longest_unanswered_lease)
        call.deadline_ms = deadline_on_server(a);
    call.fencing_token = a.epoch;
    // Another life counts its ends anew: none of them is noted yet.
    call.acknowledged_up_to = a.life_confirmed ? a.noted_end : 0;
    call.wait = wait;
    if (call.deadline_ms)
        note_lease(a);
    a.*open = true;
    a.calls.poll_runs(
        a.last_heartbeat.id, call,
        [&a, open, life = a.life, sent = a.run.now()](const poll_reply& reply) {
            if (a.life != life)
                return;
            a.*open = false;
            take_hold(a, reply, sent);
            advance(a);
        });
}

duration wait_of_look(const agent& a) {
    if (!a.clock_known)
        return duration{0};
    return a.running.empty() ? idle_hold_wait : hold_wait;
}

void check_server(agent& a) {
    const auto now = a.run.now();
    if (a.departed || now < a.answered_at + longest_server_silence ||
        now < a.runs_end_by)
        return;
    a.departed = true;
    a.run.journal.event("server_silent",
                        {{"incarnation", a.incarnation},
                         {"silent_ms", (now - a.answered_at).count()}});
    send_report(a);
}

} // namespace

bool on_heartbeat(agent& a, const server_heartbeat& heartbeat) {
    if (heartbeat.started_unix_ms < a.last_heartbeat.started_unix_ms)
        return false;
    if (a.incarnation != incarnation_of(heartbeat)) {
        follow_new_life(a, heartbeat);
        send_report(a);
    } else if (heartbeat.sequence > a.last_heartbeat.sequence) {
        const bool news = heartbeat.draining != a.last_heartbeat.draining;
        take_heartbeat(a, heartbeat);
        if (news) {
            a.run.journal.event(
                "server_draining",
                {{"incarnation", a.incarnation},
                 {"draining", heartbeat.draining},
                 {"remaining_ms", heartbeat.remaining.count()}});
            send_report(a);
        }
    }
    advance(a);
    return true;
}

void on_departure(agent& a, const std::string& id) {
    if (id != a.last_heartbeat.id)
        return;
    a.departed = true;
    a.run.journal.event("server_departed", {{"incarnation", a.incarnation}});
    send_report(a);
}

void send_report(agent& a) {
    AgentReport report;
    report.set_failure_domain(a.failure_domain);
    report.set_sent_at_ms(a.run.now().time_since_epoch().count());
    report.set_followed_epoch(a.epoch);
    // A server whose runs have not been listed yet can't be given work.
    if (!a.incarnation.empty() && (a.listed || a.departed)) {
        auto* server = report.mutable_server();
        server->set_incarnation(a.incarnation);
        server->set_service(a.last_heartbeat.service);
        server->set_rack(a.last_heartbeat.rack);
        to_record(a.last_heartbeat.capacity, server->mutable_capacity());
        for (const auto& label : a.last_heartbeat.labels)
            server->add_labels(label);
        server->set_draining(a.last_heartbeat.draining || a.stopping);
        server->set_departed(a.departed);
        // A millisecond at least: it does say, and its time may be over.
        if (a.last_heartbeat.draining &&
            a.last_heartbeat.remaining > duration{0})
            server->set_remaining_ms(
                std::max<std::int64_t>(1, (a.leaves_at - a.run.now()).count()));
        report.set_lists_as_of_ms(a.listed_clock_ms);
        for (const auto& r : a.running)
            *report.add_running() = r;
        for (const auto& e : a.ended)
            *report.add_ended() = e;
        for (const auto& [key, reason] : a.gone) {
            auto* g = report.add_gone();
            g->mutable_name()->set_task(key.task);
            g->mutable_name()->set_run(key.run);
            g->set_reason(reason);
        }
    }
    a.reported_at = a.run.now();
    a.report(report);
}

void advance(agent& a) {
    if (a.incarnation.empty())
        return;
    advance_orders(a);
    if (!a.long_hold_open && a.run.now() >= a.hold_again_at)
        hold(a, wait_of_look(a), &agent::long_hold_open);
    if (std::exchange(a.look_again, a.short_hold_open) && !a.short_hold_open)
        hold(a, duration{0}, &agent::short_hold_open);
}

void report_now(agent& a) {
    send_report(a);
}

void on_tick(agent& a) {
    if (!a.incarnation.empty())
        check_server(a);
    advance(a);
    if (a.run.now() >= a.reported_at + report_period)
        send_report(a);
}

} // namespace celerylift::fleet
