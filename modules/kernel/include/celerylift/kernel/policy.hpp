#pragma once

#include <celerylift/kernel/placement.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::kernel {

/// A scheduling policy: how waiting jobs are ordered and where gangs go.
struct policy {
    std::string name;

    /// Smaller keys are placed first. `arrived` and the estimated run time
    /// are in milliseconds.
    std::int64_t (*order_key)(const cell_state& cell, const job& job,
                              time_point arrived, duration estimate);

    /// Picks accelerators that are free now.
    std::optional<placement> (*place)(const cell_state& cell,
                                      const placement_request& request);

    /// Whether room is kept for a large gang that can't be placed yet.
    bool reserves = false;
};

/// Registers a policy under its name while the program starts.
struct policy_registration {
    explicit policy_registration(const policy& p);
};

/// The registered policy of that name, or null.
const policy* find_policy(const std::string& name);

std::vector<std::string> policy_names();

} // namespace celerylift::kernel
