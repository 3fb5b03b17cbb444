// The owner's view of agents: heartbeats, and their absence.
#include "owner_internal.hpp"

#include <celerylift/kernel/backend_pool.hpp>
#include <celerylift/kernel/workers.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

constexpr std::size_t max_evidence_entries = 32;

bool is_drained(const owner_state& owner, const std::string& id) {
    const auto& drained = owner.configuration.current.drained();
    return std::find(drained.begin(), drained.end(), id) != drained.end();
}

void record_heartbeat_gap(const owner_context& c, agent_view& view,
                          const wire::Heartbeat& heartbeat) {
    const bool comparable = view.incarnation == heartbeat.incarnation() &&
                            view.sequence > 0 &&
                            heartbeat.sequence() > view.sequence + 1;
    if (!comparable)
        return;
    const auto missing = heartbeat.sequence() - view.sequence - 1;
    view.gaps += missing;
    view.evidence.push_back({c.wall_ms, missing});
    if (view.evidence.size() > max_evidence_entries)
        view.evidence.pop_front();
    note(c, "link_gap", view.name,
         fmt::format("{} heartbeats sent but not received", missing));
}

void apply_worker_report(const owner_context& c, agent_view& view,
                         const wire::WorkerReport& report) {
    if (report.id().empty())
        return;
    view.worker = report.id();
    c.owner.worker_agent[report.id()] = view.name;
    auto& cell = c.owner.cell;
    const bool known = cell.worker_index.contains(report.id());
    if (!known && report.healthy()) {
        kernel::worker spec{report.id(), report.rack(), report.failure_domain(),
                            report.accelerators()};
        kernel::add_worker(cell, spec);
        note(c, "worker_joined", report.id(), "agent " + view.name);
    }
    if (view.worker_healthy && !report.healthy())
        on_agent_lost(c, view.name, "its worker is unreachable");
    view.worker_healthy = report.healthy();
    kernel::set_worker_usable(cell, report.id(), report.healthy());
    kernel::set_worker_draining(
        cell, report.id(), view.leaving || is_drained(c.owner, report.id()));
}

void apply_backend_reports(const owner_context& c, agent_view& view,
                           const wire::Heartbeat& heartbeat) {
    std::set<std::string> reported;
    for (const auto& b : heartbeat.backends()) {
        reported.insert(b.id());
        if (!view.backends.contains(b.id())) {
            note(c, "backend_joined", b.id(), "agent " + view.name);
            ++c.owner.cell.capacity_version;
        }
        kernel::update_backend(c.owner.cell.backends,
                               {b.id(), b.service(), view.name, b.slots()},
                               b.leaving() || view.leaving);
        kernel::set_backend_draining(c.owner.cell.backends, b.id(),
                                     is_drained(c.owner, b.id()));
    }
    for (const auto& id : view.backends) {
        if (reported.contains(id))
            continue;
        kernel::set_backend_unresponsive(c.owner.cell.backends, id, true);
        note(c, "backend_left", id, "agent " + view.name);
    }
    view.backends = std::move(reported);
}

} // namespace

void apply_heartbeat(const owner_context& c, agent_view& view,
                     const wire::Heartbeat& heartbeat) {
    record_heartbeat_gap(c, view, heartbeat);
    const bool restarted =
        view.incarnation != 0 && view.incarnation != heartbeat.incarnation();
    if (restarted)
        on_agent_lost(c, view.name, "the agent was restarted");
    if (view.unresponsive) {
        note(c, "agent_heard", view.name);
        for (const auto& id : view.backends)
            kernel::set_backend_unresponsive(c.owner.cell.backends, id, false);
        ++c.owner.cell.capacity_version;
    }
    view.unresponsive = false;
    view.last_heartbeat_at = c.now;
    view.incarnation = heartbeat.incarnation();
    view.sequence = heartbeat.sequence();
    view.accepted_epoch = heartbeat.epoch();
    view.leaving = heartbeat.leaving();
    view.configuration_revision = heartbeat.configuration_revision();
    apply_worker_report(c, view, heartbeat.worker());
    apply_backend_reports(c, view, heartbeat);
}

