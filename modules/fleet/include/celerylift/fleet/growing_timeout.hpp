#pragma once

#include <celerylift/time.hpp>

#include <algorithm>

namespace celerylift::fleet {

/// The timeout of work without a fixed size. It doubles each time the work has
/// not been done in time, so that a narrow link gets the time that it needs,
/// while a dead connection is noticed soon at first.
class growing_timeout {
public:
    constexpr growing_timeout(duration shortest, duration longest)
        : shortest_(shortest), longest_(longest), current_(shortest) {}

    duration value() const { return current_; }
    void grow() { current_ = std::min(current_ * 2, longest_); }
    void shrink() { current_ = std::max(current_ / 2, shortest_); }
    void reset() { current_ = shortest_; }

private:
    duration shortest_;
    duration longest_;
    duration current_;
};

} // namespace celerylift::fleet
