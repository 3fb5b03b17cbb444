#include <celerylift/host/process_context.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace celerylift::host {

namespace {

/// Checks for signals, and for timers that became due while the host was
/// suspended. Otherwise timers wake the process when they are due.
constexpr duration tick_period{50};
constexpr duration min_wait{1};

constexpr duration client_check_period{1000};
constexpr duration refusal_event_period{10'000};

/// By net::refusal.
constexpr std::array<const char*, net::refusal_kinds> refusal_names = {
    "connections", "memory", "slow", "too_large", "busy"};

} // namespace

process_context::process_context(const std::string& name,
                                 const net::client_limits& limits)
    : journal(name, &net::wall_now_ms, base::asynchronous_output()),
      client(loop), run{timers, &net::boottime_now, &net::wall_now_ms, journal,
                        metrics},
      clients(std::make_shared<net::client_budget>(limits)) {
    loop.every(tick_period, [this] {
        const auto now = net::boottime_now();
        timers.advance(now);
        check_clients(now);
    });
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

void process_context::check_clients(time_point now) {
    if (now < next_client_check_)
        return;
    next_client_check_ = now + client_check_period;
    std::size_t connections = 0;
    const auto refused = clients->update([&](net::request_budget& budget) {
        close_overdue(budget, now);
        connections = open_connections(budget);
        return budget.refused;
    });
    for (std::size_t i = 0; i < refused.size(); ++i)
        if (refused[i] > counted_[i])
            metrics.count(fmt::format("clients_refused_total{{reason=\"{}\"}}",
                                      refusal_names[i]),
                          refused[i] - counted_[i]);
    counted_ = refused;
    const auto sum =
        std::accumulate(refused.begin(), refused.end(), std::uint64_t{0});
    if (sum == logged_refusals_ || now < next_refusal_event_)
        return;
    journal.event("clients_refused",
                  {{"count", static_cast<std::int64_t>(sum - logged_refusals_)},
                   {"connections", static_cast<std::int64_t>(connections)}});
    logged_refusals_ = sum;
    next_refusal_event_ = now + refusal_event_period;
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
        },
        clients);
}

} // namespace celerylift::host
