#pragma once

#include <fleet.pb.h>

#include <functional>
#include <string>

namespace celerylift::fleet {

/// A process's connections to entries, by the entry's address. What can't be
/// sent at once is dropped.
struct peer_links {
    std::function<void(const std::string& address)> connect;
    std::function<void(const std::string& address)> disconnect;
    std::function<void(const std::string& address, const FleetEnvelope&)> send;
};

} // namespace celerylift::fleet
