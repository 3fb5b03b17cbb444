#pragma once

#include <celerylift/fleet/resources.hpp>
#include <celerylift/time.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// The state that a backend server reports in a heartbeat.
struct server_heartbeat {
    std::string id;
    std::int64_t started_unix_ms = 0; // Identifies the incarnation of the id.
    std::int64_t sequence = 0;        // Increases within an incarnation.
    std::string address;
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    /// While draining: the minimum time for which the server keeps running
    /// tasks. 0 where the server does not report it.
    duration remaining{0};
    /// For how much longer the server is slow after its start.
    duration cold_left{0};
};

/// Outcome of a call to a backend server. `refused`: the call had no effect.
/// `unreachable`: it had none because nothing accepts connections at the
/// server's address. `other_incarnation`: it had none because the server does
/// not have the id that the call names. `unknown`: the call may have taken
/// effect, or may still do so seconds later.
enum class server_status {
    ok,
    refused,
    unreachable,
    other_incarnation,
    unknown
};

/// Starts a run of a task. `fencing_token` is the epoch of the owner that
/// ordered it; the server refuses calls with a lower one than it has seen.
struct start_call {
    std::string task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::int64_t deadline_ms = 0; // On the server's clock.
    std::int64_t fencing_token = 0;
};

/// Stops a run, and ensures that a run that has not begun never does.
struct stop_call {
    std::string task;
    int run = 0;
    std::int64_t fencing_token = 0;
};

/// Lists all runs, extends the lease that they share and acknowledges the ends
/// of earlier runs, so that the server need not list them again.
struct poll_call {
    /// End of the lease on the server's clock. Without it, the lease is not
    /// extended.
    std::optional<std::int64_t> deadline_ms;
    std::int64_t fencing_token = 0;
    std::int64_t acknowledged_up_to = 0; // Number of an ended run.
    /// How long the server waits for a run to end before it replies; at most
    /// two seconds.
    duration wait{0};
};

struct server_reply {
    server_status status = server_status::unknown;
    std::optional<std::int64_t> clock_ms;
    std::string reason; // Why the call did not succeed.
};

/// The runs of a server. `ended` holds the ends that are not acknowledged yet.
struct poll_reply {
    server_status status = server_status::unknown;
    std::optional<std::int64_t> clock_ms;
    std::int64_t started_unix_ms = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/// The backend server on the agent's host. Each call names the id of the server
/// that it is addressed to and gets exactly one reply.
class backend_server {
public:
    virtual ~backend_server() = default;

    virtual void start(const std::string& id, const start_call& call,
                       std::function<void(const server_reply&)> done) = 0;
    virtual void stop(const std::string& id, const stop_call& call,
                      std::function<void(const server_reply&)> done) = 0;
    virtual void poll_runs(const std::string& id, const poll_call& call,
                           std::function<void(const poll_reply&)> done) = 0;
};

} // namespace celerylift::fleet
