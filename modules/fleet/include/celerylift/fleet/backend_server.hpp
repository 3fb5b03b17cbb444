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

/// What a backend server says of itself in a heartbeat.
struct server_heartbeat {
    std::string id;
    std::int64_t started_unix_ms = 0; // Tells the lives of one id apart.
    std::int64_t sequence = 0;
    std::string address;
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    /// While it drains: for how long at least it goes on serving; 0 where it
    /// doesn't say.
    duration remaining{0};
};

/// How a call to a backend server ended. `refused` means that it did nothing;
/// `unknown` that it may have acted, or may still act seconds from now.
enum class server_status { ok, refused, other_incarnation, unknown };

struct start_call {
    std::string task;
    int run = 0;
    std::string payload;
    std::string checkpoint;
    std::int64_t deadline_ms = 0; // On the server's clock.
    std::int64_t fencing_token = 0;
};

struct stop_call {
    std::string task;
    int run = 0;
    std::int64_t fencing_token = 0;
};

/// Looks at all runs, extends their common lease and acknowledges ends.
struct poll_call {
    std::optional<std::int64_t> deadline_ms; // On the server's clock.
    std::int64_t fencing_token = 0;
    std::int64_t acknowledged_up_to = 0;
    duration wait{0}; // For an end, at most two seconds.
};

struct server_reply {
    server_status status = server_status::unknown;
    std::optional<std::int64_t> clock_ms;
    std::string reason; // Of a refusal.
};

struct poll_reply {
    server_status status = server_status::unknown;
    std::optional<std::int64_t> clock_ms;
    std::int64_t started_unix_ms = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/// The backend server beside an agent. Calls name the id that they are meant
/// for; each ends with exactly one reply.
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
