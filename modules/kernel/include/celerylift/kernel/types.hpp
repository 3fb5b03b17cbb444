#pragma once

#include <celerylift/time.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace celerylift::kernel {

/// The unit of the cell in which all members of a gang must be placed, from
/// the widest to the narrowest.
enum class adjacency { cell = 1, failure_domain = 2, rack = 3, worker = 4 };

/// A gang of `members` tasks with `accelerators` each, all of them within one
/// unit of kind `within`. A shape without members needs no accelerators.
struct gang_shape {
    int members = 0;
    int accelerators = 0;
    adjacency within = adjacency::cell;

    auto operator<=>(const gang_shape&) const = default;
};

inline int total_accelerators(const gang_shape& shape) {
    return shape.members * shape.accelerators;
}

/// `count` gangs of `shape` for which the organisation can reclaim its
/// accelerators at any time.
struct guarantee_block {
    int count = 0;
    gang_shape shape;

    auto operator<=>(const guarantee_block&) const = default;
};

struct organisation {
    std::string name;
    std::vector<guarantee_block> guarantee;
    int queue_limit = 0;

    bool operator==(const organisation&) const = default;
};

/// A platform host with accelerators, in a rack of a failure domain.
struct worker {
    std::string id;
    std::string rack;
    std::string failure_domain;
    int accelerators = 0;

    bool operator==(const worker&) const = default;
};

enum class urgency { batch = 0, urgent = 1 };

struct job {
    std::string id;
    std::string organisation;
    kernel::urgency urgency = urgency::batch;
    gang_shape shape;
    duration declared_run{0};
    bool repeatable = true;
    std::string service;

    bool operator==(const job&) const = default;
};

using gang_id = std::uint64_t;

/// A number of accelerators on one worker. `worker` is an index into
/// cell_state::workers.
struct share {
    int worker = -1;
    int accelerators = 0;

    auto operator<=>(const share&) const = default;
};

/// The capacity in which a gang runs. A guaranteed gang runs in the guarantee
/// of its organisation. A borrowed gang may be stopped when its accelerators
/// are reclaimed. A pinned gang runs outside all guarantees, and the scheduler
/// never stops it.
enum class gang_use { guaranteed, borrowed, pinned };

} // namespace celerylift::kernel
