#include <celerylift/base/event_log.hpp>

#include <algorithm>

namespace celerylift::base {

void record(event_log& log, std::int64_t wall_ms, std::string kind,
            std::string subject, std::string detail) {
    if (log.events.size() >= log.capacity) {
        log.events.pop_front();
        ++log.dropped;
    }
    log.events.push_back({log.process, ++log.clock, wall_ms, std::move(kind),
                          std::move(subject), std::move(detail)});
}

void observe_clock(event_log& log, std::int64_t clock) {
    log.clock = std::max(log.clock, clock) + 1;
}

std::vector<event> recent(const event_log& log, const std::string& subject,
                          std::size_t limit) {
    std::vector<event> found;
    for (auto it = log.events.rbegin();
         it != log.events.rend() && found.size() < limit; ++it) {
        if (subject.empty() || it->subject == subject)
            found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

} // namespace celerylift::base
