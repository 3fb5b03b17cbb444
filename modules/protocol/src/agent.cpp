#include "agent_internal.hpp"

#include <celerylift/protocol/convert.hpp>
#include <celerylift/protocol/event_messages.hpp>
#include <celerylift/protocol/timing.hpp>

#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace celerylift::protocol {

namespace {

/// An entry that leaves this many heartbeats unacknowledged is skipped for
/// `unresponsive_pause`.
constexpr int max_unacknowledged = 3;
constexpr duration unresponsive_pause{2000};
constexpr std::size_t remembered_heartbeats = 32;

/// A restarted agent accepts work once two entries have acknowledged a
/// heartbeat and thereby sent their configuration, or after this time if
/// only one has.
constexpr duration configuration_wait{2000};

std::uint64_t preference(const agent_state& agent, const std::string& entry) {
    const auto key = agent.settings.worker.failure_domain + "|" + entry;
    return XXH3_64bits(key.data(), key.size());
}

/// The owner first, then the other entries in an order that depends on the
/// failure domain, which spreads the failure domains over the entries.
std::vector<std::string> entries_by_preference(const agent_state& agent) {
    auto entries = agent.settings.entries;
    std::sort(
        entries.begin(), entries.end(),
        [&](const std::string& a, const std::string& b) {
            return std::make_tuple(a != agent.owner, preference(agent, a), a) <
                   std::make_tuple(b != agent.owner, preference(agent, b), b);
        });
    return entries;
}

constexpr std::size_t heartbeat_targets = 2;

std::vector<std::string> targets(const agent_state& agent, time_point now) {
    std::vector<std::string> alive;
    const auto entries = entries_by_preference(agent);
    for (const auto& e : entries) {
        auto it = agent.links.find(e);
        if (it == agent.links.end() || it->second.unresponsive_until <= now)
            alive.push_back(e);
    }
    if (alive.empty())
        alive = entries;
    alive.resize(std::min(alive.size(), heartbeat_targets));
    return alive;
}

wire::Heartbeat make_heartbeat(const agent_state& agent) {
    wire::Heartbeat h;
    h.set_incarnation(agent.incarnation);
    h.set_epoch(agent.epoch);
    h.set_configuration_revision(agent.configuration_revision);
    h.set_leaving(agent.leaving);
    const auto& worker = agent.settings.worker;
    if (!worker.id.empty()) {
        auto* w = h.mutable_worker();
        w->set_id(worker.id);
        w->set_rack(worker.rack);
        w->set_failure_domain(worker.failure_domain);
        w->set_accelerators(worker.accelerators);
        w->set_healthy(agent.worker_has_replied && agent.worker_failures == 0);
    }
    for (const auto& [id, b] : agent.backends) {
        auto* out = h.add_backends();
        out->set_id(id);
        out->set_service(b.service);
        out->set_slots(b.slots);
        out->set_leaving(b.leaving);
    }
    for (const auto& [gang, m] : agent.members)
        *h.add_members() = m.report;
    for (const auto& [key, run] : agent.runs)
        *h.add_runs() = run.report;
    return h;
}

void send_heartbeat(const agent_context& c, const std::string& entry) {
    auto& link = c.agent.links[entry];
    auto h = make_heartbeat(c.agent);
    h.set_sequence(++link.sequence);
    link.sent.emplace_back(link.sequence, c.now);
    if (link.sent.size() > remembered_heartbeats)
        link.sent.pop_front();
    if (++link.unacknowledged > max_unacknowledged) {
        link.unacknowledged = 0;
        link.unresponsive_until = c.now + unresponsive_pause;
    }
    *send(c, entry).mutable_heartbeat() = std::move(h);
}

void send_heartbeats(const agent_context& c) {
    if (c.now < c.agent.next_heartbeat)
        return;
    c.agent.next_heartbeat = c.now + heartbeat_period(c.agent);
    for (const auto& entry : targets(c.agent, c.now))
        send_heartbeat(c, entry);
}

void apply_configuration(const agent_context& c,
                         const wire::HeartbeatAck& ack) {
    const bool newer =
        ack.has_settings() && !is_mutant("ignore-configuration") &&
        ack.configuration_revision() > c.agent.configuration_revision;
    if (!newer)
        return;
    c.agent.configuration_revision = ack.configuration_revision();
    c.agent.configuration = ack.settings();
    note(c, "configuration", c.agent.settings.name,
         fmt::format("revision {}", ack.configuration_revision()));
}

/// Raises the minimum accepted epoch to `epoch`. Returns whether the sender
/// is the owner whose commands the agent accepts.
bool accept_epoch(const agent_context& c, const std::string& from,
                  std::int64_t epoch) {
    if (is_mutant("obey-old-epochs") && epoch != 0 && epoch < c.agent.epoch)
        return true;
    if (epoch < c.agent.epoch || epoch == 0)
        return false;
    if (epoch == c.agent.epoch && c.agent.owner == from)
        return true;
    const bool raised = epoch > c.agent.epoch;
    c.agent.epoch = epoch;
    c.agent.owner = from;
    if (!raised)
        return true;
    note(c, "promised", c.agent.settings.name,
         fmt::format("epoch {} of {}", epoch, from));
    send_heartbeat(c, from); // The new owner waits for this report.
    return true;
}

time_point heartbeat_sent_at(const entry_link& link, std::uint64_t sequence) {
    for (const auto& [s, at] : link.sent) {
        if (s == sequence)
            return at;
    }
    return {};
}

/// An entry that is not the owner reports the owner according to the store.
void follow_reported_owner(const agent_context& c,
                           const wire::HeartbeatAck& ack) {
    const auto& owner = ack.owner();
    if (owner.empty() || owner == c.agent.owner)
        return;
    const auto it = c.agent.links.find(c.agent.owner);
    const bool lost =
        c.agent.owner.empty() ||
        (it != c.agent.links.end() && (it->second.unresponsive_until > c.now ||
                                       it->second.unacknowledged > 1));
    if (!lost && ack.owner_epoch() <= c.agent.epoch)
        return;
    c.agent.owner = owner;
    c.agent.links[owner].unresponsive_until = {};
    send_heartbeat(c, owner);
}

void on_ack(const agent_context& c, const std::string& from,
            const wire::HeartbeatAck& ack) {
    if (ack.incarnation() != c.agent.incarnation)
        return;
    auto& link = c.agent.links[from];
    link.unacknowledged = 0;
    link.unresponsive_until = {};
    link.has_acknowledged = true;
    apply_configuration(c, ack);
    if (ack.epoch() == 0)
        return follow_reported_owner(c, ack);
    if (!accept_epoch(c, from, ack.epoch()))
        return;
    const auto sent = heartbeat_sent_at(link, ack.sequence());
    if (sent != time_point{})
        renew_members(c, ack, sent);
}

void on_member_ack(const agent_context& c, const wire::MemberAck& ack) {
    auto it = c.agent.members.find(ack.gang());
    if (it != c.agent.members.end() &&
        it->second.report.state() >= wire::SUCCEEDED) {
        retire(c, it->first);
        c.agent.members.erase(it);
    }
}

void on_run_ack(const agent_context& c, const wire::RunAck& ack) {
    auto it = c.agent.runs.find({ack.job(), ack.attempt()});
    if (it != c.agent.runs.end() &&
        it->second.report.outcome() != wire::RUN_PENDING) {
        retire(c, ack.attempt());
        c.agent.runs.erase(it);
    }
}

/// Returns why new work is rejected, or an empty string if it is accepted.
std::string rejection_reason(const agent_context& c) {
    if (c.agent.leaving)
        return "the agent is leaving";
    const auto acknowledged = std::count_if(
        c.agent.links.begin(), c.agent.links.end(),
        [](const auto& link) { return link.second.has_acknowledged; });
    const auto wanted =
        std::min(heartbeat_targets, c.agent.settings.entries.size());
    const bool configured =
        static_cast<std::size_t>(acknowledged) >= wanted ||
        (acknowledged > 0 && c.now >= c.agent.started + configuration_wait);
    return configured ? "" : "the agent has no configuration yet";
}

} // namespace

