#include <celerylift/fleet/server_risk.hpp>

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// About the run time of an urgent gang, several times over. A host that has
/// been quiet for so long is as likely as any other to outlast one.
constexpr duration risky_time{20'000};

/// More events than these do not raise the class further.
constexpr std::size_t max_events = 4;

/// Servers that lose power together start again within this time.
constexpr duration common_restart_time{2000};

/// Restarts of more servers than one in this many have a common cause.
constexpr std::size_t servers_per_common_restart = 4;
constexpr std::size_t min_common_restarts = 2;

void record(std::vector<time_point>& events, time_point now) {
    if (events.size() == max_events)
        events.erase(events.begin());
    events.push_back(now);
}

std::ptrdiff_t count_recent(const std::vector<time_point>& events,
                            time_point now) {
    return std::ranges::count_if(
        events, [&](time_point at) { return now < at + risky_time; });
}

} // namespace

int risk_class(const server_history& history, time_point now) {
    if (history.draining)
        return leaving_risk;
    const auto events = count_recent(history.restarts, now) +
                        count_recent(history.early_failures, now) +
                        count_recent(history.stalls, now);
    return events == 0 ? no_risk : events == 1 ? some_risk : high_risk;
}

void record_restart(server_history& history, time_point now) {
    record(history.restarts, now);
}

void record_early_failure(server_history& history, time_point now) {
    record(history.early_failures, now);
}

void record_stall(server_history& history, time_point now) {
    record(history.stalls, now);
}

void disregard_restarts(server_history& history, time_point since) {
    std::erase_if(history.restarts, [&](time_point at) { return at >= since; });
}

std::optional<time_point> add_restart(fleet_restarts& restarts,
                                      const std::string& agent,
                                      std::size_t servers, time_point now) {
    auto& recent = restarts.recent;
    std::erase_if(recent, [&](const fleet_restarts::restart& restart) {
        return restart.agent == agent || restart.at + common_restart_time < now;
    });
    recent.push_back({agent, now});
    if (recent.size() >= min_common_restarts &&
        recent.size() * servers_per_common_restart > servers)
        restarts.common_until = now + common_restart_time;
    if (now > restarts.common_until)
        return std::nullopt;
    return recent.front().at;
}

} // namespace celerylift::fleet
