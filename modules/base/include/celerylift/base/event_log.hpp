#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace celerylift::base {

/// One change of state, as it appears in the time line. `clock` is a Lamport
/// clock: an event that could have caused another has a smaller one.
struct event {
    std::string process;
    std::int64_t clock = 0;
    std::int64_t wall_ms = 0;
    std::string kind;
    std::string subject;
    std::string detail;

    bool operator==(const event&) const = default;
};

/// The recent events of one process. The oldest go first when it is full.
struct event_log {
    std::string process;
    std::size_t capacity = 20'000;
    std::int64_t clock = 0;
    std::deque<event> events;
    std::uint64_t dropped = 0;
};

/// Records an event and advances the clock.
void record(event_log& log, std::int64_t wall_ms, std::string kind,
            std::string subject, std::string detail = {});

/// Advances the clock past that of a message that has arrived.
void observe_clock(event_log& log, std::int64_t clock);

/// The latest events of a subject, or of all where it is empty, oldest first.
std::vector<event> recent(const event_log& log, const std::string& subject,
                          std::size_t limit);

} // namespace celerylift::base
