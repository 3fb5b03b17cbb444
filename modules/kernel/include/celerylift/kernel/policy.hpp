#pragma once

#include <celerylift/kernel/placement.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::kernel {

/// A scheduling policy: the order of waiting jobs and the placement of gangs.
struct policy {
    std::string name;

    /// Jobs with smaller keys are placed first. The key is in milliseconds.
    std::int64_t (*order_key)(const cell_state& cell, const job& job,
                              time_point arrived, duration estimate);

    /// Picks accelerators that are free now. Returns nothing if the gang does
    /// not fit.
    std::optional<placement> (*place)(const cell_state& cell,
                                      const placement_request& request);

    /// Whether workers are reserved for a large gang that cannot be placed yet.
    bool reserves = false;
};

/// Registers a policy under its name during static initialization.
struct policy_registration {
    explicit policy_registration(const policy& p);
};

/// Returns the registered policy of that name, or null.
const policy* find_policy(const std::string& name);

std::vector<std::string> policy_names();

} // namespace celerylift::kernel
