#pragma once

#include <celerylift/base/journal.hpp>
#include <celerylift/base/metrics.hpp>
#include <celerylift/base/timer_service.hpp>
#include <celerylift/time.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace celerylift::fleet {

/// Services that all components of a process share: timers, clocks, journal and
/// metrics. `now` is monotonic and includes the time for which the host is
/// suspended; `unix_ms` may jump.
struct runtime {
    base::timer_service& timers;
    std::function<time_point()> now;
    std::function<std::int64_t()> unix_ms;
    base::journal& journal;
    base::metrics& metrics;
};

} // namespace celerylift::fleet
