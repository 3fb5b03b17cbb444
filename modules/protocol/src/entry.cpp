#include "entry_internal.hpp"

#include <celerylift/protocol/event_messages.hpp>
#include <celerylift/protocol/timing.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

constexpr duration status_period{500};

void apply_configuration(const entry_context& c, const watch_event& event) {
    wire::CellConfiguration doc;
    if (event.removed || !doc.ParseFromString(event.value))
        return;
    if (doc.revision() <= c.entry.configuration_revision)
        return; // Only a newer revision is applied.
    c.entry.configuration_revision = doc.revision();
    c.entry.configuration = doc.settings();
    note(c, "configuration", c.entry.settings.cell,
         fmt::format("revision {}", doc.revision()));
}

void acknowledge(const entry_context& c, const std::string& agent,
                 const wire::Heartbeat& heartbeat) {
    auto& ack = *send(c, agent).mutable_heartbeat_ack();
    ack.set_owner(c.entry.owner_name);
    ack.set_owner_epoch(c.entry.owner_epoch);
    ack.set_sequence(heartbeat.sequence());
    ack.set_incarnation(heartbeat.incarnation());
    ack.set_configuration_revision(c.entry.configuration_revision);
    if (heartbeat.configuration_revision() < c.entry.configuration_revision)
        *ack.mutable_settings() = c.entry.configuration;
}

void on_agent_heartbeat(const entry_context& c, const std::string& agent,
                        const wire::Heartbeat& heartbeat) {
    c.entry.agents_heard[agent] = c.now;
    c.entry.agent_incarnations[agent] = heartbeat.incarnation();
    if (!c.entry.owner)
        return acknowledge(c, agent, heartbeat);
    on_heartbeat(owner_of(c), agent, heartbeat);
    drop_deposed(c);
}

void on_peer_status(const entry_context& c, const std::string& from,
                    const wire::PeerStatus& status) {
    // An entry that cannot reach the store learns from its peers that another
    // entry has taken over.
    if (c.entry.owner && status.epoch() > c.entry.owner->epoch) {
        c.entry.owner_name = status.owner();
        c.entry.owner_epoch = status.epoch();
        c.entry.owner->phase = owner_phase::deposed;
        drop_deposed(c);
    }
    auto& peer = c.entry.peers[from];
    peer.last_status_at = c.now;
    peer.agents_heard = status.agents_heard();
    peer.leaving = status.leaving();
    peer.holds_cell = status.holds_cell();
    for (const auto& agent : status.agents())
        peer.agents[agent.name()] = agent.incarnation();
}

int count_recent_agents(const entry_context& c) {
    const auto since = c.now - max_missed_heartbeats * status_period;
    return static_cast<int>(
        std::count_if(c.entry.agents_heard.begin(), c.entry.agents_heard.end(),
                      [&](const auto& a) { return a.second >= since; }));
}

/// A leaving owner lists its agents, so that the next owner knows whose
/// reports to wait for.
void list_agents(const entry_context& c, wire::PeerStatus& status) {
    if (!c.entry.leaving || !c.entry.owner)
        return;
    for (const auto& [name, view] : c.entry.owner->agents) {
        if (view.unresponsive)
            continue;
        auto* agent = status.add_agents();
        agent->set_name(name);
        agent->set_incarnation(view.incarnation);
    }
}

void tell_peers(const entry_context& c) {
    if (c.now < c.entry.next_status)
        return;
    c.entry.next_status = c.now + status_period;
    for (const auto& peer : c.entry.settings.peers) {
        auto& status = *send(c, peer).mutable_peer_status();
        status.set_epoch(c.entry.owner_epoch);
        status.set_owner(c.entry.owner_name);
        status.set_agents_heard(count_recent_agents(c));
        status.set_leaving(c.entry.leaving);
        status.set_holds_cell(c.entry.owner != nullptr);
        list_agents(c, status);
    }
}

void to_owner(const entry_context& c, const wire::Envelope& envelope) {
    if (!c.entry.owner)
        return;
    const auto& from = envelope.from();
    if (envelope.has_member_update())
        on_member_update(owner_of(c), from, envelope.member_update());
    else if (envelope.has_run_update())
        on_run_update(owner_of(c), from, envelope.run_update());
    else if (envelope.has_events_reply())
        on_events_reply(owner_of(c), from, envelope.events_reply());
    else if (envelope.has_bequest())
        on_handover_state(owner_of(c), from, envelope.bequest());
    else if (envelope.has_api_call() && may_answer(c))
        on_call(owner_of(c), {from, envelope.api_call().id()},
                envelope.api_call());
    drop_deposed(c);
}

} // namespace

