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
struct last_progress {
    int percent = 0;
    std::int64_t changed_at_ms = 0; // By the server's clock.
};

/// How far an order has come.
///   queued    not sent to the server yet
///   sent      without a reply so far
///   started   the server has confirmed it
///   doubtful  no reply: the next list of runs shows whether it was started
///   barring   being stopped, so that it can't begin any more
///   barred    stopped; the next list of runs shows whether it had begun
enum class order_phase { queued, sent, started, uncertain, fencing, fenced };

struct run_order {
    StartOrder start;
    order_phase phase = order_phase::queued;
    std::string reason;       // Why it is being barred.
    time_point phase_since{}; // Of the phase.
    time_point last_call_at{};
    bool call_open = false;
};

/// One side of the path between the owner and one backend server: carries out
/// orders, guards the server's capacity and fences late ones, keeps the
/// server's lease for as long as the owner grants, and reports.
struct agent {
    runtime& run;
    backend_server& backend;
    std::string failure_domain;
    /// Sends to the process that this agent takes for the owner.
    std::function<void(const AgentReport&)> report;

    server_heartbeat last_heartbeat{};
    time_point
        earliest_shutdown_at{}; // At the soonest, while it drains and says so.
    std::string incarnation{};
    bool departed = false;
    bool stopping = false;

    std::int64_t epoch = 0;
    time_point granted_until{};
    std::int64_t acknowledged_up_to = 0;
    bool has_orders = false; // The owner has spoken of this incarnation.

    /// The last look was answered by the life that the heartbeats told of. A
    /// server may start again under its id before its next heartbeat.
    bool incarnation_confirmed = false;

    std::int64_t clock_ms = 0; // The server's, as of clock_at.
    time_point clock_read_at{};
    bool clock_known = false;
    /// Runs can't outlast this, unless the lease is extended again.
    time_point run_lease_expires_by{};
    time_point last_reply_at{};

    std::vector<RunningTask> running{};
    std::vector<EndedTask> ended{};
    bool has_run_list = false;
    std::int64_t run_list_clock_ms = 0; // When the server made the lists.
    std::map<run_key, run_order> orders{};
    std::map<run_key, std::string> gone{};
    std::map<run_key, resources> run_resources{};
    std::map<run_key, last_progress> progress{};

    bool long_poll_open = false;
    bool short_poll_open = false;
    bool poll_requested = false;
    time_point next_long_poll_at{};
    time_point last_report_at{};
    std::uint64_t incarnation_number =
        0; // Rises with each incarnation that is followed.
};

/// A heartbeat of the server. Returns whether it was taken; late ones of an
/// earlier life are not.
bool on_heartbeat(agent& self, const server_heartbeat& heartbeat);

/// The server says that it has ended.
void on_departure(agent& self, const std::string& id);

void on_orders(agent& self, const OwnerOrders& orders);

/// Reports at once, for instance to a new owner.
void report_now(agent& self);

/// Called every few tens of milliseconds.
void on_tick(agent& self);

} // namespace celerylift::fleet
