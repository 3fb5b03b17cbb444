#pragma once

#include <celerylift/time.hpp>

#include <optional>

namespace celerylift::fleet {

/// What an entry knows about an outage of the store: since when no call has got
/// through, neither over its own connection nor through another entry.
struct store_outage {
    std::optional<time_point> began_at;

    bool operator==(const store_outage&) const = default;
};

/// What to do with a write on behalf of a caller.
///   send    the store answers, or that is not known to be otherwise
///   hold    the store is away; the write is sent once it answers again
///   reject  the caller's time is over
enum class write_decision { send, hold, reject };

/// Decides on a write for a caller who waits until `answer_by`. During an
/// outage no write is started, because its outcome would be unknown and could
/// not be told apart from a refusal: callers may not repeat such a request.
/// They are held, since the store may return before their time is over and most
/// cannot return after it.
write_decision decide_write(const store_outage& outage, time_point now,
                            time_point answer_by);

inline constexpr duration min_retry_after{1000};
inline constexpr duration max_retry_after{8000};

/// When a rejected caller should return: after half of the time that the outage
/// has lasted so far, within the bounds above. `spread`, from 0 to 1, is drawn
/// for each caller and adds up to half of that time, so that callers do not
/// return all at once.
duration retry_after(const store_outage& outage, time_point now, double spread);

} // namespace celerylift::fleet
