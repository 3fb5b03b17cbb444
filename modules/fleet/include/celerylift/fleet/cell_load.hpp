#pragma once

#include <celerylift/fleet/config.hpp>
#include <celerylift/fleet/resources.hpp>
#include <celerylift/time.hpp>

#include <fleet.pb.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace celerylift::fleet {

/// Amounts of resources, or of resources times milliseconds. Declared run times
/// are unbounded, and products with them exceed an integer.
struct resource_amounts {
    double millicores = 0;
    double memory_mb = 0;
    double accelerators = 0;

    bool operator==(const resource_amounts&) const = default;

    resource_amounts& operator+=(const resource_amounts& other);
};

/// Tasks whose remaining run times are in [2^(n-1), 2^n) milliseconds.
struct time_bucket {
    resource_amounts need;
    resource_amounts work; // Need times remaining run time.

    bool operator==(const time_bucket&) const = default;
};

/// Outstanding work by the remaining run time of its tasks.
using work_by_time = std::array<time_bucket, 32>;

void add_tasks(work_by_time& work, const resources& each, std::int64_t count,
               duration run_time);

/// The outstanding work of one priority.
struct priority_work {
    /// Work that runs, and work that waits and can still be in time.
    work_by_time in_time{};
    /// Work that waits for its room behind all of its priority that can still
    /// be in time.
    work_by_time late{};

    bool operator==(const priority_work&) const = default;
};

/// What a service has, and what is outstanding there.
struct service_sums {
    resources largest_server; // By resource; zero while not known.
    resources total;          // Of the usable servers.
    resources free;
    /// Of servers that cannot be used now and are expected back at once. Drain
    /// times count them: a restart of many servers is no overload.
    resources returning;
    int usable_servers = 0;
    std::map<int, priority_work> work; // By priority.

    bool operator==(const service_sums&) const = default;
};

using cell_sums = std::map<std::string, service_sums>;

/// For how long at least a service is occupied by some work: the latest time up
/// to which its tasks, each for the time that it still runs, can use all of
/// some resource. Where all run for less than that, it is the work divided by
/// the total; a few long tasks leave room beside them and occupy nothing.
duration drain_time(const work_by_time& work, const resources& total);

/// The load of one service.
struct service_load {
    resources largest_server;
    int usable_servers = 0;
    resources total;
    resources free;
    /// By priority: for how long the work that goes before a new job of this
    /// priority occupies the service.
    std::map<int, duration> drain;

    bool operator==(const service_load&) const = default;
};

/// The load of the cell as its owner publishes it. Addresses bursts beyond what
/// the cell can run in time: a job without a chance is refused at once, so that
/// its caller can take it elsewhere, and no capacity is spent on it.
struct cell_load {
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
    std::map<std::string, service_load> services;

    bool operator==(const cell_load&) const = default;
};

cell_load make_load(const cell_sums& sums);

CellLoad to_record(const cell_load& load);
cell_load from_record(const CellLoad& record);

/// Whether a load leads to other decisions than an earlier one, so that it is
/// worth a message.
bool differs_materially(const cell_load& load, const cell_load& earlier);

/// The drain time that a job of this priority meets.
duration drain_of(const service_load& load, int priority);

/// How often the owner computes the load and may publish it, and how often it
/// publishes a load that has not changed: less often while nothing waits for
/// long, and within `max_backlog_age` else.
inline constexpr duration load_period{500};
inline constexpr duration backlog_resend_period{1000};
inline constexpr duration load_resend_period{5000};

/// How old a state may be that a refusal relies on. The capacity of servers
/// changes rarely; a backlog may be gone within seconds.
inline constexpr duration max_capacity_age{10'000};
inline constexpr duration max_backlog_age{2000};

/// Whether the owner publishes `load` now.
bool is_due(const cell_load& load, const std::optional<cell_load>& published,
            duration since_published);

/// The newest load that an entry knows.
struct known_load {
    cell_load load;
    time_point received_at{};
    /// By service and priority: jobs that could wait for less than this are
    /// refused. At least the drain time and at most 1.25 times it, so that
    /// refusals start at a drain time and end once it is below 80 % of that.
    std::map<std::pair<std::string, int>, duration> refused_below;

    bool operator==(const known_load&) const = default;
};

/// Replaces the known load by one of a later epoch, or of a later sequence
/// number in the same. Returns whether it is later.
bool apply_load(std::optional<known_load>& known, cell_load load,
                time_point now);

/// Why a job is refused.
struct load_refusal {
    /// A task is larger than any server; else the job would end too late.
    bool is_too_large = false;
    duration drain{0};
    duration max_wait{0}; // Jobs that wait longer earn nothing.
    duration retry_after{0};

    bool operator==(const load_refusal&) const = default;
};

/// The longest run time that a declared one of this priority may stand for.
duration longest_run_time(duration declared, int priority);

/// How long a job may wait for its start and still earn a payoff. Nothing if
/// that cannot be told, or if it has its payoff whenever it runs.
std::optional<duration> max_wait(const Submission& job,
                                 const queue_config& queue);

/// Decides on a new job. `has_large_share` tells that its organisation holds
/// its equal share of the jobs on record: the work of one that holds less goes
/// before other work, whatever waits.
std::optional<load_refusal>
refuse_by_load(const std::optional<known_load>& known, const Submission& job,
               const queue_config& queue, bool has_large_share, time_point now);

} // namespace celerylift::fleet
