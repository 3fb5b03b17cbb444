#pragma once

#include <celerylift/fleet/entry_node.hpp>
#include <celerylift/host/fleet_settings.hpp>
#include <celerylift/host/process_context.hpp>
#include <celerylift/net/message_node.hpp>

#include <memory>
#include <string>

namespace celerylift::host {

/// The process of an entry: its sockets, signals and shutdown.
class fleet_entry {
public:
    explicit fleet_entry(const fleet_entry_settings& settings);

    /// Runs until the process is told to terminate. Returns its exit code.
    int run();

private:
    void handle_message(const std::string& from, std::string_view bytes);
    void serve_readiness(const net::served_request& request,
                         const net::responder& respond);
    void stop();
    void end_when_idle();

    fleet_entry_settings settings_;
    process_context context_;
    net::message_node links_;
    std::unique_ptr<fleet::store> store_;
    fleet::entry_node node_;
    std::unique_ptr<net::async_http_server> callers_;
    std::unique_ptr<net::async_http_server> readiness_;
    bool stopping_ = false;
    time_point end_at_{};
};

} // namespace celerylift::host
