#pragma once

#include <chrono>
#include <cstdint>

namespace celerylift {

/// Marks time points of a monotonic clock that never runs backwards. Pure
/// code is handed its time and reads no clock.
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
