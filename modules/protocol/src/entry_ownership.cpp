// Acquires, renews and releases the owner key of the cell.
#include "entry_internal.hpp"

#include <celerylift/kernel/random.hpp>
#include <celerylift/protocol/timing.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

/// Upper bound of the random delay before an entry claims a free cell.
constexpr duration claim_jitter{100};

/// Additional delay of an entry that receives heartbeats from fewer agents
/// than a peer does, so that the peer claims the cell first.
constexpr duration claim_deference{1000};
constexpr duration claim_retry{500};
constexpr duration peer_status_timeout{2000};
constexpr duration bequest_period{500};

/// Limit on how long a leaving owner waits for the store before it releases
/// its key.
constexpr duration flush_timeout{60'000};

/// How long other entries wait for the last owner to reach the store again.
/// This exceeds the last owner's maximum pause between two attempts.
constexpr duration last_owner_deference = max_store_backoff * 3 / 2;

void pause_claim(const entry_context& c, duration pause) {
    c.entry.claim.step = claim_step::none;
    c.entry.claim.request = 0;
    c.entry.claim.not_before = c.now + pause;
}

duration jitter(const entry_context& c) {
    return duration{static_cast<std::int64_t>(
        kernel::next_random(c.entry.random) % claim_jitter.count())};
}

bool peer_has_more_agents(const entry_context& c) {
    const auto mine = c.entry.agents_heard.size();
    return std::any_of(
        c.entry.peers.begin(), c.entry.peers.end(), [&](const auto& peer) {
            return !peer.second.leaving &&
                   c.now<peer.second.last_status_at +
                         peer_status_timeout&& static_cast<std::size_t>(
                             peer.second.agents_heard)>
                       mine;
        });
}

void begin_claim(const entry_context& c, bool resuming) {
    auto& claim = c.entry.claim;
    claim.step = claim_step::granting;
    claim.resuming = resuming;
    claim.granted_at = c.now;
    store_request grant;
    grant.op = store_op::grant_lease;
    grant.ttl = owner_lease;
    claim.request = call_store(c, std::move(grant));
}

void put_owner_key(const entry_context& c) {
    auto& claim = c.entry.claim;
    claim.step = claim_step::putting;
    claim.write_id = fmt::format("{}/{}/{:x}", c.entry.settings.name,
                                 c.entry.next_write++, c.entry.next_call);
    wire::OwnerRecord record;
    record.set_owner(c.entry.settings.name);
    record.set_write_id(claim.write_id);
    store_request put;
    put.op = store_op::put;
    put.key = owner_key(c.entry.settings.cell);
    put.value = record.SerializeAsString();
    put.expected_revision = no_revision;
    put.lease = claim.lease;
    claim.request = call_store(c, std::move(put));
}

void read_owner_key(const entry_context& c) {
    c.entry.claim.step = claim_step::reading_back;
    store_request get;
    get.op = store_op::get;
    get.key = owner_key(c.entry.settings.cell);
    c.entry.claim.request = call_store(c, std::move(get));
}

/// Lists the agents with recent heartbeats. The new owner waits until each of
/// them has accepted its epoch.
void add_recent_agents(const entry_context& c) {
    for (const auto& [agent, heard] : c.entry.agents_heard) {
        if (heard + max_missed_heartbeats * owner_renewal_period < c.now)
            continue;
        auto& view = c.entry.owner->agents[agent];
        view.name = agent;
        view.last_heartbeat_at = heard;
        view.incarnation = c.entry.agent_incarnations[agent];
    }
}

/// Adopts the agent list of an owner that has just left.
void adopt_listed_agents(const entry_context& c) {
    auto peer = c.entry.peers.find(c.entry.last_owner);
    const bool named =
        peer != c.entry.peers.end() && peer->second.leaving &&
        !peer->second.agents.empty() &&
        c.now < peer->second.last_status_at + peer_status_timeout;
    if (!named)
        return;
    for (const auto& [name, incarnation] : peer->second.agents) {
        auto& view = c.entry.owner->agents[name];
        view.name = name;
        view.last_heartbeat_at = c.now;
        view.incarnation = incarnation;
    }
    c.entry.owner->agents_complete = true;
    peer->second.agents.clear();
}

void become_owner(const entry_context& c, std::int64_t epoch) {
    auto& claim = c.entry.claim;
    claim.step = claim_step::none;
    claim.request = 0;
    claim.lease_until = claim.granted_at + owner_lease;
    c.entry.owner_name = c.entry.settings.name;
    c.entry.owner_epoch = epoch;
    c.entry.next_renewal = c.now + owner_renewal_period;
    note(c, "owner_claimed", c.entry.settings.cell,
         fmt::format("epoch {}", epoch));
    const bool resumes = claim.resuming && c.entry.owner &&
                         c.entry.owner->phase == owner_phase::active;
    if (resumes)
        return resume_ownership(owner_of(c), epoch);
    c.entry.owner = std::make_unique<owner_state>();
    c.entry.owner->self = c.entry.settings.name;
    c.entry.owner->cell_name = c.entry.settings.cell;
    c.entry.owner->peers = c.entry.settings.peers;
    add_recent_agents(c);
    adopt_listed_agents(c);
    begin_ownership(owner_of(c), epoch);
}

void lose_claim(const entry_context& c) {
    const bool resuming = c.entry.claim.resuming;
    pause_claim(c, claim_retry);
    if (resuming && c.entry.owner)
        c.entry.owner->phase = owner_phase::deposed;
}

void on_granted(const entry_context& c, const store_reply& reply) {
    if (reply.status != store_status::ok)
        return pause_claim(c, claim_retry);
    c.entry.claim.lease = reply.lease;
    put_owner_key(c);
}

void on_put(const entry_context& c, const store_reply& reply) {
    if (reply.status == store_status::ok)
        return become_owner(c, reply.revision);
    if (reply.status == store_status::unavailable)
        return read_owner_key(c);
    lose_claim(c);
}

void on_read_back(const entry_context& c, const store_reply& reply) {
    if (reply.status == store_status::unavailable) {
        // The lease of the claim expires if the store remains unavailable.
        if (c.now < c.entry.claim.granted_at + owner_lease)
            return read_owner_key(c);
        return pause_claim(c, claim_retry);
    }
    wire::OwnerRecord record;
    const bool ours = reply.status == store_status::ok &&
                      record.ParseFromString(reply.value) &&
                      record.write_id() == c.entry.claim.write_id;
    if (ours)
        return become_owner(c, reply.revision);
    if (reply.status == store_status::not_found)
        return pause_claim(c, claim_retry);
    lose_claim(c);
}

void renew(const entry_context& c) {
    store_request request;
    request.op = store_op::renew_lease;
    request.lease = c.entry.claim.lease;
    request.ttl = owner_lease;
    c.entry.renewal_sent = c.now;
    c.entry.next_renewal = c.now + owner_renewal_period;
    c.entry.renewal_request = call_store(c, std::move(request));
}

void on_renewed(const entry_context& c, const store_reply& reply) {
    c.entry.renewal_request = 0;
    if (c.entry.owner)
        on_store_contact(owner_of(c),
                         reply.status != store_status::unavailable);
    if (reply.status == store_status::ok) {
        c.entry.claim.lease_until = c.entry.renewal_sent + owner_lease;
        return;
    }
    if (reply.status == store_status::unavailable || !c.entry.owner)
        return;
    note(c, "owner_lease_lost", c.entry.settings.cell);
    if (c.entry.leaving)
        return; // Still writes until another entry takes over.
    // An owner that has not loaded the cell has no state to resume.
    if (c.entry.owner->phase != owner_phase::active) {
        c.entry.owner->phase = owner_phase::deposed;
        return;
    }
    if (c.entry.claim.step == claim_step::none && !c.entry.leaving)
        begin_claim(c, true);
}

void release_owner_key(const entry_context& c) {
    store_request remove;
    remove.op = store_op::remove;
    remove.key = owner_key(c.entry.settings.cell);
    remove.expected_revision = c.entry.owner_epoch;
    c.entry.remove_request = call_store(c, std::move(remove));
}

void tick_leaving(const entry_context& c) {
    if (c.entry.remove_request != 0)
        return;
    const auto& owner = *c.entry.owner;
    const bool waited = c.now >= owner.phase_since + flush_timeout;
    const bool never_active = owner.phase != owner_phase::leaving;
    if (is_flushed(owner) || waited || never_active)
        release_owner_key(c);
}

void tick_owning(const entry_context& c) {
    if (c.entry.leaving)
        tick_leaving(c);
    if (c.now >= c.entry.next_renewal && c.entry.renewal_request == 0)
        renew(c);
}

/// Keeps the jobs that only this owner has in memory for the new owner.
void keep_volatile_jobs(const entry_context& c) {
    for (const auto& [id, job] : c.entry.owner->jobs) {
        const bool outcome_only = is_ended(job.record.status().state());
        if (job.durable || job.record.status().state() == api::ACCEPTED)
            continue;
        if (outcome_only || !job.record.spec().not_repeatable())
            c.entry.bequests[id] = job.record;
    }
}

/// The owner of the last epoch can resume from memory, so other entries let
/// it claim first while its status messages arrive.
bool defers_to_last_owner(const entry_context& c) {
    auto it = c.entry.peers.find(c.entry.last_owner);
    return it != c.entry.peers.end() && it->second.holds_cell &&
           c.now < it->second.last_status_at + peer_status_timeout;
}

} // namespace

