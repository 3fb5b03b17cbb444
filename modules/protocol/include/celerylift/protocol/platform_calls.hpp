#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace celerylift::protocol {

/// Operations of the platform's key-value service.
enum class store_op {
    get,
    put,
    remove,
    grant_lease,
    renew_lease,
    revoke_lease
};

/// The expected revision of a key that does not exist yet.
constexpr std::int64_t no_revision = 0;

/// One call to the store. A put or remove takes effect only if the key is at
/// `expected_revision`. `lease` attaches the put key to a lease.
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

/// After `unavailable` it is unknown whether a write has taken effect.
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

/// One call to the agent's worker. A task is named after its gang.
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

/// After `unreachable` it is unknown whether the call has taken effect.
enum class worker_status { ok, refused, unreachable };

struct worker_reply {
    std::uint64_t id = 0;
    worker_status status = worker_status::unreachable;
    std::string detail;
    std::vector<task_report> tasks;

    bool operator==(const worker_reply&) const = default;
};

/// One request for a backend server of the agent.
struct backend_request {
    std::uint64_t id = 0;
    std::string backend;
    std::string job;
    std::uint64_t attempt = 0;
    std::string payload;

    bool operator==(const backend_request&) const = default;
};

/// `not_started` guarantees that the backend server has not received the
/// request. `lost` means that this is unknown.
enum class backend_status { done, failed, not_started, lost };

struct backend_reply {
    std::uint64_t id = 0;
    backend_status status = backend_status::lost;
    std::string answer;

    bool operator==(const backend_reply&) const = default;
};

} // namespace celerylift::protocol
