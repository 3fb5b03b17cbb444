#include <celerylift/host/process_frame.hpp>

namespace celerylift::host {

namespace {

/// Fine enough for pauses of a tenth of a second; each tick costs a wake-up.
constexpr duration tick_period{20};

} // namespace

process_frame::process_frame(const std::string& name)
    : journal(name, &net::wall_now_ms, base::asynchronous_output()),
      client(loop), run{timers, &net::boottime_now, &net::wall_now_ms, journal,
                        metrics} {
    loop.every(tick_period, [this] { timers.advance(net::boottime_now()); });
}

void process_frame::serve_metrics(const base::address& at) {
    metrics_front_ = std::make_unique<net::http_front>(
        loop, at, net::front_limits{},
        [this](const net::served_request&, const net::responder& respond) {
            metrics.gauge("journal_lines",
                          static_cast<double>(journal.lines()));
            metrics.gauge("journal_lines_dropped",
                          static_cast<double>(base::dropped_output_lines()));
            respond({200, metrics.text(), {{"Content-Type", "text/plain"}}});
        });
}

} // namespace celerylift::host
