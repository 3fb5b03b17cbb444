#pragma once

#include <celerylift/time.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// What has recently happened on the host of an agent, under any incarnation of
/// its backend server. For days on which some servers restart or fail again and
/// again: an urgent gang that loses one member there starts again as a whole,
/// and is mostly late.
struct server_history {
    std::vector<time_point> restarts;
    std::vector<time_point> early_failures;
    std::vector<time_point> stalls;
    bool draining = false;

    bool operator==(const server_history&) const = default;
};

/// The risk classes: nothing happened recently, one event, several events, and
/// a server that is about to leave.
inline constexpr int no_risk = 0;
inline constexpr int some_risk = 1;
inline constexpr int high_risk = 2;
inline constexpr int leaving_risk = 3;

/// The risk class of a server. Events count for 20 seconds.
int risk_class(const server_history& history, time_point now);

void record_restart(server_history& history, time_point now);
void record_early_failure(server_history& history, time_point now);
void record_stall(server_history& history, time_point now);

/// Withdraws the restarts since a time, which had a common cause.
void disregard_restarts(server_history& history, time_point since);

/// The latest restart of each server that has restarted a short time ago.
struct fleet_restarts {
    struct restart {
        std::string agent;
        time_point at{};

        bool operator==(const restart&) const = default;
    };
    std::vector<restart> recent; // In order of time.
    /// Restarts up to this time belong to a loss of power that is known.
    time_point common_until{};

    bool operator==(const fleet_restarts&) const = default;
};

/// Adds a restart. Returns since when the restarts have a common cause, such as
/// a loss of power, and tell nothing about one host; nothing if they have none.
std::optional<time_point> add_restart(fleet_restarts& restarts,
                                      const std::string& agent,
                                      std::size_t servers, time_point now);

} // namespace celerylift::fleet
