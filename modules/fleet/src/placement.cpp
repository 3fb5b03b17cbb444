#include <celerylift/fleet/placement.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace celerylift::fleet {

namespace {

int already_running(const room& r, const placement_request& request) {
    int count = 0;
    for (const auto& [agent, running] : request.running)
        if (agent == r.agent)
            count += running;
    return count;
}

/// Lower is better: trusted servers, the preferred rack, then the tightest.
using preference =
    std::tuple<bool, bool, std::int64_t, std::int64_t, std::string>;

preference rank(const room& r, const placement_request& request) {
    const bool far =
        !request.preferred_rack.empty() && r.rack != request.preferred_rack;
    return {r.trust < least_trust, far, r.free.accelerators, r.free.millicores,
            r.agent};
}

std::optional<std::size_t> best_server(const std::vector<room>& rooms,
                                       const std::vector<std::size_t>& among,
                                       const std::map<std::size_t, int>& placed,
                                       const placement_request& request) {
    std::optional<std::size_t> best;
    for (const auto i : among) {
        const auto& r = rooms[i];
        if (!fits(request.each, r.free))
            continue;
        const auto it = placed.find(i);
        const int here =
            already_running(r, request) + (it == placed.end() ? 0 : it->second);
        if (request.most_per_server > 0 && here >= request.most_per_server)
            continue;
        if (!best || rank(r, request) < rank(rooms[*best], request))
            best = i;
    }
    return best;
}

placement place_among(std::vector<room>& rooms,
                      const std::vector<std::size_t>& among,
                      const placement_request& request) {
    placement result;
    std::map<std::size_t, int> placed;
    for (int n = 0; n < request.count; ++n) {
        const auto best = best_server(rooms, among, placed, request);
        if (!best)
            break;
        rooms[*best].free -= request.each;
        ++placed[*best];
        result.push_back(*best);
    }
    if (static_cast<int>(result.size()) == request.count)
        return result;
    for (const auto i : result)
        rooms[i].free += request.each;
    return {};
}

std::map<std::string, std::vector<std::size_t>>
eligible_by_rack(const std::vector<room>& rooms,
                 const placement_request& request) {
    std::map<std::string, std::vector<std::size_t>> racks;
    for (std::size_t i = 0; i < rooms.size(); ++i)
        if (is_eligible(rooms[i], request))
            racks[request.same_rack ? rooms[i].rack : ""].push_back(i);
    return racks;
}

/// Racks in order of preference: trusted and preferred ones, then the fullest.
std::vector<std::vector<std::size_t>>
groups_in_order(const std::vector<room>& rooms,
                const placement_request& request) {
    std::vector<std::pair<std::tuple<int, bool, std::int64_t, std::int64_t>,
                          std::vector<std::size_t>>>
        groups;
    for (auto& [rack, members] : eligible_by_rack(rooms, request)) {
        int distrusted = 0;
        std::int64_t accelerators = 0;
        std::int64_t millicores = 0;
        for (const auto i : members) {
            distrusted += rooms[i].trust < least_trust ? 1 : 0;
            accelerators += rooms[i].free.accelerators;
            millicores += rooms[i].free.millicores;
        }
        const bool far =
            !request.preferred_rack.empty() && rack != request.preferred_rack;
        groups.emplace_back(
            std::tuple{distrusted, far, accelerators, millicores}, members);
    }
    std::ranges::stable_sort(groups, {}, [](const auto& g) { return g.first; });
    std::vector<std::vector<std::size_t>> result;
    result.reserve(groups.size());
    for (auto& [order, members] : groups)
        result.push_back(std::move(members));
    return result;
}

} // namespace

bool is_eligible(const room& r, const placement_request& request) {
    if (r.service != request.service || request.avoid.contains(r.agent))
        return false;
    if (!fits(request.each, r.capacity))
        return false;
    return request.required_label.empty() ||
           std::ranges::find(r.labels, request.required_label) !=
               r.labels.end();
}

placement place(std::vector<room>& rooms, const placement_request& request) {
    for (const auto& group : groups_in_order(rooms, request)) {
        auto result = place_among(rooms, group, request);
        if (!result.empty())
            return result;
    }
    return {};
}

bool could_fit(const std::vector<room>& rooms,
               const placement_request& request) {
    auto empty = rooms;
    for (auto& r : empty)
        r.free = r.capacity;
    auto fresh = request;
    fresh.running.clear();
    return !place(empty, fresh).empty();
}

} // namespace celerylift::fleet
