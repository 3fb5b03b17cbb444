#pragma once

#include <celerylift/fleet/agent.hpp>
#include <celerylift/fleet/peer_links.hpp>

#include <map>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// All of an agent but its sockets: knows the entries, finds the owner among
/// them and carries out what it orders.
class agent_node {
public:
    agent_node(runtime& run, backend_server& server, std::string failure_domain,
               peer_links links);

    /// Begins with these entries; some may be gone.
    void start(const std::vector<std::string>& entries);

    void on_message(const std::string& address, const FleetEnvelope& envelope);

    agent& state() { return agent_; }

private:
    struct link {
        time_point connected_at{};
        time_point heard_at{};
        time_point greeted_at{};
        bool is_seed = false;
    };

    void connect(const std::string& address, bool is_seed);
    void greet(const std::string& address, link& to);
    void look_after_links();
    void take_welcome(const Welcome& welcome);
    void send_report(const AgentReport& report);

    runtime& run_;
    peer_links links_;
    std::map<std::string, link> known_;
    std::string owner_address_;
    std::int64_t owner_epoch_ = 0;
    time_point owner_heard_at_{};
    agent agent_;
};

} // namespace celerylift::fleet
