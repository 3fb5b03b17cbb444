#pragma once

#include <celerylift/fleet/resources.hpp>
#include <celerylift/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace celerylift::fleet {

// Addresses organisations and classes of work that compete for a resource other
// than accelerators: a count of accelerators does not show that an organisation
// holds most of the memory of a service.

/// The largest of the shares that `in_use` has of `total`, over cores, memory
/// and accelerators. What a service lacks altogether does not count.
double dominant_share(const resources& in_use, const resources& total);

/// The share of a service that each organisation gets if all of those with work
/// there get the same.
double equal_share(std::size_t organisations);

bool is_below_equal_share(const resources& in_use, const resources& total,
                          std::size_t organisations);

/// For how long after its submission work can be overtaken by later work of its
/// priority. The allowances of batch queues are 1 to 3 s, so that work that has
/// waited for longer than this has mostly become urgent for its caller.
inline constexpr duration overtaking_window{10'000};

/// What decides how soon a waiting unit is placed among those of its priority.
struct unit_standing {
    bool urgent = false;
    /// The unit and its organisation's other urgent work stay within the
    /// organisation's guarantee.
    bool within_guarantee = false;
    bool below_equal_share = false;
    duration waited{0}; // Since its submission.
    /// Time until the latest start that still meets the objective; negative if
    /// that has passed.
    duration slack{0};

    bool operator==(const unit_standing&) const = default;
};

/// The ordering key of a waiting unit among those of its priority, where work
/// waits for room. Units that compare less are placed first; equal ones in the
/// order of their submission. The default puts all units on a par.
struct unit_rank {
    bool outside_guarantee = false; // Of urgent work.
    bool can_be_overtaken = false;
    bool above_equal_share = false;
    std::int64_t slack_ms = 0;

    auto operator<=>(const unit_rank&) const = default;
};

/// Ranks a unit. Work that has waited for the window goes before other work of
/// its priority, in the order of submission. Work whose latest start has passed
/// has nothing to gain from haste and goes last.
unit_rank rank_of(const unit_standing& unit);

} // namespace celerylift::fleet
