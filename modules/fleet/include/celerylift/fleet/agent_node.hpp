#pragma once

#include <celerylift/fleet/agent.hpp>
#include <celerylift/fleet/peer_links.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// An agent without its sockets. Keeps links to a few entries, finds the owner
/// through them and executes its orders.
class agent_node {
public:
    /// `name` is hashed to spread the agents of a failure domain over its
    /// entries.
    agent_node(runtime& run, backend_server& server, std::string name,
               std::string failure_domain, peer_links links);

    /// Starts with these seed entries, of which some may no longer exist.
    void start(const std::vector<std::string>& entries);

    void on_message(const std::string& address, const FleetEnvelope& envelope);

    agent& state() { return agent_; }

private:
    struct link_state {
        time_point connected_at{};
        time_point last_message_at{};
        time_point last_hello_at{};
    };

    void connect(const std::string& address);
    void send_hello(const std::string& address, link_state& peer);
    void maintain_links();
    void add_fallback_links();
    std::set<std::string> wanted_links() const;
    void update_links();
    void repeat_first_report();
    void handle_welcome(const Welcome& welcome);
    void send_report(const AgentReport& report);

    runtime& run_;
    peer_links links_;
    std::string name_;
    std::vector<std::string> seeds_;
    std::vector<EntryRecord> entries_; // From the last Welcome.
    std::uint64_t entries_version_ = 0;
    std::map<std::string, link_state> link_states_;
    /// Additional links inside and outside the failure domain each, while the
    /// owner is unresponsive.
    std::size_t fallback_links_ = 0;
    time_point fallback_added_at_{};
    std::string owner_address_;
    std::int64_t owner_epoch_ = 0;
    time_point last_owner_message_at_{};
    time_point owner_named_at_{};
    agent agent_;
};

} // namespace celerylift::fleet
