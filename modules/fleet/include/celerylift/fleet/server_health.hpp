#pragma once

#include <celerylift/time.hpp>

namespace celerylift::fleet {

/// What the owner holds of a server's soundness, from the ends of its runs.
/// A server on which runs fail as soon as they begin is always free, and would
/// be given all that waits: it is left out for a growing while, and then has to
/// show itself with one task.
struct soundness {
    int failures_in_row = 0;
    int exclusions = 0;  // In a row.
    int slow_in_row = 0; // Times that it was found slow again.
    time_point excluded_until{};
    bool on_probation = false;
    time_point proven_at{};
    /// Used only where no other has room until then.
    time_point distrusted_until{};

    bool operator==(const soundness&) const = default;
};

/// A run has failed there, `ran` after it was seen to begin.
void note_failure(soundness& s, time_point now, duration ran);

/// A task has stood still there.
void note_standstill(soundness& s, time_point now);

/// A run was done there.
void note_done(soundness& s, time_point now);

/// A run there has made progress for longer than bad servers let runs live.
void note_long_run(soundness& s, time_point now);

/// A task there has taken far longer than on other servers.
void note_slowness(soundness& s, time_point now);

/// Whether a run has lived for long enough to show that its server is sound.
bool shows_soundness(duration ran);

bool is_excluded(const soundness& s, time_point now);
bool is_distrusted(const soundness& s, time_point now);

/// Whether a run has shown of late that the server is sound.
bool is_proven(const soundness& s, time_point now);

} // namespace celerylift::fleet
