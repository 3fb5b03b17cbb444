#pragma once

#include <celerylift/fleet/resources.hpp>

#include <set>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// A backend server as placement sees it.
struct room {
    std::string agent;
    std::string rack;
    std::vector<std::string> labels;
    std::string service;
    resources capacity;
    resources free;
    /// Below 1 where it has lately failed, stood still or been slow.
    double trust = 1.0;
};

/// Servers below this are used only where no other has room.
inline constexpr double least_trust = 0.5;

/// Tasks that are to be placed together.
struct placement_request {
    std::string service;
    resources each;
    int count = 1;
    bool same_rack = false;
    std::string required_label;
    std::string preferred_rack;
    /// At most this many on one server; 0 means any number.
    int most_per_server = 0;
    /// How many of the same step each server runs already, by agent.
    std::vector<std::pair<std::string, int>> running;
    std::set<std::string> avoid;
};

/// For each task the index of its server; empty where they don't all fit.
using placement = std::vector<std::size_t>;

/// Fills the tightest server first, so that whole servers and racks stay free
/// for large gangs. Answers a fleet at half load on which small jobs would
/// otherwise wall off every rack. Takes from `rooms` what it places.
placement place(std::vector<room>& rooms, const placement_request& request);

/// Whether the tasks would fit if the servers were empty.
bool could_fit(const std::vector<room>& rooms,
               const placement_request& request);

/// Whether a server may run such tasks at all.
bool is_eligible(const room& r, const placement_request& request);

} // namespace celerylift::fleet
