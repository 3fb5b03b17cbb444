#include <celerylift/fleet/shape_mix.hpp>

#include <celerylift/fleet/fair_share.hpp>
#include <celerylift/fleet/placement.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace celerylift::fleet {

namespace {

/// Shapes of which less than this part of one task remains are forgotten.
constexpr double min_weight = 0.01;

double decay_over(std::int64_t ms) {
    return std::exp2(-static_cast<double>(ms) /
                     static_cast<double>(shape_half_life_ms));
}

/// Lets the weights decay up to a time, unless they have already.
void advance_to(shape_mix& mix, std::int64_t unix_ms) {
    if (unix_ms <= mix.as_of_unix_ms)
        return;
    const double factor = decay_over(unix_ms - mix.as_of_unix_ms);
    for (auto& shape : mix.shapes)
        shape.weight *= factor;
    std::erase_if(mix.shapes, [](const weighted_shape& shape) {
        return shape.weight < min_weight;
    });
    mix.as_of_unix_ms = unix_ms;
}

/// The largest amount of each resource that any shape needs.
resources largest_needs(const shape_mix& mix) {
    resources largest;
    for (const auto& shape : mix.shapes)
        largest = {std::max(largest.millicores, shape.each.millicores),
                   std::max(largest.memory_mb, shape.each.memory_mb),
                   std::max(largest.accelerators, shape.each.accelerators)};
    return largest;
}

/// Forgets the shape with the least weight times size. By weight alone, many
/// small tasks would displace the large ones that need the room most.
void forget_least(shape_mix& mix) {
    const auto largest = largest_needs(mix);
    mix.shapes.erase(std::ranges::min_element(
        mix.shapes, {}, [&](const weighted_shape& shape) {
            return shape.weight * dominant_share(shape.each, largest);
        }));
}

std::int64_t amount_of(const resources& amount, host_resource kind) {
    return kind == host_resource::cores ? amount.millicores : amount.memory_mb;
}

} // namespace

void add_demand(shape_mix& mix, const resources& each, std::int64_t tasks,
                std::int64_t unix_ms) {
    advance_to(mix, unix_ms);
    const double weight =
        static_cast<double>(tasks) * decay_over(mix.as_of_unix_ms - unix_ms);
    if (weight < min_weight)
        return;
    const auto known =
        std::ranges::find(mix.shapes, each, &weighted_shape::each);
    if (known != mix.shapes.end()) {
        known->weight += weight;
        return;
    }
    mix.shapes.push_back({each, weight});
    if (mix.shapes.size() > max_shapes)
        forget_least(mix);
}

std::optional<host_resource> limiting_resource(const resources& each,
                                               const resources& idle_server) {
    const auto cores = dominant_share({each.millicores, 0, 0}, idle_server);
    const auto memory = dominant_share({0, each.memory_mb, 0}, idle_server);
    const auto accelerators =
        dominant_share({0, 0, each.accelerators}, idle_server);
    if (std::max(cores, memory) <= accelerators)
        return std::nullopt;
    return memory > cores ? host_resource::memory : host_resource::cores;
}

bool is_limited_by_host(const shape_mix& mix, const resources& idle_server,
                        const resources& in_use, const resources& total) {
    return std::ranges::any_of(mix.shapes, [&](const weighted_shape& shape) {
        const auto limit = limiting_resource(shape.each, idle_server);
        return limit &&
               amount_of(in_use, *limit) * 2 > amount_of(total, *limit);
    });
}

shape_costs costs_of(const shape_mix& mix, const resources& idle_server) {
    const double weight = std::accumulate(
        mix.shapes.begin(), mix.shapes.end(), 0.0,
        [](double sum, const auto& shape) { return sum + shape.weight; });
    shape_costs costs;
    for (const auto& shape : mix.shapes)
        costs.push_back(
            {shape.each,
             shape.weight / weight * dominant_share(shape.each, idle_server)});
    return costs;
}

double packing_cost(const shape_costs& costs, const resources& free,
                    const resources& each) {
    auto afterwards = free;
    afterwards -= each;
    double cost = 0;
    for (const auto& shape : costs)
        cost +=
            shape.cost * static_cast<double>(slots_in(free, shape.each) -
                                             slots_in(afterwards, shape.each));
    return cost;
}

} // namespace celerylift::fleet
