#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace celerylift::base {

/// One state change as shown in the timeline. `clock` is a Lamport timestamp:
/// an event that could have caused another one has the smaller value.
struct event {
    std::string process;
    std::int64_t clock = 0;
    std::int64_t wall_ms = 0;
    std::string kind;
    std::string subject;
    std::string detail;

    bool operator==(const event&) const = default;
};

/// The recent events of one process. A full log drops its oldest event.
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

/// Advances the Lamport clock past the timestamp of a received message.
void observe_clock(event_log& log, std::int64_t clock);

/// The latest `limit` events of a subject, oldest first. An empty subject
/// selects all events.
std::vector<event> recent(const event_log& log, const std::string& subject,
                          std::size_t limit);

} // namespace celerylift::base
