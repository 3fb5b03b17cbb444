#pragma once

#include <celerylift/time.hpp>

namespace celerylift::fleet {

/// The health of a backend server, derived from the ends of its runs. A server
/// on which runs fail as soon as they start is always free and would receive
/// all waiting work. It is excluded for a growing time, and is then on
/// probation with a single task.
struct server_health {
    int consecutive_failures = 0;
    int consecutive_exclusions = 0;
    /// Degraded periods due to slowness; reset once a run succeeds outside of
    /// one.
    int consecutive_slow_periods = 0;
    time_point excluded_until{};
    bool on_probation = false;
    time_point last_healthy_at{};
    /// Until then the server is used only if no other has free capacity.
    time_point degraded_until{};

    bool operator==(const server_health&) const = default;
};

/// Records that a run failed `ran` after it was first seen running.
void record_failure(server_health& health, time_point now, duration ran);

/// Records that a task stalled.
void record_stall(server_health& health, time_point now);

/// Records that a run succeeded.
void record_success(server_health& health, time_point now);

/// Records that a run has made progress for longer than runs last on a faulty
/// server.
void record_long_run(server_health& health, time_point now);

/// Records that a task took far longer than on other servers.
void record_slow_run(server_health& health, time_point now);

/// Whether a run that failed after `ran` indicates a faulty server.
bool is_early_failure(duration ran);

/// Whether a run that has lasted for `ran` shows that its server is healthy.
bool run_proves_healthy(duration ran);

/// Whether the server gets no new work.
bool is_excluded(const server_health& health, time_point now);

/// Whether the server is used only if no other has free capacity.
bool is_degraded(const server_health& health, time_point now);

/// Whether a run has recently shown that the server is healthy.
bool is_recently_healthy(const server_health& health, time_point now);

} // namespace celerylift::fleet
