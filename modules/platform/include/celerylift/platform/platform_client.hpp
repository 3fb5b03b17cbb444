#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/protocol/platform_calls.hpp>

#include <optional>
#include <string>
#include <vector>

namespace celerylift::platform {

/// Each function makes one call over HTTP and blocks until it ends, so it has
/// to run on a thread of its own. See docs/PLATFORM.md for the protocol.
protocol::store_reply call_store(const base::address& store,
                                 const protocol::store_request& request);

/// Waits at most `wait` for changes after `revision` of keys with this prefix.
/// A negative revision asks for the current keys. Returns nothing if the store
/// cannot be reached.
struct watch_result {
    std::int64_t revision = 0;
    std::vector<protocol::watch_event> events;
};
std::optional<watch_result> watch_store(const base::address& store,
                                        const std::string& prefix,
                                        std::int64_t revision, duration wait);

protocol::worker_reply call_worker(const base::address& worker,
                                   const protocol::worker_request& request);

protocol::backend_reply call_backend(const base::address& backend,
                                     const protocol::backend_request& request);

} // namespace celerylift::platform
