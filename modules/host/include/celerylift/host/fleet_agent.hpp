#pragma once

#include <celerylift/fleet/agent_node.hpp>
#include <celerylift/host/fleet_settings.hpp>
#include <celerylift/host/process_context.hpp>
#include <celerylift/net/message_node.hpp>

#include <memory>
#include <string>

namespace celerylift::host {

/// The process of an agent: its sockets, signals and shutdown.
class fleet_agent {
public:
    explicit fleet_agent(const fleet_agent_settings& settings);

    /// Runs until the process is told to terminate. Returns its exit code.
    int run();

private:
    void handle_message(const std::string& from, std::string_view bytes);
    void serve_heartbeat_port(const net::served_request& request,
                              const net::responder& respond);

    fleet_agent_settings settings_;
    process_context context_;
    net::message_node links_;
    std::unique_ptr<fleet::backend_server> server_;
    fleet::agent_node node_;
    std::unique_ptr<net::async_http_server> heartbeats_;
};

} // namespace celerylift::host
