#include "owner_internal.hpp"

#include <celerylift/kernel/policy.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

const char* name_of(owner_phase phase) {
    switch (phase) {
    case owner_phase::loading:
        return "loading";
    case owner_phase::sealing:
        return "sealing";
    case owner_phase::collecting:
        return "collecting";
    case owner_phase::active:
        return "active";
    case owner_phase::leaving:
        return "leaving";
    case owner_phase::deposed:
        break;
    }
    return "deposed";
}

wire::Envelope& send(const owner_context& c, const std::string& to) {
    c.out.messages.push_back({to, {}});
    return c.out.messages.back().envelope;
}

void reply(const owner_context& c, const caller& who, wire::ApiReply answer) {
    answer.set_id(who.call);
    if (who.entry == c.owner.self)
        c.out.replies.push_back(std::move(answer));
    else
        *send(c, who.entry).mutable_api_reply() = std::move(answer);
}

void reply_error(const owner_context& c, const caller& who, const error& e) {
    reply(c, who, error_reply(who.call, e));
}

void note(const owner_context& c, std::string kind, std::string subject,
          std::string detail) {
    base::record(c.log, c.wall_ms, std::move(kind), std::move(subject),
                 std::move(detail));
}

void change_phase(const owner_context& c, owner_phase phase) {
    c.owner.phase = phase;
    c.owner.phase_since = c.now;
    note(c, "owner_phase", c.owner.cell_name,
         fmt::format("{} epoch {}", name_of(phase), c.owner.epoch));
}

duration gang_lease(const owner_state& owner) {
    return duration{owner.configuration.current.settings().gang_lease_ms()};
}

duration heartbeat_period(const owner_state& owner) {
    return duration{owner.configuration.current.settings().heartbeat_ms()};
}

std::uint64_t call_store(const owner_context& c, store_request request) {
    request.id = c.owner.next_request++;
    ++c.owner.store_calls;
    c.out.store.push_back(std::move(request));
    return c.out.store.back().id;
}

void store_answered(const owner_context& c) {
    if (!c.owner.store_down_since)
        return;
    c.owner.store_down_since.reset();
    note(c, "store_up", c.owner.cell_name);
}

void store_failed(const owner_context& c) {
    if (c.owner.store_down_since)
        return;
    c.owner.store_down_since = c.now;
    note(c, "store_down", c.owner.cell_name);
}

bool store_is_down(const owner_state& owner) {
    return owner.store_down_since.has_value();
}

duration next_backoff(duration pause) {
    return std::clamp(pause * 2, min_store_backoff, max_store_backoff);
}

void step_down(const owner_context& c, const std::string& why) {
    if (c.owner.phase == owner_phase::deposed)
        return;
    note(c, "owner_deposed", c.owner.cell_name, why);
    change_phase(c, owner_phase::deposed);
}

void begin_ownership(const owner_context& c, std::int64_t epoch) {
    auto& owner = c.owner;
    owner.epoch = epoch;
    owner.claimed = c.now;
    owner.cell.policy = kernel::find_policy("shape_aware");
    owner.cell.random = static_cast<std::uint64_t>(epoch) + 1;
    // Gang ids of different epochs never collide.
    owner.cell.next_gang = (static_cast<kernel::gang_id>(epoch) << 24) + 1;
    owner.pages.resize(pages_per_cell);
    *owner.configuration.current.mutable_settings() = default_settings();
    change_phase(c, owner_phase::loading);
    load_configuration(c);
    load_pages(c);
}

void resume_ownership(const owner_context& c, std::int64_t epoch) {
    c.owner.epoch = epoch;
    note(c, "owner_resumed", c.owner.cell_name, fmt::format("epoch {}", epoch));
    for (auto& page : c.owner.pages)
        ++page.version; // Writes the new epoch into every page.
    announce_epoch(c);
    flush_pages(c);
}

void begin_leaving(const owner_context& c) {
    if (c.owner.phase == owner_phase::active)
        change_phase(c, owner_phase::leaving);
}

void on_store_contact(const owner_context& c, bool answered) {
    if (answered)
        store_answered(c);
    else
        store_failed(c);
}

bool is_flushed(const owner_state& owner) {
    return std::all_of(owner.pages.begin(), owner.pages.end(),
                       [](const page_state& p) {
                           return p.durable_version == p.version &&
                                  p.writing_version == 0;
                       }) &&
           !owner.configuration.writing;
}

bool on_store_reply(const owner_context& c, const store_reply& reply) {
    const bool known =
        on_page_reply(c, reply) || on_configuration_reply(c, reply);
    if (!known)
        return false;
    if (reply.status == store_status::unavailable)
        store_failed(c);
    else
        store_answered(c);
    if (c.owner.phase == owner_phase::active)
        run_schedule(c);
    flush_pages(c);
    return true;
}

void on_tick(const owner_context& c) {
    auto& owner = c.owner;
    if (owner.phase == owner_phase::deposed)
        return;
    if (owner.phase == owner_phase::loading) {
        load_configuration(c);
        load_pages(c);
    }
    if (owner.phase == owner_phase::sealing)
        fence_pages(c);
    if (owner.phase == owner_phase::collecting)
        tick_collecting(c);
    if (owner.phase == owner_phase::active) {
        tick_agents(c);
        tick_gangs(c);
        tick_unresolved(c);
        tick_jobs(c);
        tick_configuration(c);
        proceed_without_store(c);
        run_schedule(c);
    }
    tick_queries(c);
    flush_pages(c);
}

} // namespace celerylift::protocol