wire::Envelope& send(const agent_context& c, const std::string& to) {
    c.out.messages.push_back({to, {}});
    return c.out.messages.back().envelope;
}

void note(const agent_context& c, std::string kind, std::string subject,
          std::string detail) {
    base::record(c.log, c.wall_ms, std::move(kind), std::move(subject),
                 std::move(detail));
}

duration heartbeat_period(const agent_state& agent) {
    return duration{agent.configuration.heartbeat_ms()};
}

agent_state make_agent(const agent_settings& settings,
                       std::uint64_t incarnation, time_point now) {
    agent_state agent;
    agent.settings = settings;
    agent.incarnation = incarnation;
    agent.configuration = default_settings();
    agent.started = now;
    return agent;
}

namespace {

/// Replies to a rejected command.
void refuse_member(const agent_context& c, const std::string& from,
                   std::uint64_t gang, const std::string& job,
                   const std::string& why) {
    auto& update = *send(c, from).mutable_member_update();
    update.set_epoch(c.agent.epoch);
    update.set_incarnation(c.agent.incarnation);
    update.set_refused(true);
    update.set_detail(why);
    update.mutable_member()->set_gang(gang);
    update.mutable_member()->set_job(job);
    auto it = c.agent.members.find(gang);
    if (it != c.agent.members.end())
        *update.mutable_member() = it->second.report;
}

/// Whether a command to start work is recent and does not repeat a command
/// for a gang or attempt that has ended.
bool is_fresh(const agent_context& c, const std::string& from,
              std::uint64_t gang, std::uint64_t last_heartbeat) {
    const auto link = c.agent.links.find(from);
    if (is_mutant("obey-late-commands"))
        return true;
    if (link == c.agent.links.end() || c.agent.retired.contains(gang))
        return false;
    const auto sent = heartbeat_sent_at(link->second, last_heartbeat);
    return sent != time_point{} && c.now < sent + max_command_age;
}

void handle_reserve(const agent_context& c, const std::string& from,
                    const wire::Reserve& reserve) {
    const bool valid = reserve.incarnation() == c.agent.incarnation &&
                       is_fresh(c, from, reserve.gang(), reserve.heard());
    if (!valid)
        return; // Late, or for an earlier incarnation.
    const auto why = rejection_reason(c);
    if (!why.empty())
        return refuse_member(c, from, reserve.gang(), reserve.job(), why);
    on_reserve(c, from, reserve);
}

void handle_run(const agent_context& c, const std::string& from,
                const wire::Run& run) {
    const bool known = c.agent.runs.contains({run.job(), run.attempt()});
    const bool valid = run.incarnation() == c.agent.incarnation &&
                       is_fresh(c, from, run.attempt(), run.heard());
    if (!valid)
        return;
    if (known || rejection_reason(c).empty())
        return on_run(c, from, run);
    auto& update = *send(c, from).mutable_run_update();
    update.set_epoch(c.agent.epoch);
    update.set_incarnation(c.agent.incarnation);
    update.mutable_run()->set_job(run.job());
    update.mutable_run()->set_attempt(run.attempt());
    update.mutable_run()->set_outcome(wire::RUN_NOT_STARTED);
    update.mutable_run()->set_detail(rejection_reason(c));
}

} // namespace

