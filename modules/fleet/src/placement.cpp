#include <celerylift/fleet/placement.hpp>

#include <celerylift/fleet/server_speed.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <tuple>

namespace celerylift::fleet {

namespace {

std::int64_t count_that_fit(std::int64_t free, std::int64_t each) {
    if (each <= 0)
        return std::numeric_limits<std::int64_t>::max();
    return free <= 0 ? 0 : free / each;
}

int already_running(const candidate_server& server,
                    const placement_request& request) {
    int count = 0;
    for (const auto& [agent, running] : request.running)
        if (agent == server.agent)
            count += running;
    return count;
}

bool is_avoided(const candidate_server& server,
                const placement_request& request) {
    return !request.avoid.empty() && request.avoid.contains(server.agent);
}

/// Whether a task of the request is placed on a server to learn its speed.
bool is_explored(const candidate_server& server,
                 const placement_request& request) {
    return request.explores_speeds && server.has_unknown_speed;
}

/// The maximum number of the tasks that a server gets, whatever its capacity.
std::int64_t max_tasks_on(const candidate_server& server,
                          const placement_request& request) {
    const bool is_probed =
        server.on_probation && !request.fills_servers_on_probation;
    return is_probed || is_explored(server, request) ? 1 : request.count;
}

/// How many of the tasks fit on a server now.
std::int64_t slots_on(const candidate_server& server,
                      const placement_request& request) {
    if (!admits(server, request))
        return 0;
    const auto slots = std::min(slots_in(server.free, request.each),
                                max_tasks_on(server, request));
    if (request.max_per_server == 0)
        return slots;
    return std::clamp<std::int64_t>(
        request.max_per_server - already_running(server, request), 0, slots);
}

/// How badly a server's speed suits a request.
int speed_rank(const candidate_server& server,
               const placement_request& request) {
    if (is_explored(server, request))
        return std::numeric_limits<int>::min();
    const auto rank = speed_class(server.slowness);
    switch (request.by_speed) {
    case speed_order::fastest_first:
        return rank;
    case speed_order::slowest_first:
        return -rank;
    default:
        return 0;
    }
}

bool is_too_slow(const candidate_server& server,
                 const placement_request& request) {
    return request.by_speed != speed_order::none &&
           !is_explored(server, request) &&
           server.slowness > request.slowness_limit;
}

/// How little is known about a server's health; 0 if that does not matter.
int health_uncertainty(const candidate_server& server,
                       const placement_request& request) {
    if (!request.prefer_recently_healthy)
        return 0;
    if (server.recently_healthy &&
        server.last_healthy_at > request.last_failed_at)
        return 0;
    return server.recently_healthy ? 1 : 2;
}

bool is_outside_preferred_rack(const candidate_server& server,
                               const placement_request& request) {
    return !request.preferred_rack.empty() &&
           server.rack != request.preferred_rack;
}

/// How well a server suits a request, by what counts most first. Lower is
/// better.
struct preference {
    bool excluded = false;
    bool avoided = false;
    bool unproven = false;
    bool degraded = false;
    int health_uncertainty = 0;
    bool outside_preferred_rack = false;
    bool too_slow = false;
    int risk_class = 0; // 0 if the request does not consider it.
    int speed_rank = 0;
    double packing_cost = 0; // For other tasks that are in demand.
    /// The least free capacity first.
    std::int64_t free_accelerators = 0;
    std::int64_t free_millicores = 0;

    auto operator<=>(const preference&) const = default;
};

preference preference_for(const candidate_server& server,
                          const placement_request& request) {
    return {server.is_excluded,
            is_avoided(server, request),
            request.prefer_proven && server.on_probation,
            server.health_score < min_health_score,
            health_uncertainty(server, request),
            is_outside_preferred_rack(server, request),
            is_too_slow(server, request),
            request.prefer_low_risk ? server.risk_class : 0,
            speed_rank(server, request),
            request.packing
                ? packing_cost(*request.packing, server.free, request.each)
                : 0.0,
            server.free.accelerators,
            server.free.millicores};
}

/// A server and the number of tasks that fit on it.
struct ranked_server {
    preference order_key;
    std::size_t index = 0;
    std::int64_t slots = 0;

