#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/error.hpp>
#include <celerylift/kernel/types.hpp>

#include <map>
#include <optional>
#include <string>

namespace celerylift::agent {

/// The settings file of an agent. An agent without a worker serves only
/// backend servers.
struct agent_config {
    std::string name;
    base::address http;
    std::map<std::string, base::address> entries;
    kernel::worker worker;
    std::optional<base::address> worker_address;

    bool operator==(const agent_config&) const = default;
};

/// Reads and validates the whole file. The error message is one line.
result<agent_config> read_agent_config(const std::string& file);

} // namespace celerylift::agent
