#include <celerylift/fleet/server_health.hpp>

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// A run that fails sooner than this indicates a faulty server. Jobs that fail
/// by their own fault do so at any point of their run.
constexpr duration early_failure_limit{300};

/// A run that has lasted this long shows that its server is healthy.
constexpr duration healthy_run_time{1000};

/// Later failures are mostly the fault of the job. Only several consecutive
/// ones degrade a server, and only more of them exclude it.
constexpr int failures_to_degrade = 2;
constexpr int failures_to_exclude = 3;

constexpr duration first_exclusion{2000};
constexpr int max_doublings = 3;

/// Long enough that a job's second attempt avoids the server, short enough
/// that the server is soon tried again.
constexpr duration degraded_time_after_failures{5000};
constexpr duration first_degraded_time_when_slow{3000};

/// How long a server counts as recently healthy after the run that showed it.
constexpr duration recently_healthy_time{20'000};

void exclude(server_health& health, time_point now) {
    health.excluded_until =
        now + first_exclusion *
                  (1 << std::min(health.consecutive_exclusions, max_doublings));
    ++health.consecutive_exclusions;
    health.on_probation = true;
    health.last_healthy_at = {};
}

} // namespace

void record_failure(server_health& health, time_point now, duration ran) {
    ++health.consecutive_failures;
    if (is_early_failure(ran) || health.on_probation ||
        health.consecutive_failures >= failures_to_exclude)
        return exclude(health, now);
    if (health.consecutive_failures >= failures_to_degrade)
        health.degraded_until =
            std::max(health.degraded_until, now + degraded_time_after_failures);
}

void record_stall(server_health& health, time_point now) {
    exclude(health, now);
}

void record_success(server_health& health, time_point now) {
    // A slow server completes runs as well, only late: success does not end the
    // time for which it is degraded.
    const bool still_slow =
        health.consecutive_slow_periods > 0 && is_degraded(health, now);
    const auto before = health;
    health = {};
    health.last_healthy_at = now;
    if (!still_slow)
        return;
    health.degraded_until = before.degraded_until;
    health.consecutive_slow_periods = before.consecutive_slow_periods;
}

void record_long_run(server_health& health, time_point now) {
    if (is_excluded(health, now))
        return; // The run started before the failures.
    const auto before = health;
    record_success(health, now);
    health.degraded_until = before.degraded_until;
    health.consecutive_slow_periods = before.consecutive_slow_periods;
}

void record_slow_run(server_health& health, time_point now) {
    if (!is_degraded(health, now))
        ++health.consecutive_slow_periods;
    const int doublings =
        std::clamp(health.consecutive_slow_periods - 1, 0, max_doublings);
    health.degraded_until =
        std::max(health.degraded_until,
                 now + first_degraded_time_when_slow * (1 << doublings));
}

bool is_early_failure(duration ran) {
    return ran < early_failure_limit;
}

bool run_proves_healthy(duration ran) {
    return ran >= healthy_run_time;
}

bool is_excluded(const server_health& health, time_point now) {
    return now < health.excluded_until;
}

bool is_degraded(const server_health& health, time_point now) {
    return now < health.degraded_until;
}

bool is_recently_healthy(const server_health& health, time_point now) {
    return health.last_healthy_at != time_point{} &&
           now < health.last_healthy_at + recently_healthy_time;
}

} // namespace celerylift::fleet
