#include <celerylift/fleet/placement.hpp>

#include <algorithm>
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

/// How many of the tasks fit on a server now.
std::int64_t slots_on(const candidate_server& server,
                      const placement_request& request) {
    if (!admits(server, request))
        return 0;
    const auto max_tasks = server.on_probation ? 1 : request.count;
    const auto slots =
        std::min<std::int64_t>(slots_in(server.free, request.each), max_tasks);
    if (request.max_per_server == 0)
        return slots;
    return std::clamp<std::int64_t>(
        request.max_per_server - already_running(server, request), 0, slots);
}

/// Lower is better: servers that are not degraded, those shown to be healthy if
/// the request prefers them, the preferred rack, the least cost for other
/// tasks, then the least free capacity.
using preference =
    std::tuple<bool, int, bool, double, std::int64_t, std::int64_t>;

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

preference preference_for(const candidate_server& server,
                          const placement_request& request) {
    return {server.health_score < min_health_score,
            health_uncertainty(server, request),
            is_outside_preferred_rack(server, request),
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
    resources free;

    auto order_key() const {
        return std::tuple{degraded, outside_preferred_rack, free.accelerators,
                          free.millicores};
    }
};

void add_member(server_group& group, const candidate_server& server,
                std::size_t index, const placement_request& request) {
    const bool degraded = server.health_score < min_health_score;
    const bool outside_preferred_rack =
        is_outside_preferred_rack(server, request);
    const auto slots = slots_on(server, request);
    group.degraded += degraded ? 1 : 0;
    group.outside_preferred_rack =
        group.outside_preferred_rack || outside_preferred_rack;
    group.free += server.free;
    group.slots += slots;
    if (slots > 0)
        group.servers.push_back(
            {preference_for(server, request), index, slots});
}

/// Groups in order of preference: the fewest degraded servers, the preferred
/// rack, then the least free capacity.
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
    for (auto& [rack, group] : racks)
        groups.push_back(std::move(group));
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
    if (server.on_probation && !request.may_probe)
        return false;
    if (request.healthy_only && server.health_score < min_health_score)
        return false;
    if (!request.avoid.empty() && request.avoid.contains(server.agent))
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
