#pragma once

#include <celerylift/time.hpp>

namespace celerylift::fleet {

/// What the owner holds of a server's soundness, from the ends of its runs.
/// A server on which runs fail as soon as they begin is always free, and would
/// be given all that waits: it is left out for a growing while, and then has to
/// show itself with one task.
struct server_health {
    int consecutive_failures = 0;
    int consecutive_exclusions = 0;   // In a row.
    int consecutive_slow_periods = 0; // Times that it was found slow again.
    time_point excluded_until{};
    bool on_probation = false;
    time_point last_healthy_at{};
    /// Used only where no other has room until then.
    time_point degraded_until{};

    bool operator==(const server_health&) const = default;
};

/// A run has failed there, `ran` after it was seen to begin.
void record_failure(server_health& health, time_point now, duration ran);

/// A task has stood still there.
void record_stall(server_health& health, time_point now);

/// A run was done there.
void record_success(server_health& health, time_point now);

/// A run there has made progress for longer than bad servers let runs live.
void record_long_run(server_health& health, time_point now);

/// A task there has taken far longer than on other servers.
void record_slow_run(server_health& health, time_point now);

/// Whether a run has lived for long enough to show that its server is sound.
bool run_proves_healthy(duration ran);

bool is_excluded(const server_health& health, time_point now);
bool is_degraded(const server_health& health, time_point now);

/// Whether a run has shown of late that the server is sound.
bool is_recently_healthy(const server_health& health, time_point now);

} // namespace celerylift::fleet
