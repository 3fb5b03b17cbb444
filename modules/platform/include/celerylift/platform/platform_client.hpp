#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/protocol/platform_calls.hpp>

#include <optional>
#include <string>
#include <vector>

namespace celerylift::platform {

/// Each function makes one call over HTTP and waits for its end; see
/// docs/PLATFORM.md for the protocol. They run on threads of their own.
protocol::store_reply call_store(const base::address& store,
                                 const protocol::store_request& request);

/// Waits for changes of keys with that prefix after `revision`, for at most
/// `wait`. A negative revision asks for the keys as they are. Returns nothing
/// where the store can't be reached.
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
