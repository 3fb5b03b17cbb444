#pragma once

#include <celerylift/fleet/resources.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace celerylift::fleet {

// Addresses services that run out of memory or cores before they run out of
// accelerators. A task that takes over half of the memory of a server strands
// its other accelerators unless smaller tasks use them, and smaller tasks in
// the wrong place keep the large ones out.

/// The resources of one task, and how many such tasks were submitted, of which
/// recent ones count most.
struct weighted_shape {
    resources each;
    double weight = 0;

    bool operator==(const weighted_shape&) const = default;
};

/// The shapes in recent demand, at most `max_shapes`.
struct shape_mix {
    std::vector<weighted_shape> shapes;
    std::int64_t as_of_unix_ms = 0; // To which all weights have decayed.

    bool operator==(const shape_mix&) const = default;
};

inline constexpr std::size_t max_shapes = 8;

/// The time in which a weight halves. Ended jobs stay on record for 150 s, of
/// which a thirtieth of the weight remains: a new owner rebuilds the mix from
/// the jobs on record.
inline constexpr std::int64_t shape_half_life_ms = 30'000;

/// Adds tasks submitted at a time. The order of the calls does not matter as
/// long as there are no more than `max_shapes` shapes; beyond that, those in
/// least demand are left out.
void add_demand(shape_mix& mix, const resources& each, std::int64_t tasks,
                std::int64_t unix_ms);

/// A resource other than accelerators.
enum class host_resource { cores, memory };

/// The resource, other than accelerators, that limits how many tasks of a shape
/// an idle server holds; nothing if accelerators do, or any other as much.
std::optional<host_resource> limiting_resource(const resources& each,
                                               const resources& idle_server);

/// Whether a shape of the mix is limited by cores or memory, of which `in_use`
/// has over half of `total`. Elsewhere room for each shape remains however
/// tasks are packed.
bool is_limited_by_host(const shape_mix& mix, const resources& idle_server,
                        const resources& in_use, const resources& total);

/// A shape, and the cost of having room for one task of it less.
struct shape_cost {
    resources each;
    double cost = 0;

    bool operator==(const shape_cost&) const = default;
};
/// The costs by shape. If there are none, tasks are packed regardless of them.
using shape_costs = std::vector<shape_cost>;

/// Costs in proportion to the demand for a shape and to its size, the dominant
/// share of an idle server that one task takes.
shape_costs costs_of(const shape_mix& mix, const resources& idle_server);

/// The cost of placing one task on a server: the tasks of each shape that fit
/// before, less those that fit afterwards.
double packing_cost(const shape_costs& costs, const resources& free,
                    const resources& each);

} // namespace celerylift::fleet
