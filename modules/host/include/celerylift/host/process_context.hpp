#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/fleet/runtime.hpp>
#include <celerylift/net/async_http_server.hpp>
#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/http_client.hpp>

#include <memory>
#include <optional>
#include <string>

namespace celerylift::host {

/// The parts that all processes of the fleet share: event loop, clocks, timers,
/// journal, metrics and HTTP client.
class process_context {
public:
    explicit process_context(const std::string& name);

    /// Serves the metrics as text over HTTP.
    void serve_metrics(const base::address& at);

    net::control_loop loop;
    base::timer_service timers;
    base::journal journal;
    base::metrics metrics;
    net::http_client client;
    fleet::runtime run;

private:
    void wake_at(time_point at);

    std::optional<time_point> wakes_at_;
    std::unique_ptr<net::async_http_server> metrics_server_;
};

} // namespace celerylift::host
