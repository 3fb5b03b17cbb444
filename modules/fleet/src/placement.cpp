#include <celerylift/fleet/placement.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace celerylift::fleet {

namespace {

std::int64_t times(std::int64_t free, std::int64_t each) {
    if (each <= 0)
        return std::numeric_limits<std::int64_t>::max();
    return free <= 0 ? 0 : free / each;
}

int already_running(const room& r, const placement_request& request) {
    int count = 0;
    for (const auto& [agent, running] : request.running)
        if (agent == r.agent)
            count += running;
    return count;
}

/// How many of the tasks a server takes now.
std::int64_t slots_on(const room& r, const placement_request& request) {
    const auto most = r.on_probation ? 1 : request.count;
    const auto slots =
        std::min<std::int64_t>(slots_in(r.free, request.each), most);
    if (request.most_per_server == 0)
        return slots;
    return std::clamp<std::int64_t>(
        request.most_per_server - already_running(r, request), 0, slots);
}

/// Lower is better: trusted servers, proven ones for careful work, the
/// preferred rack, then the tightest.
using preference = std::tuple<bool, bool, bool, std::int64_t, std::int64_t>;

bool is_far(const room& r, const placement_request& request) {
    return !request.preferred_rack.empty() && r.rack != request.preferred_rack;
}

/// A server and the number of tasks that it takes.
struct candidate {
    preference rank;
    std::size_t index = 0;
    std::int64_t slots = 0;

    auto operator<=>(const candidate&) const = default;
};

/// Servers among which all tasks are placed: those of one rack, or all.
struct group {
    std::vector<candidate> members;
    std::int64_t slots = 0;
    int distrusted = 0;
    bool far = false;
    resources free;

    auto rank() const {
        return std::tuple{distrusted, far, free.accelerators, free.millicores};
    }
};

void add_member(group& g, const room& r, std::size_t index,
                const placement_request& request) {
    const bool distrusted = r.trust < least_trust;
    const bool far = is_far(r, request);
    const auto slots = slots_on(r, request);
    g.distrusted += distrusted ? 1 : 0;
    g.far = g.far || far;
    g.free += r.free;
    g.slots += slots;
    if (slots > 0)
        g.members.push_back({{distrusted, request.careful && !r.proven, far,
                              r.free.accelerators, r.free.millicores},
                             index,
                             slots});
}

/// Racks in order of preference: trusted and preferred ones, then the fullest.
std::vector<group> groups_in_order(const std::vector<room>& rooms,
                                   const placement_request& request) {
    std::map<std::size_t, group> racks;
    for (std::size_t i = 0; i < rooms.size(); ++i)
        if (!rooms[i].withheld && is_eligible(rooms[i], request))
            add_member(racks[request.same_rack ? rooms[i].rack_number : 0],
                       rooms[i], i, request);
    std::vector<group> groups;
    groups.reserve(racks.size());
    for (auto& [rack, members] : racks)
        groups.push_back(std::move(members));
    std::ranges::stable_sort(groups, {},
                             [](const group& g) { return g.rank(); });
    return groups;
}

/// A server that has been given a task is tighter than before, so it stays
/// the best one until it is full.
placement fill(std::vector<room>& rooms, group& among,
               const placement_request& request) {
    std::ranges::sort(among.members);
    placement result;
    auto left = std::min<std::int64_t>(request.count, among.slots);
    for (const auto& member : among.members) {
        for (auto n = std::min(left, member.slots); n > 0; --n, --left) {
            rooms[member.index].free -= request.each;
            result.push_back(member.index);
        }
        if (left == 0)
            break;
    }
    return result;
}

} // namespace

std::int64_t slots_in(const resources& free, const resources& each) {
    return std::min({times(free.millicores, each.millicores),
                     times(free.memory_mb, each.memory_mb),
                     times(free.accelerators, each.accelerators)});
}

bool is_eligible(const room& r, const placement_request& request) {
    if (r.service != request.service || !fits(request.each, r.capacity))
        return false;
    if (r.on_probation && !request.may_probe)
        return false;
    if (request.trusted_only && r.trust < least_trust)
        return false;
    if (!request.avoid.empty() && request.avoid.contains(r.agent))
        return false;
    return request.required_label.empty() ||
           std::ranges::find(*r.labels, request.required_label) !=
               r.labels->end();
}

placement place(std::vector<room>& rooms, const placement_request& request) {
    for (auto& among : groups_in_order(rooms, request))
        if (among.slots >= request.count)
            return fill(rooms, among, request);
    return {};
}

placement place_up_to(std::vector<room>& rooms,
                      const placement_request& request) {
    for (auto& among : groups_in_order(rooms, request))
        if (among.slots > 0)
            return fill(rooms, among, request);
    return {};
}

bool could_fit(const std::vector<room>& rooms,
               const placement_request& request) {
    std::map<std::size_t, std::int64_t> slots;
    for (const auto& r : rooms) {
        if (!is_eligible(r, request))
            continue;
        auto here = std::min<std::int64_t>(slots_in(r.capacity, request.each),
                                           request.count);
        if (request.most_per_server > 0)
            here = std::min<std::int64_t>(here, request.most_per_server);
        slots[request.same_rack ? r.rack_number : 0] += here;
    }
    return std::ranges::any_of(
        slots, [&](const auto& s) { return s.second >= request.count; });
}

} // namespace celerylift::fleet
