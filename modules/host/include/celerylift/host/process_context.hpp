#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/fleet/runtime.hpp>
#include <celerylift/net/async_http_server.hpp>
#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/http_client.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace celerylift::host {

/// The parts that all processes of the fleet share: event loop, clocks, timers,
/// journal, metrics and HTTP client.
class process_context {
public:
    process_context(const std::string& name, const net::client_limits& limits);

    /// Serves the metrics as text over HTTP.
    void serve_metrics(const base::address& at);

    net::control_loop loop;
    base::timer_service timers;
    base::journal journal;
    base::metrics metrics;
    net::http_client client;
    fleet::runtime run;
    /// Shared by all HTTP servers of the process.
    std::shared_ptr<net::client_budget> clients;

private:
    void wake_at(time_point at);
    void check_clients(time_point now);

    std::optional<time_point> wakes_at_;
    time_point next_client_check_{};
    time_point next_refusal_event_{};
    std::array<std::uint64_t, net::refusal_kinds> counted_{};
    std::uint64_t logged_refusals_ = 0;
    std::unique_ptr<net::async_http_server> metrics_server_;
};

} // namespace celerylift::host
