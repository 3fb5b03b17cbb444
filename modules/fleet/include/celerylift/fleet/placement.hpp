#pragma once

#include <celerylift/fleet/resources.hpp>

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace celerylift::fleet {

/// A backend server as placement sees it. Copied for each decision, so its
/// texts are views of what the server's state holds.
struct candidate_server {
    std::string_view agent;
    std::string_view rack;
    std::string_view service;
    const std::vector<std::string>* labels = nullptr;
    resources capacity;
    resources free;
    /// Below 1 where it has lately failed, stood still or been slow.
    double health_score = 1.0;
    bool recently_healthy = false; // Of late, by a run.
    /// Has to show itself with one task before it is given more.
    bool on_probation = false;
    std::size_t rack_number = 0;
    bool excluded_from_request = false; // From the work that is being placed.
};

/// Servers below this are used only where no other has room.
inline constexpr double min_health_score = 0.5;

/// Tasks that are to be placed together.
struct placement_request {
    std::string service;
    resources each;
    int count = 1;
    bool same_rack = false;
    std::string required_label;
    std::string preferred_rack;
    /// At most this many on one server; 0 means any number.
    int max_per_server = 0;
    /// How many of the same step each server runs already, by agent. Filled
    /// in only where most_per_server limits them.
    std::vector<std::pair<std::string, int>> running;
    std::set<std::string, std::less<>> avoid;
    /// For work that has failed before: servers that are proven go first.
    bool prefer_recently_healthy = false;
    /// For work that a slow or failing server would hold up as a whole.
    bool healthy_only = false;
    /// Whether it may be tried on a server that is on probation.
    bool may_probe = false;
};

/// For each task the index of its server; empty where they don't all fit.
using placement = std::vector<std::size_t>;

/// Fills the tightest server first, so that whole servers and racks stay free
/// for large gangs. Answers a fleet at half load on which small jobs would
/// otherwise wall off every rack. Takes from `rooms` what it places. Costs one
/// look at each server, however many tasks there are.
placement place(std::vector<candidate_server>& candidates,
                const placement_request& request);

/// Like place(), but places as many tasks as fit.
placement place_up_to(std::vector<candidate_server>& candidates,
                      const placement_request& request);

/// Whether the tasks would fit if the servers were empty.
bool could_fit(const std::vector<candidate_server>& candidates,
               const placement_request& request);

/// Whether a server may run such tasks at all.
bool is_eligible(const candidate_server& server,
                 const placement_request& request);

/// How many such tasks fit into some room.
std::int64_t slots_in(const resources& free, const resources& each);

} // namespace celerylift::fleet
