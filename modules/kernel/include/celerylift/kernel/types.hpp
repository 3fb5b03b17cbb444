#pragma once

#include <celerylift/time.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace celerylift::kernel {

/// The unit of the cell in which all members of a gang must be placed, from
/// the widest to the tightest.
enum class adjacency { cell = 1, failure_domain = 2, rack = 3, worker = 4 };

/// `members` tasks of `accelerators` each, all within one unit of `within`.
/// A shape without members needs no accelerators.
struct gang_shape {
    int members = 0;
    int accelerators = 0;
    adjacency within = adjacency::cell;

    auto operator<=>(const gang_shape&) const = default;
};

inline int total_accelerators(const gang_shape& shape) {
    return shape.members * shape.accelerators;
}

/// `count` gangs of `shape` that the organisation can always reclaim.
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

enum class urgency { patient = 0, urgent = 1 };

struct job {
    std::string id;
    std::string organisation;
    kernel::urgency urgency = urgency::patient;
    gang_shape shape;
    duration declared_run{0};
    bool repeatable = true;
    std::string service;

    bool operator==(const job&) const = default;
};

using gang_id = std::uint64_t;

/// Accelerators on one worker, which is named by its index in the cell.
struct share {
    int worker = -1;
    int accelerators = 0;

    auto operator<=>(const share&) const = default;
};

/// On whose account a gang runs. A borrowed gang may be stopped when its
/// accelerators are reclaimed; a pinned one runs outside all guarantees and
/// is never stopped by the scheduler.
enum class gang_use { guaranteed, borrowed, pinned };

} // namespace celerylift::kernel
