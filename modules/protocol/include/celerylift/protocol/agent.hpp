#pragma once

#include <celerylift/base/event_log.hpp>
#include <celerylift/kernel/types.hpp>
#include <celerylift/protocol/outbox.hpp>

#include <wire.pb.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celerylift::protocol {

/// Settings of an agent. Where the worker has no id, the agent serves only
/// backend servers.
struct agent_settings {
    std::string name;
    std::vector<std::string> entries;
    kernel::worker worker;

    bool operator==(const agent_settings&) const = default;
};

/// The part of one gang that runs on this agent's worker.
struct agent_member {
    wire::MemberReport report;
    time_point lease_until{};
    std::string payload;
    std::uint64_t request = 0;   // Worker call in flight; 0 is none.
    time_point checkpoint_end{}; // Set while a checkpoint is written.
    bool stop_wanted = false;
};

/// One request for a backend server of this agent.
struct agent_run {
    wire::RunReport report;
    std::uint64_t request = 0;
};

struct announced_backend {
    std::string id;
    std::string service;
    int slots = 0;
    int used = 0;
    bool leaving = false;
    time_point announced_until{};
};

/// The link to one entry. An acknowledgement renews leases from the time at
/// which its heartbeat was sent, so a delayed acknowledgement extends them by
/// less.
struct entry_link {
    std::uint64_t sequence = 0;
    int unacknowledged = 0;
    time_point unresponsive_until{};
    bool has_acknowledged = false;
    std::deque<std::pair<std::uint64_t, time_point>> sent;
};

struct agent_state {
    agent_settings settings;
    std::uint64_t incarnation = 0;
    std::int64_t epoch = 0;
    std::string owner;
    std::map<std::string, entry_link> links;
    std::map<std::uint64_t, agent_member> members;
    std::map<std::pair<std::string, std::uint64_t>, agent_run> runs;
    std::map<std::uint64_t, time_point> retired; // Ended gangs and attempts.
    std::map<std::string, announced_backend> backends;
    std::int64_t configuration_revision = 0;
    celerylift::v1::Settings configuration;
    time_point started{};
    time_point next_heartbeat{};
    time_point next_poll{};
    time_point next_renewal{};
    std::uint64_t next_request = 1;
    std::uint64_t poll_request = 0;
    int worker_failures = 0;
    bool worker_has_replied = false;
    bool leaving = false;
};

struct agent_context {
    agent_state& agent;
    base::event_log& log;
    outbox& out;
    time_point now;
    std::int64_t wall_ms;
};

/// `incarnation` is never 0 and differs at each start of the process.
agent_state make_agent(const agent_settings& settings,
                       std::uint64_t incarnation, time_point now);

void on_message(const agent_context& c, const wire::Envelope& envelope);
void on_worker_reply(const agent_context& c, const worker_reply& reply);
void on_backend_reply(const agent_context& c, const backend_reply& reply);

/// Registers a backend server or renews its registration until
/// `announced_until`.
void on_announcement(const agent_context& c, const announced_backend& backend);
void on_backend_leaving(const agent_context& c, const std::string& id);
void on_tick(const agent_context& c);

/// Stops accepting new work.
void begin_leaving(const agent_context& c);

/// Whether all work has ended, so that the process may exit.
bool is_idle(const agent_state& agent);

} // namespace celerylift::protocol
