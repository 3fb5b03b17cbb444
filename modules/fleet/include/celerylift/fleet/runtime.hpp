#pragma once

#include <celerylift/base/journal.hpp>
#include <celerylift/base/metrics.hpp>
#include <celerylift/base/timer_service.hpp>
#include <celerylift/time.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace celerylift::fleet {

/// What every part of a process gets: its timers, its clocks and where it
/// reports. `now` also counts while the host is suspended; `unix_ms` may jump.
struct runtime {
    base::timer_service& timers;
    std::function<time_point()> now;
    std::function<std::int64_t()> unix_ms;
    base::journal& journal;
    base::metrics& metrics;
};

} // namespace celerylift::fleet