namespace {

void acknowledge(const owner_context& c, const agent_view& view,
                 const wire::Heartbeat& heartbeat) {
    auto& ack = *send(c, view.name).mutable_heartbeat_ack();
    const auto& configuration = c.owner.configuration.current;
    ack.set_epoch(c.owner.epoch);
    ack.set_owner(c.owner.self);
    ack.set_sequence(heartbeat.sequence());
    ack.set_incarnation(heartbeat.incarnation());
    ack.set_configuration_revision(configuration.revision());
    if (heartbeat.configuration_revision() < configuration.revision())
        *ack.mutable_settings() = configuration.settings();
    for (const auto& member : heartbeat.members()) {
        auto it = c.owner.gangs.find(member.gang());
        const bool unresolved = c.owner.phase != owner_phase::active ||
                                c.owner.unresolved.contains(member.job());
        if (unresolved ||
            (it != c.owner.gangs.end() && is_renewable(it->second)))
            ack.add_renewed(member.gang());
    }
}

} // namespace

void announce_epoch(const owner_context& c) {
    for (const auto& [name, view] : c.owner.agents) {
        auto& ack = *send(c, name).mutable_heartbeat_ack();
        ack.set_epoch(c.owner.epoch);
        ack.set_owner(c.owner.self);
        ack.set_incarnation(view.incarnation);
    }
}

void on_heartbeat(const owner_context& c, const std::string& agent,
                  const wire::Heartbeat& heartbeat) {
    if (c.owner.phase == owner_phase::deposed)
        return;
    if (heartbeat.epoch() > c.owner.epoch)
        return step_down(c, agent + " has accepted a higher epoch");
    auto& view = c.owner.agents[agent];
    view.name = agent;
    const bool settled = c.owner.phase == owner_phase::active ||
                         c.owner.phase == owner_phase::leaving;
    if (!settled) {
        view.last_heartbeat_at = c.now;
        view.incarnation = heartbeat.incarnation();
        if (heartbeat.epoch() == c.owner.epoch)
            c.owner.reports[agent] = heartbeat;
        return acknowledge(c, view, heartbeat);
    }
    apply_heartbeat(c, view, heartbeat);
    if (heartbeat.epoch() == c.owner.epoch) {
        if (!c.owner.unresolved.empty())
            c.owner.reports[agent] = heartbeat;
        tick_unresolved(c);
        for (const auto& member : heartbeat.members())
            on_member_report(c, agent, member, false, "");
        for (const auto& run : heartbeat.runs())
            on_run_report(c, agent, run);
    }
    acknowledge(c, view, heartbeat);
    run_schedule(c);
    flush_pages(c);
}

void apply_draining(const owner_context& c) {
    for (const auto& [name, view] : c.owner.agents) {
        if (!view.worker.empty())
            kernel::set_worker_draining(c.owner.cell, view.worker,
                                        view.leaving ||
                                            is_drained(c.owner, view.worker));
        for (const auto& id : view.backends)
            kernel::set_backend_draining(c.owner.cell.backends, id,
                                         is_drained(c.owner, id));
    }
    ++c.owner.cell.capacity_version;
}

void tick_agents(const owner_context& c) {
    const auto limit = max_missed_heartbeats * heartbeat_period(c.owner);
    for (auto& [name, view] : c.owner.agents) {
        if (view.unresponsive || c.now < view.last_heartbeat_at + limit)
            continue;
        view.unresponsive = true;
        on_agent_lost(c, name, "no heartbeat");
        if (!view.worker.empty())
            kernel::set_worker_usable(c.owner.cell, view.worker, false);
        for (const auto& id : view.backends)
            kernel::set_backend_unresponsive(c.owner.cell.backends, id, true);
    }
}

} // namespace celerylift::protocol
