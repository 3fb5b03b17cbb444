#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace celerylift::base {

/// Calls its subscribers when their time has come. It reads no clock: a
/// reactor's timer or a test advances it.
class timer_service {
public:
    using callback = std::function<void(time_point now)>;
    using subscription = std::uint64_t;

    /// Calls `call` every `period`, for the first time one period from `now`.
    subscription every(time_point now, duration period, callback call);

    /// Calls `call` once at `at`.
    subscription once(time_point at, callback call);

    void cancel(subscription id);

    /// Calls everyone whose time has come, in order of time.
    void advance(time_point now);

    /// Calls `notify` whenever a call is asked for that is due before all
    /// others, so that whoever advances this service can do it in time.
    void on_earlier_timer(std::function<void(time_point)> notify);

    /// When the next call is due.
    std::optional<time_point> next() const;

private:
    struct entry {
        subscription id;
        duration period;
        callback call;
    };

    subscription add(time_point at, duration period, callback call);

    std::multimap<time_point, entry> timers_;
    std::function<void(time_point)> on_earlier_timer_;
    subscription last_id_ = 0;
};

} // namespace celerylift::base