wire::Envelope& send(const entry_context& c, const std::string& to) {
    c.out.messages.push_back({to, {}});
    return c.out.messages.back().envelope;
}

void note(const entry_context& c, std::string kind, std::string subject,
          std::string detail) {
    base::record(c.entry.log, c.wall_ms, std::move(kind), std::move(subject),
                 std::move(detail));
}

owner_context owner_of(const entry_context& c) {
    return {*c.entry.owner, c.entry.log, c.out, c.now, c.wall_ms};
}

std::uint64_t call_store(const entry_context& c, store_request request) {
    // Keeps the entry's request numbers apart from the owner's.
    constexpr std::uint64_t entry_numbers = 1ULL << 62;
    request.id = entry_numbers + c.entry.next_request++;
    c.out.store.push_back(std::move(request));
    return c.out.store.back().id;
}

std::string control_prefix(const std::string& cell) {
    return fmt::format("cell/{}/control/", cell);
}

std::string owner_key(const std::string& cell) {
    return control_prefix(cell) + "owner";
}

entry_state make_entry(const entry_settings& settings, std::uint64_t seed,
                       time_point now) {
    entry_state entry;
    entry.settings = settings;
    entry.log.process = settings.name;
    entry.random = seed;
    entry.configuration = default_settings();
    entry.next_status = now;
    // A restarted entry does not reuse the call numbers of its earlier
    // incarnation, so that a late reply cannot reach the wrong caller.
    entry.next_call = (seed << 20) + 1;
    return entry;
}

void on_message(const entry_context& c, const wire::Envelope& envelope) {
    base::observe_clock(c.entry.log, envelope.clock());
    switch (envelope.body_case()) {
    case wire::Envelope::kHeartbeat:
        on_agent_heartbeat(c, envelope.from(), envelope.heartbeat());
        break;
    case wire::Envelope::kEventsQuery:
        *send(c, envelope.from()).mutable_events_reply() =
            answer_events_query(c.entry.log, envelope.events_query());
        break;
    case wire::Envelope::kPeerStatus:
        on_peer_status(c, envelope.from(), envelope.peer_status());
        break;
    case wire::Envelope::kApiReply:
        handle_reply(c, envelope.api_reply());
        break;
    case wire::Envelope::kBequestAck:
        c.entry.bequests.erase(envelope.bequest_ack().job());
        break;
    default:
        to_owner(c, envelope);
        break;
    }
    collect_replies(c);
}

namespace {

/// Applies a configuration accepted by the owner in this entry without
/// waiting for the watch.
void follow_owner(const entry_context& c) {
    if (!c.entry.owner)
        return;
    const auto& current = c.entry.owner->configuration.current;
    if (current.revision() <= c.entry.configuration_revision)
        return;
    c.entry.configuration_revision = current.revision();
    c.entry.configuration = current.settings();
}

} // namespace

void on_store_reply(const entry_context& c, const store_reply& reply) {
    if (!on_claim_reply(c, reply) && c.entry.owner)
        on_store_reply(owner_of(c), reply);
    follow_owner(c);
    drop_deposed(c);
    collect_replies(c);
}

void on_watch(const entry_context& c, const watch_event& event) {
    if (event.key == owner_key(c.entry.settings.cell))
        apply_owner_key(c, event);
    else
        apply_configuration(c, event);
    collect_replies(c);
}

void on_tick(const entry_context& c) {
    tick_ownership(c);
    if (c.entry.owner)
        on_tick(owner_of(c));
    drop_deposed(c);
    tick_calls(c);
    send_bequests(c);
    tell_peers(c);
    collect_replies(c);
}

void begin_leaving(const entry_context& c) {
    if (c.entry.leaving)
        return;
    c.entry.leaving = true;
    note(c, "entry_leaving", c.entry.settings.name);
    if (c.entry.owner)
        begin_leaving(owner_of(c));
    c.entry.next_status = c.now;
    tell_peers(c);
}

bool is_idle(const entry_state& entry) {
    return !entry.owner && entry.claim.step == claim_step::none &&
           entry.calls.empty() && entry.bequests.empty();
}

} // namespace celerylift::protocol
