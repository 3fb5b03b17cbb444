#pragma once

#include <celerylift/time.hpp>

namespace celerylift::fleet {

/// How long an agent may keep its runs without a message from the owner.
/// Shorter than the longest lease that backend servers accept, longer than a
/// takeover.
inline constexpr duration grant_duration{5000};

/// The time by which all runs under a lease of this length from `from` have
/// certainly ended. Allows for server clocks that are 2% slow and for the time
/// that it takes to kill a task.
constexpr time_point latest_end_of_lease(time_point from, duration length) {
    constexpr int slow_clock_percent = 103;
    constexpr duration margin{300};
    return from + length * slow_clock_percent / 100 + margin;
}

} // namespace celerylift::fleet