bool may_answer(const entry_context& c) {
    if (!c.entry.owner || c.entry.owner->phase == owner_phase::deposed)
        return false;
    return c.now < c.entry.claim.lease_until ||
           c.entry.owner->store_down_since.has_value();
}

void drop_deposed(const entry_context& c) {
    if (!c.entry.owner || c.entry.owner->phase != owner_phase::deposed)
        return;
    collect_replies(c);
    if (c.entry.owner_name == c.entry.settings.name)
        c.entry.owner_name.clear();
    keep_volatile_jobs(c);
    c.entry.owner.reset();
    c.entry.next_status = c.now; // Peers stop deferring at once.
    c.entry.claim = claim_state{};
    c.entry.claim.not_before = c.now + claim_retry;
    c.entry.renewal_request = 0;
}

void apply_owner_key(const entry_context& c, const watch_event& event) {
    c.entry.owner_known = true;
    if (event.removed) {
        if (event.revision < c.entry.owner_epoch)
            return;
        if (!c.entry.owner)
            c.entry.owner_name.clear();
        c.entry.claim.not_before =
            std::max(c.entry.claim.not_before, c.now + jitter(c));
        return;
    }
    wire::OwnerRecord record;
    if (event.revision < c.entry.owner_epoch ||
        !record.ParseFromString(event.value))
        return;
    const bool other = record.owner() != c.entry.settings.name;
    if (other && c.entry.owner && event.revision > c.entry.owner->epoch) {
        c.entry.owner->phase = owner_phase::deposed;
        drop_deposed(c);
    }
    if (!other && !c.entry.owner)
        return; // Written by an earlier incarnation.
    const bool changed = c.entry.owner_name != record.owner();
    c.entry.owner_name = record.owner();
    c.entry.last_owner = record.owner();
    c.entry.owner_epoch = event.revision;
    if (!changed)
        return;
    note(c, "owner_is", c.entry.settings.cell,
         fmt::format("{} epoch {}", record.owner(), event.revision));
    for (auto& [id, call] : c.entry.calls)
        call.last_sent = {};
}

