#pragma once

#include <celerylift/fleet/agent.hpp>
#include <celerylift/host/fleet_settings.hpp>
#include <celerylift/host/process_frame.hpp>
#include <celerylift/net/message_node.hpp>

#include <map>
#include <memory>
#include <string>

namespace celerylift::host {

/// An agent of the fleet: stands beside one backend server, takes its
/// heartbeats and carries out what the owner orders.
class fleet_agent {
public:
    explicit fleet_agent(const fleet_agent_settings& settings);

    int run();

private:
    /// The connection to one entry, by its address.
    struct link {
        base::address at;
        time_point connected_at{};
        time_point heard_at{};
        time_point greeted_at{};
        bool is_seed = false;
    };

    void connect(const base::address& at, bool is_seed);
    void take_message(const std::string& from, std::string_view bytes);
    void take_welcome(const fleet::Welcome& welcome);
    void send_report(const fleet::AgentReport& report);
    void greet(const std::string& address, link& to);
    void look_after_links();
    void serve_backend_server(const net::served_request& request,
                              const net::responder& respond);

    fleet_agent_settings settings_;
    process_frame frame_;
    net::message_node links_;
    std::map<std::string, link> known_;
    std::string owner_address_;
    std::int64_t owner_epoch_ = 0;
    time_point owner_heard_at_{};
    std::unique_ptr<fleet::backend_server> server_;
    fleet::agent agent_;
    std::unique_ptr<net::http_front> heartbeats_;
};

} // namespace celerylift::host
