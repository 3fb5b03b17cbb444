#pragma once

#include <celerylift/fleet/backend_server.hpp>
#include <celerylift/fleet/runtime.hpp>

#include <fleet.pb.h>

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace celerylift::fleet {

struct run_key {
    std::string task;
    int run = 0;

    auto operator<=>(const run_key&) const = default;
};

/// The progress of a run, and since when it has stood there.
struct progress_mark {
    int percent = 0;
    std::int64_t since_ms = 0; // By the server's clock.
};

/// How far an order has come.
///   queued    not sent to the server yet
///   sent      without a reply so far
///   started   the server has confirmed it
///   doubtful  no reply: the next list of runs shows whether it was started
///   barring   being stopped, so that it can't begin any more
///   barred    stopped; the next list of runs shows whether it had begun
enum class order_phase { queued, sent, started, doubtful, barring, barred };

struct run_order {
    StartOrder order;
    order_phase phase = order_phase::queued;
    std::string reason; // Why it is being barred.
    time_point since{}; // Of the phase.
    time_point called_at{};
    bool call_open = false;
};

/// One side of the path between the owner and one backend server: carries out
/// orders, guards the server's capacity and fences late ones, keeps the
/// server's lease for as long as the owner grants, and reports.
struct agent {
    runtime& run;
    backend_server& calls;
    std::string failure_domain;
    /// Sends to the process that this agent takes for the owner.
    std::function<void(const AgentReport&)> report;

    server_heartbeat last_heartbeat{};
    time_point leaves_at{}; // At the soonest, while it drains and says so.
    std::string incarnation{};
    bool departed = false;
    bool stopping = false;

    std::int64_t epoch = 0;
    time_point granted_until{};
    std::int64_t noted_end = 0;
    bool orders_current = false; // The owner has spoken of this incarnation.

    /// The last look was answered by the life that the heartbeats told of. A
    /// server may start again under its id before its next heartbeat.
    bool life_confirmed = false;

    std::int64_t clock_ms = 0; // The server's, as of clock_at.
    time_point clock_at{};
    bool clock_known = false;
    /// Runs can't outlast this, unless the lease is extended again.
    time_point runs_end_by{};
    time_point answered_at{};

    std::vector<RunningTask> running{};
    std::vector<EndedTask> ended{};
    bool listed = false;
    std::int64_t listed_clock_ms = 0; // When the server made the lists.
    std::map<run_key, run_order> orders{};
    std::map<run_key, std::string> gone{};
    std::map<run_key, resources> needs{};
    std::map<run_key, progress_mark> progress{};

    bool long_hold_open = false;
    bool short_hold_open = false;
    bool look_again = false;
    time_point hold_again_at{};
    time_point reported_at{};
    std::uint64_t life = 0; // Rises with each incarnation that is followed.
};

/// A heartbeat of the server. Returns whether it was taken; late ones of an
/// earlier life are not.
bool on_heartbeat(agent& a, const server_heartbeat& heartbeat);

/// The server says that it has ended.
void on_departure(agent& a, const std::string& id);

void on_orders(agent& a, const OwnerOrders& orders);

/// Reports at once, for instance to a new owner.
void report_now(agent& a);

/// Called every few tens of milliseconds.
void on_tick(agent& a);

} // namespace celerylift::fleet