bool on_claim_reply(const entry_context& c, const store_reply& reply) {
    if (reply.id == c.entry.renewal_request) {
        on_renewed(c, reply);
        return true;
    }
    if (reply.id == c.entry.remove_request) {
        c.entry.remove_request = 0;
        if (c.entry.owner && c.entry.leaving) {
            note(c, "owner_left", c.entry.settings.cell);
            c.entry.owner->phase = owner_phase::deposed;
        }
        return true;
    }
    if (c.entry.claim.request == 0 || reply.id != c.entry.claim.request)
        return false;
    switch (c.entry.claim.step) {
    case claim_step::granting:
        on_granted(c, reply);
        break;
    case claim_step::putting:
        on_put(c, reply);
        break;
    case claim_step::reading_back:
        on_read_back(c, reply);
        break;
    case claim_step::none:
        break;
    }
    return true;
}

void send_bequests(const entry_context& c) {
    const bool own =
        c.entry.owner && c.entry.owner->phase == owner_phase::active;
    if (c.entry.bequests.empty() || c.now < c.entry.next_bequest)
        return;
    c.entry.next_bequest = c.now + bequest_period;
    if (!own && (c.entry.owner || c.entry.owner_name.empty()))
        return;
    const auto bequests = c.entry.bequests;
    for (const auto& [id, record] : bequests) {
        wire::Bequest bequest;
        *bequest.mutable_job() = record;
        if (own) {
            on_handover_state(owner_of(c), c.entry.settings.name, bequest);
            c.entry.bequests.erase(id);
        } else {
            *send(c, c.entry.owner_name).mutable_bequest() = bequest;
        }
    }
}

void tick_ownership(const entry_context& c) {
    if (c.entry.owner)
        return tick_owning(c);
    const auto& claim = c.entry.claim;
    const bool free = c.entry.owner_known && c.entry.owner_name.empty();
    if (!free || c.entry.leaving || claim.step != claim_step::none ||
        c.now < claim.not_before)
        return;
    const auto waited = c.now - claim.not_before;
    if (peer_has_more_agents(c) && waited < claim_deference)
        return;
    if (defers_to_last_owner(c) && waited < last_owner_deference)
        return;
    begin_claim(c, false);
}

} // namespace celerylift::protocol