void on_message(const agent_context& c, const wire::Envelope& envelope) {
    base::observe_clock(c.log, envelope.clock());
    const auto& from = envelope.from();
    switch (envelope.body_case()) {
    case wire::Envelope::kHeartbeatAck:
        return on_ack(c, from, envelope.heartbeat_ack());
    case wire::Envelope::kReserve:
        if (accept_epoch(c, from, envelope.reserve().epoch()))
            handle_reserve(c, from, envelope.reserve());
        return;
    case wire::Envelope::kStart:
        if (accept_epoch(c, from, envelope.start().epoch()) &&
            envelope.start().incarnation() == c.agent.incarnation)
            on_start(c, from, envelope.start());
        return;
    case wire::Envelope::kRelease:
        if (accept_epoch(c, from, envelope.release().epoch()))
            on_release(c, from, envelope.release());
        return;
    case wire::Envelope::kMemberAck:
        if (accept_epoch(c, from, envelope.member_ack().epoch()))
            on_member_ack(c, envelope.member_ack());
        return;
    case wire::Envelope::kRun:
        if (accept_epoch(c, from, envelope.run().epoch()))
            handle_run(c, from, envelope.run());
        return;
    case wire::Envelope::kRunAck:
        if (accept_epoch(c, from, envelope.run_ack().epoch()))
            on_run_ack(c, envelope.run_ack());
        return;
    case wire::Envelope::kEventsQuery:
        *send(c, from).mutable_events_reply() =
            answer_events_query(c.log, envelope.events_query());
        return;
    default:
        return;
    }
}

void retire(const agent_context& c, std::uint64_t gang) {
    c.agent.retired[gang] = c.now;
}

void on_tick(const agent_context& c) {
    std::erase_if(c.agent.retired, [&](const auto& r) {
        return c.now >= r.second + ended_work_retention;
    });
    tick_members(c);
    tick_backends(c);
    send_heartbeats(c);
}

void begin_leaving(const agent_context& c) {
    if (c.agent.leaving)
        return;
    c.agent.leaving = true;
    c.agent.next_heartbeat = c.now;
    note(c, "agent_leaving", c.agent.settings.name);
    send_heartbeats(c);
}

bool is_idle(const agent_state& agent) {
    const bool runs =
        std::any_of(agent.runs.begin(), agent.runs.end(), [](const auto& r) {
            return r.second.report.outcome() == wire::RUN_PENDING;
        });
    const bool members = std::any_of(
        agent.members.begin(), agent.members.end(),
        [](const auto& m) { return m.second.report.state() != wire::STOPPED; });
    // Runs are erased once the owner has stored their outcome.
    return !runs && !members && agent.runs.empty();
}

} // namespace celerylift::protocol
