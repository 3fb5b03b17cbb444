#pragma once

#include <fleet.pb.h>

#include <functional>
#include <string>

namespace celerylift::fleet {

/// Connections of a process to entries, by the entry's address. A message that
/// cannot be sent at once is dropped.
struct peer_links {
    std::function<void(const std::string& address)> connect;
    std::function<void(const std::string& address)> disconnect;
    std::function<void(const std::string& address, const FleetEnvelope&)> send;
};

} // namespace celerylift::fleet
