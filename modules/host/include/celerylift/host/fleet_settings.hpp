#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/error.hpp>
#include <celerylift/fleet/accepted_limits.hpp>
#include <celerylift/fleet/scheduling_policy.hpp>
#include <celerylift/net/request_budget.hpp>

#include <string>
#include <vector>

namespace celerylift::host {

/// Settings of an entry of the fleet.
struct fleet_entry_settings {
    std::string name;
    std::string failure_domain;
    base::address callers;   // Where callers connect.
    base::address readiness; // Where the platform checks whether it is ready.
    base::address link;      // Where agents connect.
    base::address metrics;
    base::address store;
    /// What this process may use. The entry with the highest leader capacity
    /// leads.
    double processor_share = 1.0; // Of a core.
    double link_mbps = 1000.0;
    net::client_limits clients =
        net::derive_client_limits(fleet::default_entry_memory_mb, 4100);
    fleet::accepted_limits accepted =
        fleet::derive_accepted_limits(fleet::default_entry_memory_mb);
    /// Entries to connect to first. Some may no longer exist; one is this
    /// entry.
    std::vector<base::address> entries;
    fleet::scheduling_policy policy; // Everything is on by default.
    /// Within this time after the operators' request, no task starts in a
    /// failure domain any more. 0: there are no such requests.
    duration evacuation_bound{0};

    bool operator==(const fleet_entry_settings&) const = default;
};

/// Settings of an agent of the fleet.
struct fleet_agent_settings {
    std::string name;
    std::string failure_domain;
    base::address heartbeats; // Where the backend server sends heartbeats.
    base::address backend_server;
    base::address metrics;
    net::client_limits clients = net::derive_client_limits(128, 4096);
    /// Entries to connect to first. Some may no longer exist.
    std::vector<base::address> entries;

    bool operator==(const fleet_agent_settings&) const = default;
};

result<fleet_entry_settings> read_fleet_entry_settings(const std::string& file);
result<fleet_agent_settings> read_fleet_agent_settings(const std::string& file);

/// The settings file: `path`, or if that is empty CELERYLIFT_SETTINGS.
std::string settings_file(const std::string& path);

} // namespace celerylift::host
