#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace celerylift::base {

/// Runs callbacks when they are due. It reads no clock: a reactor timer or a
/// test passes the time to advance().
class timer_service {
public:
    using callback = std::function<void(time_point now)>;
    using subscription = std::uint64_t;

    /// Runs `call` every `period`, first at `now` + `period`.
    subscription every(time_point now, duration period, callback call);

    /// Runs `call` once at `at`.
    subscription once(time_point at, callback call);

    void cancel(subscription id);

    /// Runs all callbacks that are due, ordered by due time.
    void advance(time_point now);

    /// Calls `notify` with the due time when a timer is added that is due
    /// before all others, so that the caller of advance() can wake up earlier.
    void on_earlier_timer(std::function<void(time_point)> notify);

    /// Due time of the next callback, if there is one.
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
