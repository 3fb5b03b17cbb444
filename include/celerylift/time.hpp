#pragma once

#include <chrono>
#include <cstdint>

namespace celerylift {

/// Tag type for time points of a monotonic clock. It has no now(): code that
/// must be deterministic gets the current time as an argument.
struct monotonic_clock {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using duration = std::chrono::milliseconds;
using time_point = monotonic_clock::time_point;

} // namespace celerylift
