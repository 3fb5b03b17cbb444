#include <celerylift/fleet/server_health.hpp>

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// A run that fails sooner than this shows a bad server; jobs that fail by
/// their own fault do so at any moment of their work.
constexpr duration soon{300};

/// A run that has lived for this long shows a sound one.
constexpr duration long_enough{1000};

/// Later failures are mostly the job's own fault: so many in a row distrust a
/// server, and so many exclude it.
constexpr int failures_to_distrust = 2;
constexpr int failures_to_exclude = 3;

constexpr duration first_exclusion{2000};
constexpr int most_doublings = 3;

/// Long enough to spare a job's second attempt, short enough to try again.
constexpr duration distrust_after_failures{5000};
constexpr duration distrust_while_slow{3000};

/// A server that has shown itself sound counts as such for this long.
constexpr duration proof_life{20'000};

void exclude(soundness& s, time_point now) {
    s.excluded_until =
        now + first_exclusion * (1 << std::min(s.exclusions, most_doublings));
    ++s.exclusions;
    s.on_probation = true;
    s.proven_at = {};
}

} // namespace

void note_failure(soundness& s, time_point now, duration ran) {
    ++s.failures_in_row;
    if (ran < soon || s.on_probation ||
        s.failures_in_row >= failures_to_exclude)
        return exclude(s, now);
    if (s.failures_in_row >= failures_to_distrust)
        s.distrusted_until =
            std::max(s.distrusted_until, now + distrust_after_failures);
}

void note_standstill(soundness& s, time_point now) {
    exclude(s, now);
}

void note_done(soundness& s, time_point now) {
    // What is slow gets done as well, only late.
    const bool slow = s.slow_in_row > 0 && is_distrusted(s, now);
    const auto before = s;
    s = {};
    s.proven_at = now;
    if (!slow)
        return;
    s.distrusted_until = before.distrusted_until;
    s.slow_in_row = before.slow_in_row;
}

void note_long_run(soundness& s, time_point now) {
    if (is_excluded(s, now))
        return; // It began before the failures.
    const auto before = s;
    note_done(s, now);
    s.distrusted_until = before.distrusted_until;
    s.slow_in_row = before.slow_in_row;
}

void note_slowness(soundness& s, time_point now) {
    if (!is_distrusted(s, now))
        ++s.slow_in_row;
    const int doublings = std::clamp(s.slow_in_row - 1, 0, most_doublings);
    s.distrusted_until = std::max(s.distrusted_until,
                                  now + distrust_while_slow * (1 << doublings));
}

bool shows_soundness(duration ran) {
    return ran >= long_enough;
}

bool is_excluded(const soundness& s, time_point now) {
    return now < s.excluded_until;
}

bool is_distrusted(const soundness& s, time_point now) {
    return now < s.distrusted_until;
}

bool is_proven(const soundness& s, time_point now) {
    return s.proven_at != time_point{} && now < s.proven_at + proof_life;
}

} // namespace celerylift::fleet
