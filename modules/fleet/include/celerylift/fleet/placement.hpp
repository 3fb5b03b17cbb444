#pragma once

#include <celerylift/fleet/resources.hpp>
#include <celerylift/fleet/shape_mix.hpp>
#include <celerylift/time.hpp>

#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace celerylift::fleet {

/// A backend server that placement may choose. It is copied for each decision,
/// so its strings are views into the server's state.
struct candidate_server {
    std::string_view agent;
    std::string_view rack;
    std::string_view service;
    const std::vector<std::string>* labels = nullptr;
    resources capacity;
    resources free;
    /// Below 1 if runs on the server recently failed, stalled or were slow.
    double health_score = 1.0;
    /// A run has recently shown that the server is healthy.
    bool recently_healthy = false;
    time_point last_healthy_at{};
    /// The server gets a single task until a run shows that it is healthy.
    bool on_probation = false;
    /// The server is on probation and gets no work for now, because runs have
    /// failed there or its single task has not shown yet that it is healthy.
    bool is_excluded = false;
    /// Higher if the host has recently restarted or failed.
    int risk_class = 0;
    std::size_t rack_number = 0;
    /// The server is kept free for other work than the current request.
    bool excluded_from_request = false;
    /// The only job with tasks there, or the first of several.
    std::string_view job;
    bool is_shared = false;
    std::string_view last_job;
    int job_count = 0;
    /// A task there may crash the server: no other job may be placed there.
    bool has_suspect = false;
    /// The crash that all tasks there are weak suspects of, or empty.
    std::string_view crash;
    /// The factor that run times there are planned with.
    double slowness = 1.0;
    /// Neither the server's speed is known nor does a run there tell it.
    bool has_unknown_speed = false;
};

/// Servers below this score are used only if no other has free capacity.
inline constexpr double min_health_score = 0.5;

inline constexpr double no_slowness_limit =
    std::numeric_limits<double>::infinity();

/// Which servers a request takes first where they run at different speeds.
/// Work with a tight objective takes the fastest. Other work takes the slowest
/// that are fast enough for it, so that the fast ones stay free.
enum class speed_order { none, fastest_first, slowest_first };

/// Tasks of one step that are placed together, and what they require.
struct placement_request {
    std::string service;
    resources each; // What one task needs.
    int count = 1;
    bool same_rack = false;
    std::string required_label;
    std::string preferred_rack;
    /// Maximum number of the step's tasks on one server; 0 means no limit.
    int max_per_server = 0;
    /// How many tasks of the same step each server already runs, by agent.
    /// Set only if max_per_server limits them.
    std::vector<std::pair<std::string, int>> running;
    std::set<std::string, std::less<>> avoid;
    /// The servers to avoid go last instead of being excluded.
    bool may_use_avoided = false;
    /// Set for work that has failed before: servers that have shown since its
    /// last failure that they are healthy go first, then recently healthy ones.
    bool prefer_recently_healthy = false;
    time_point last_failed_at{};
    /// Excludes degraded servers. Set for work that a single slow or failing
    /// server delays as a whole.
    bool healthy_only = false;
    /// Servers of a lower risk class go first. Set for urgent gangs, which are
    /// late once they have lost a member.
    bool prefer_low_risk = false;
    duration expected_run{0};
    /// Whether servers on probation may be used.
    bool may_probe = false;
    /// Whether excluded servers may be used, after all others.
    bool may_use_excluded = false;
    /// Servers on probation go last. Not set for work that is to probe them.
    bool prefer_proven = false;
    /// A server on probation may get several of the tasks instead of one.
    bool fills_servers_on_probation = false;
    std::string_view job;
    /// The tasks may share a server only with tasks of their own job.
    bool needs_own_servers = false;
    /// Set for weak suspects: the crash, and up to how many jobs that it hit
    /// may share a server.
    std::string_view crash;
    int max_jobs_of_crash = 0;
    speed_order by_speed = speed_order::none;
    /// The slowness up to which a server is fast enough.
    double slowness_limit = no_slowness_limit;
    /// Excludes servers beyond that limit.
    bool within_limit_only = false;
    /// Servers of unknown speed get one task each first.
    bool explores_speeds = false;
    /// If set, tasks go where they cost the least room for those in demand.
    const shape_costs* packing = nullptr;
};

/// The candidate's index for each placed task; empty if none is placed.
using placement = std::vector<std::size_t>;

/// Places all tasks or none. Fills the server with the least free capacity
/// first, unless the request has costs for packing, so that whole servers and
/// racks stay free for large gangs: on a fleet at half load, small jobs would
/// otherwise occupy a part of every rack. Subtracts the placed tasks from
/// `candidates`. Visits each server once, however many tasks there are.
placement place(std::vector<candidate_server>& candidates,
                const placement_request& request);

/// Like place(), but places as many of the tasks as fit.
placement place_up_to(std::vector<candidate_server>& candidates,
                      const placement_request& request);

/// Whether the tasks would fit if the servers were idle.
bool could_fit(const std::vector<candidate_server>& candidates,
               const placement_request& request);

/// Whether a server may run the tasks, whatever its free capacity.
bool is_eligible(const candidate_server& server,
                 const placement_request& request);

/// Whether the free capacity of the servers suffices for the tasks twice over.
/// Of a request's preferences none counts.
bool has_ample_room(const std::vector<candidate_server>& candidates,
                    placement_request request);

/// Whether the tasks of other jobs on a server allow it to be used now.
bool admits(const candidate_server& server, const placement_request& request);

/// How many tasks that need `each` fit into `free`.
std::int64_t slots_in(const resources& free, const resources& each);

} // namespace celerylift::fleet
