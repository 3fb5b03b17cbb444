#pragma once

#include <celerylift/fleet/agent.hpp>
#include <celerylift/fleet/peer_links.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// All of an agent but its sockets: keeps links to a few of the entries, finds
/// the owner through them and carries out what it orders.
class agent_node {
public:
    /// `name` spreads the agents of a failure domain over its entries.
    agent_node(runtime& run, backend_server& server, std::string name,
               std::string failure_domain, peer_links links);

    /// Begins with these entries; some may be gone.
    void start(const std::vector<std::string>& entries);

    void on_message(const std::string& address, const FleetEnvelope& envelope);

    agent& state() { return agent_; }

private:
    struct link {
        time_point connected_at{};
        time_point heard_at{};
        time_point greeted_at{};
    };

    void connect(const std::string& address);
    void greet(const std::string& address, link& to);
    void look_after_links();
    void widen_search();
    std::set<std::string> wanted_links() const;
    void choose_links();
    void find_owner();
    void take_welcome(const Welcome& welcome);
    void send_report(const AgentReport& report);

    runtime& run_;
    peer_links links_;
    std::string name_;
    std::vector<std::string> seeds_;
    std::vector<EntryRecord> entries_; // As the last welcome listed them.
    std::uint64_t entries_version_ = 0;
    std::map<std::string, link> linked_;
    std::size_t wider_ = 0; // Links beside the usual, while no owner is heard.
    time_point widened_at_{};
    std::string owner_address_;
    std::int64_t owner_epoch_ = 0;
    time_point owner_heard_at_{};
    time_point owner_named_at_{};
    agent agent_;
};

} // namespace celerylift::fleet