    auto operator<=>(const ranked_server&) const = default;
};

/// Servers among which all tasks are placed: those of one rack, or all.
struct server_group {
    std::vector<ranked_server> servers;
    std::int64_t slots = 0;
    int degraded = 0;
    bool outside_preferred_rack = false;
    /// Of the servers that the tasks would use: those that are excluded, to
    /// avoid or on probation.
    int doubtful = 0;
    /// Of the servers that the tasks would use. Work that takes the fastest
    /// servers first is as slow as the slowest of them.
    bool too_slow = false;
    int risk = 0;
    int speed_rank = 0;
    resources free;

    auto order_key() const {
        return std::tuple{
            doubtful, degraded,   outside_preferred_rack, too_slow,
            risk,     speed_rank, free.accelerators,      free.millicores};
    }
};

void add_member(server_group& group, const candidate_server& server,
                std::size_t index, const placement_request& request) {
    const auto preference = preference_for(server, request);
    const auto slots = slots_on(server, request);
    group.degraded += preference.degraded ? 1 : 0;
    group.outside_preferred_rack =
        group.outside_preferred_rack || preference.outside_preferred_rack;
    group.free += server.free;
    group.slots += slots;
    if (slots > 0)
        group.servers.push_back({preference, index, slots});
}

/// Sums up the risk and the speed of the servers that the tasks would use, and
/// how many of them are excluded, to be avoided or on probation. A gang is lost
/// with any of them, and as slow as the slowest.
void rate_servers_used(server_group& group, const placement_request& request) {
    std::ranges::sort(group.servers);
    std::int64_t slots = 0;
    int slowest_rank = std::numeric_limits<int>::min();
    for (const auto& server : group.servers) {
        if (slots >= request.count)
            break;
        slots += server.slots;
        const auto& key = server.order_key;
        group.doubtful += key.excluded || key.avoided || key.unproven ? 1 : 0;
        group.too_slow = group.too_slow || server.order_key.too_slow;
        group.risk += server.order_key.risk_class;
        slowest_rank = std::max(slowest_rank, server.order_key.speed_rank);
    }
    if (request.by_speed == speed_order::fastest_first)
        group.speed_rank = slowest_rank;
}

/// Groups in order of preference: the fewest servers that are excluded, to
/// avoid or on probation, the fewest degraded ones, the preferred rack, servers
/// that are fast enough, the lowest risk, the speed that suits the request,
/// then the least free capacity.
std::vector<server_group>
groups_in_order(const std::vector<candidate_server>& candidates,
                const placement_request& request) {
    std::map<std::size_t, server_group> racks;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        if (!candidates[i].excluded_from_request &&
            is_eligible(candidates[i], request))
            add_member(racks[request.same_rack ? candidates[i].rack_number : 0],
                       candidates[i], i, request);
    std::vector<server_group> groups;
    groups.reserve(racks.size());
    const bool rates_servers = request.prefer_low_risk ||
                               (request.may_probe && request.prefer_proven) ||
                               request.may_use_avoided ||
                               request.by_speed == speed_order::fastest_first;
    for (auto& [rack, group] : racks) {
        if (rates_servers)
            rate_servers_used(group, request);
        groups.push_back(std::move(group));
    }
    std::ranges::stable_sort(groups, {}, [](const server_group& group) {
        return group.order_key();
    });
    return groups;
}

/// Places one task after the other where it costs the least. Each task changes
/// what the next one costs on its server.
placement fill_by_cost(std::vector<candidate_server>& candidates,
                       server_group& group, const placement_request& request) {
    auto& heap = group.servers; // The best server is its front.
    std::ranges::make_heap(heap, std::ranges::greater{});
    placement result;
    auto remaining = std::min<std::int64_t>(request.count, group.slots);
    for (; remaining > 0; --remaining) {
        std::ranges::pop_heap(heap, std::ranges::greater{});
        auto& best = heap.back();
        auto& server = candidates[best.index];
        server.free -= request.each;
        server.has_unknown_speed = false;
        result.push_back(best.index);
        if (--best.slots == 0) {
            heap.pop_back();
            continue;
        }
        best.order_key = preference_for(server, request);
        std::ranges::push_heap(heap, std::ranges::greater{});
    }
    return result;
}

/// Fills one server after the other. Each task reduces the free capacity of
/// its server, which therefore stays first in order until it is full.
placement fill(std::vector<candidate_server>& candidates, server_group& group,
               const placement_request& request) {
    if (request.packing)
        return fill_by_cost(candidates, group, request);
    std::ranges::sort(group.servers);
    placement result;
    auto remaining = std::min<std::int64_t>(request.count, group.slots);
    for (const auto& ranked : group.servers) {
        for (auto n = std::min(remaining, ranked.slots); n > 0;
             --n, --remaining) {
            candidates[ranked.index].free -= request.each;
            candidates[ranked.index].has_unknown_speed = false;
            result.push_back(ranked.index);
        }
        if (remaining == 0)
            break;
    }
    return result;
}

} // namespace

std::int64_t slots_in(const resources& free, const resources& each) {
    return std::min({count_that_fit(free.millicores, each.millicores),
                     count_that_fit(free.memory_mb, each.memory_mb),
                     count_that_fit(free.accelerators, each.accelerators)});
}

bool admits(const candidate_server& server, const placement_request& request) {
    const bool has_other_job =
        server.is_shared || (!server.job.empty() && server.job != request.job);
    if (!has_other_job || (!server.has_suspect && !request.needs_own_servers))
        return true;
    return !request.crash.empty() && server.crash == request.crash &&
           server.job_count < request.max_jobs_of_crash;
}

bool is_eligible(const candidate_server& server,
                 const placement_request& request) {
    if (server.service != request.service ||
        !fits(request.each, server.capacity))
        return false;
    if ((server.on_probation && !request.may_probe) ||
        (server.is_excluded && !request.may_use_excluded))
        return false;
    if (request.healthy_only && server.health_score < min_health_score)
        return false;
    if (request.within_limit_only && server.slowness > request.slowness_limit)
        return false;
    if (!request.may_use_avoided && is_avoided(server, request))
        return false;
    return request.required_label.empty() ||
           std::ranges::find(*server.labels, request.required_label) !=
               server.labels->end();
}

placement place(std::vector<candidate_server>& candidates,
                const placement_request& request) {
    for (auto& group : groups_in_order(candidates, request))
        if (group.slots >= request.count)
            return fill(candidates, group, request);
    return {};
}

placement place_up_to(std::vector<candidate_server>& candidates,
                      const placement_request& request) {
    for (auto& group : groups_in_order(candidates, request))
        if (group.slots > 0)
            return fill(candidates, group, request);
    return {};
}

bool has_ample_room(const std::vector<candidate_server>& candidates,
                    placement_request request) {
    request.may_probe = request.may_use_excluded = true;
    request.may_use_avoided = true;
    request.healthy_only = request.within_limit_only = false;
    std::int64_t slots = 0;
    for (const auto& server : candidates)
        if (is_eligible(server, request))
            slots += std::min<std::int64_t>(slots_in(server.free, request.each),
                                            2 * std::int64_t{request.count});
    return slots >= 2 * std::int64_t{request.count};
}

bool could_fit(const std::vector<candidate_server>& candidates,
               const placement_request& request) {
    std::map<std::size_t, std::int64_t> slots;
    for (const auto& server : candidates) {
        if (!is_eligible(server, request))
            continue;
        auto fitting = std::min<std::int64_t>(
            slots_in(server.capacity, request.each), request.count);
        if (request.max_per_server > 0)
            fitting = std::min<std::int64_t>(fitting, request.max_per_server);
        slots[request.same_rack ? server.rack_number : 0] += fitting;
    }
    return std::ranges::any_of(
        slots, [&](const auto& s) { return s.second >= request.count; });
}

} // namespace celerylift::fleet
