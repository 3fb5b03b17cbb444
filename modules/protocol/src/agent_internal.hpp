// Declarations shared by the agent's source files; internal to this folder.
#pragma once

#include <celerylift/protocol/agent.hpp>

#include <string>

namespace celerylift::protocol {

wire::Envelope& send(const agent_context& c, const std::string& to);
void note(const agent_context& c, std::string kind, std::string subject,
          std::string detail = {});
duration heartbeat_period(const agent_state& agent);

/// Records that this gang or attempt has ended, so that repeated commands
/// for it are ignored.
void retire(const agent_context& c, std::uint64_t gang);

// ---- Members of gangs ----

void on_reserve(const agent_context& c, const std::string& from,
                const wire::Reserve& reserve);
void on_start(const agent_context& c, const std::string& from,
              const wire::Start& start);
void on_release(const agent_context& c, const std::string& from,
                const wire::Release& release);
void renew_members(const agent_context& c, const wire::HeartbeatAck& ack,
                   time_point sent);
void tick_members(const agent_context& c);

// ---- Requests to backend servers ----

void on_run(const agent_context& c, const std::string& from,
            const wire::Run& run);
void tick_backends(const agent_context& c);

} // namespace celerylift::protocol
