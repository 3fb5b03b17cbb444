#pragma once

#include <celerylift/kernel/backend_pool.hpp>
#include <celerylift/kernel/types.hpp>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace celerylift::kernel {

struct policy;

/// The maximum number of accelerators of one worker.
constexpr int max_accelerators_per_worker = 16;

/// A worker with the accelerators that gangs use, claims hold and guarantees
/// cover on it.
struct worker_state {
    worker spec;
    int rack = -1;
    int domain = -1;
    int used = 0;   // By gangs, including those that are stopping.
    int held = 0;   // By claims, for jobs that wait for a reclaim.
    int homed = 0;  // In the homes of the blocks of all guarantees.
    int pinned = 0; // By gangs that the scheduler never stops.
    bool usable = true;
    bool draining = false;
    int failures = 0;
    int successes = 0;
    std::optional<time_point> quarantined_until;
    duration quarantine_length{0};
    std::set<std::string> failed_jobs; // Jobs counted in `failures`.
    std::vector<gang_id> gangs;
};

/// For each size k, the number of gang members of k accelerators that fit into
/// the unit now.
using member_counts = std::array<int, max_accelerators_per_worker + 1>;

/// A rack, a failure domain or the whole cell. `fitting_members` is updated
/// whenever the available accelerators of one of its workers change.
struct unit_state {
    std::string name;
    std::vector<int> workers;
    member_counts fitting_members{};
};

/// One gang of a guarantee. `home` lists the accelerators that are set aside
/// for it: other gangs may borrow them, and the organisation can reclaim them.
/// `used[i]` counts the accelerators of `home[i]` that the organisation's own
/// gangs use. The worker of a lost share is -1.
struct block_state {
    int organisation = -1;
    gang_shape shape;
    std::vector<share> home;
    std::vector<int> used;
};

struct organisation_state {
    organisation spec;
    std::vector<int> blocks; // Indices into cell_state::blocks.
    bool removed = false;
    int waiting = 0;
    int borrowed = 0;
    std::array<double, 2> run_ratio{1.0, 1.0}; // Actual/declared, by urgency.
    std::array<double, 2> mean_run_ms{0, 0};
};

struct gang_state {
    gang_id id = 0;
    kernel::job job;
    std::vector<share> shares;
    gang_use use = gang_use::borrowed;
    int block = -1;
    std::string backend;
    time_point placed{};
    time_point expected_end{};
    bool stopping = false;
};

/// The accelerators that are being reclaimed for a waiting job. `shares` are
/// held for it in `block` until the gangs that borrow them have ended.
struct claim {
    int block = -1;
    std::vector<share> shares;
    std::string backend;
    time_point since{};
};

/// The properties on which placement depends. Jobs with equal keys form a
/// group: when one of them cannot be placed, none of them can.
struct group_key {
    int organisation = -1;
    kernel::urgency urgency = urgency::batch;
    gang_shape shape;
    bool repeatable = true;
    std::string service;

    auto operator<=>(const group_key&) const = default;
};

struct waiting_job {
    kernel::job job;
    time_point arrived{};
    std::int64_t order_key = 0;
    std::set<int> avoid; // Workers on which the job has failed.
    std::optional<claim> reclaim;
    std::string waiting_for;
};

struct waiting_group {
    std::set<std::pair<std::int64_t, std::string>> jobs;
    std::uint64_t blocked_at = 0; // capacity_version of the last failed try.
};

/// Workers that are kept free for a gang that is too large for the capacity
/// that is free now. Other jobs may use them only if they end before
/// `expected_start`, the time at which the gang is expected to start.
struct reservation {
    std::string job;
    std::vector<int> workers; // Sorted.
    time_point expected_start{};
};

/// The state of a cell on which all scheduling decisions depend. Only the
/// kernel's free functions change it.
struct cell_state {
    const kernel::policy* policy = nullptr;
    int fragmentation_weight = 50; // Percent.
    int default_queue_limit = 1000;
    std::uint64_t random = 1;
    gang_id next_gang = 1;

    std::vector<worker_state> workers;
    std::unordered_map<std::string, int> worker_index;
    std::vector<unit_state> racks;
    std::vector<unit_state> domains;
    unit_state whole_cell;
    std::map<std::string, int> rack_index;
    std::map<std::string, int> domain_index;

    std::vector<organisation_state> organisations;
    std::unordered_map<std::string, int> organisation_index;
    std::vector<block_state> blocks;

    std::unordered_map<gang_id, gang_state> gangs;
    std::unordered_map<std::string, waiting_job> waiting;
    std::map<group_key, waiting_group> groups;
    std::set<std::pair<std::int64_t, group_key>> ready_groups;
    std::set<std::string> claims; // Waiting jobs that hold a claim.
    std::optional<kernel::reservation> reserved;
    std::map<std::string, std::set<int>> job_failures;
    backend_pool backends;

    std::uint64_t capacity_version = 1; // Incremented when capacity grows.
    int lost_shares = 0;
};

/// Accelerators on worker `w` that a repeatable gang may take now. They may be
/// reclaimed from it later.
int available(const cell_state& cell, int w);

/// Free accelerators on worker `w` that no guarantee covers.
int available_outside_guarantees(const cell_state& cell, int w);

/// Whether new gangs may be placed on worker `w`.
bool accepts_gangs(const worker_state& w);

} // namespace celerylift::kernel
