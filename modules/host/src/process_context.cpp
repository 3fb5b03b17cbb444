#include <celerylift/host/process_context.hpp>

#include <algorithm>

namespace celerylift::host {

namespace {

/// Checks for signals, and for timers that became due while the host was
/// suspended. Otherwise timers wake the process when they are due.
constexpr duration tick_period{50};
constexpr duration min_wait{1};

} // namespace

process_context::process_context(const std::string& name)
    : journal(name, &net::wall_now_ms, base::asynchronous_output()),
      client(loop), run{timers, &net::boottime_now, &net::wall_now_ms, journal,
                        metrics} {
    loop.every(tick_period, [this] { timers.advance(net::boottime_now()); });
    timers.on_earlier_timer([this](time_point at) { wake_at(at); });
}

void process_context::wake_at(time_point at) {
    if (wakes_at_ && *wakes_at_ <= at)
        return;
    wakes_at_ = at;
    const auto wait = std::max(at - net::boottime_now(), min_wait);
    loop.set_alarm(wait, [this] {
        wakes_at_.reset();
        timers.advance(net::boottime_now());
        if (const auto next = timers.next())
            wake_at(*next);
    });
}

void process_context::serve_metrics(const base::address& at) {
    metrics_server_ = std::make_unique<net::async_http_server>(
        loop, at, net::http_server_limits{},
        [this](const net::served_request&, const net::responder& respond) {
            metrics.gauge("journal_lines",
                          static_cast<double>(journal.lines()));
            metrics.gauge("journal_lines_dropped",
                          static_cast<double>(base::dropped_output_lines()));
            respond({200, metrics.text(), {{"Content-Type", "text/plain"}}});
        });
}

} // namespace celerylift::host
