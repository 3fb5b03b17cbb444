#pragma once

#include <celerylift/fleet/backend_server.hpp>
#include <celerylift/fleet/domain_evacuation.hpp>
#include <celerylift/fleet/runtime.hpp>

#include <fleet.pb.h>

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// Identifies a run: the task and the number of the attempt.
struct run_key {
    std::string task;
    int run = 0;

    auto operator<=>(const run_key&) const = default;
};

/// The last reported progress of a run, and when it changed.
struct last_progress {
    int percent = 0;
    std::int64_t changed_at_ms = 0; // On the server's clock.
};

/// Phase of an order to start a run.
///   queued     not sent to the server yet
///   sent       sent, without a reply so far
///   started    confirmed by the server
///   uncertain  no reply; the next list of runs shows whether it was started
///   fencing    being stopped, so that the run can never begin
///   fenced     stopped; the next list of runs shows whether it had begun
enum class order_phase { queued, sent, started, uncertain, fencing, fenced };

struct run_order {
    StartOrder start;
    order_phase phase = order_phase::queued;
    std::string reason; // Why the run is fenced.
    time_point phase_since{};
    time_point last_call_at{};
    bool call_open = false;
    bool poll_requested = false; // Since the order was fenced.
    /// A start was sent that the server has not refused.
    bool may_have_begun = false;
};

/// Connects the owner with one backend server. It executes the owner's orders
/// within the server's capacity, fences starts whose outcome is unknown,
/// extends the lease of the server's runs for as long as the owner grants, and
/// reports the server's state.
struct agent {
    runtime& run;
    backend_server& backend;
    std::string failure_domain;
    /// Sends a report to the process that this agent regards as the owner.
    std::function<void(const AgentReport&)> report;

    time_point created_at = run.now();
    server_heartbeat last_heartbeat{};
    /// The server runs tasks at least until then. Valid while it drains and
    /// reports a remaining time.
    time_point earliest_shutdown_at{};
    /// Until then the server is slow after its start.
    time_point cold_until{};
    std::string incarnation{};
    bool departed = false;
    /// When the agent last took the server for departed. The owner gives up the
    /// server's runs, so orders that answer an earlier report count no more.
    time_point departed_at{};
    /// The server has announced its end. It counts as departed once nothing
    /// accepts connections at its address any more.
    bool has_announced_end = false;
    time_point end_announced_at{};
    /// A heartbeat has come long after the announcement. A poll that is sent
    /// after it and answered shows that the server goes on.
    std::optional<time_point> end_doubted_at{};
    bool stopping = false;

    /// A heartbeat of another incarnation than the one followed. It may be late
    /// or from another writer, so the agent follows that incarnation only once
    /// the server has answered for it.
    std::optional<server_heartbeat> announced{};
    bool identity_poll_open = false;
    time_point next_identity_poll_at{};

    /// Whether the failure domain is out of service, by the latest revision
    /// that any entry has reported.
    domain_evacuations evacuations{};

    std::int64_t epoch = 0; // Of the owner that the agent follows.
    time_point granted_until{};
    /// The owner has stored the ends of runs up to this number.
    std::int64_t acknowledged_up_to = 0;
    bool has_orders = false; // Orders for this incarnation have arrived.

    /// The last poll was answered by the incarnation of the last heartbeat. A
    /// server may restart under the same id before it sends its next heartbeat.
    bool incarnation_confirmed = false;

    std::int64_t clock_ms = 0; // The server's clock at clock_read_at.
    time_point clock_read_at{};
    bool clock_known = false;
    /// The server ends all runs by this time unless their lease is extended.
    time_point run_lease_expires_by{};
    time_point last_reply_at{};

    std::vector<RunningTask> running{};
    std::vector<EndedTask> ended{};
    /// The runs in these two lists.
    std::set<run_key> running_keys{};
    std::set<run_key> ended_keys{};
    bool has_run_list = false;
    /// When the server made the lists, on its own clock.
    std::int64_t run_list_clock_ms = 0;
    std::map<run_key, run_order> orders{};
    /// Runs that can never begin, and why.
    std::map<run_key, std::string> gone{};
    std::map<run_key, resources> run_resources{};
    std::map<run_key, last_progress> progress{};
    /// The owner's estimate of the server's speed, kept for the next owner.
    std::optional<SpeedEstimate> speed{};
    /// Crashes of earlier incarnations that the owner has not recorded yet.
    std::vector<ServerCrash> crashes{};

    bool long_poll_open = false;
    bool short_poll_open = false;
    bool poll_requested = false;
    time_point next_long_poll_at{};
    time_point last_report_at{};
    /// Counts the incarnations followed; replies to an earlier one are dropped.
    std::uint64_t incarnation_number = 0;
};

/// Handles a heartbeat of the server. Returns false for a late heartbeat of an
/// earlier incarnation, which is ignored. One of another incarnation takes
/// effect once the server has answered a poll for it.
bool on_heartbeat(agent& self, const server_heartbeat& heartbeat);

/// Handles the server's announcement that it ends. The announcement names no
/// incarnation and may be late, so the runs count as ended only once the server
/// cannot be reached. Until then nothing new is started.
void on_departure(agent& self, const std::string& id);

/// Handles orders of the owner; those of an earlier epoch are ignored.
void on_orders(agent& self, const OwnerOrders& orders);

/// Handles an entry's view of the failure domains out of service. While the
/// agent's own is, no start is sent to the server.
void on_evacuations(agent& self, const domain_evacuations& reported);

/// Sends a report at once, for instance to a new owner.
void report_now(agent& self);

/// Sends the calls and the report that are due. Called every few tens of
/// milliseconds.
void on_tick(agent& self);

} // namespace celerylift::fleet
