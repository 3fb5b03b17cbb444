#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace celerylift::protocol {

/// What can be asked of the platform's key-value service.
enum class store_op {
    get,
    put,
    remove,
    grant_lease,
    renew_lease,
    revoke_lease
};

/// The revision to expect of a key that does not exist yet.
constexpr std::int64_t no_revision = 0;

/// One call to the store. A put or remove takes effect only where the key has
/// `expected_revision`. `lease` binds a put key to a lease.
struct store_request {
    std::uint64_t id = 0;
    store_op op = store_op::get;
    std::string key;
    std::string value;
    std::int64_t expected_revision = no_revision;
    std::int64_t lease = 0;
    duration ttl{0};

    bool operator==(const store_request&) const = default;
};

/// `unavailable` leaves open whether a write has taken effect.
enum class store_status { ok, conflict, not_found, unavailable };

struct store_reply {
    std::uint64_t id = 0;
    store_status status = store_status::unavailable;
    std::string value;
    std::int64_t revision = 0;
    std::int64_t lease = 0;

    bool operator==(const store_reply&) const = default;
};

/// A change of a watched key. A removed key has no value.
struct watch_event {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool removed = false;

    bool operator==(const watch_event&) const = default;
};

enum class worker_op { start, renew, checkpoint, throttle, stop, list };

/// One call to the worker beside the agent. Tasks are named by their gang.
struct worker_request {
    std::uint64_t id = 0;
    worker_op op = worker_op::list;
    std::string task;
    int accelerators = 0;
    duration lease{0};
    std::string payload;

    bool operator==(const worker_request&) const = default;
};

enum class task_state { running, succeeded, failed, stopped };

struct task_report {
    std::string task;
    task_state state = task_state::running;

    bool operator==(const task_report&) const = default;
};

/// `unreachable` leaves open whether the call has taken effect.
enum class worker_status { ok, refused, unreachable };

struct worker_reply {
    std::uint64_t id = 0;
    worker_status status = worker_status::unreachable;
    std::string detail;
    std::vector<task_report> tasks;

    bool operator==(const worker_reply&) const = default;
};

/// One request for the backend server beside the agent.
struct backend_request {
    std::uint64_t id = 0;
    std::string backend;
    std::string job;
    std::uint64_t attempt = 0;
    std::string payload;

    bool operator==(const backend_request&) const = default;
};

/// `not_started` is said only where the backend server can't have seen the
/// request; `lost` where that can't be known.
enum class backend_status { done, failed, not_started, lost };

struct backend_reply {
    std::uint64_t id = 0;
    backend_status status = backend_status::lost;
    std::string answer;

    bool operator==(const backend_reply&) const = default;
};

} // namespace celerylift::protocol
