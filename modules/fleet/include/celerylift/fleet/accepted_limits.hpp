#pragma once

#include <fleet.pb.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace celerylift::fleet {

/// What the cell holds of accepted jobs. Jobs count until their records are
/// removed, which is some time after their end.
struct accepted_totals {
    std::int64_t jobs = 0;
    std::int64_t tasks = 0; // Over all steps and occurrences.
    std::int64_t bytes = 0; // Of submissions as they are stored.

    bool operator==(const accepted_totals&) const = default;

    accepted_totals& operator+=(const accepted_totals& other);
    accepted_totals& operator-=(const accepted_totals& other);
};

/// The tasks of a job over all steps and occurrences.
std::int64_t task_count(const Submission& job);

/// What one job adds to the totals if its submission takes this many bytes.
accepted_totals totals_of(const Submission& job, std::size_t bytes);

/// The totals as a whole and by organisation. Jobs without an organisation
/// share an empty name.
struct accepted_work {
    accepted_totals all;
    std::map<std::string, accepted_totals> by_organisation;

    bool operator==(const accepted_work&) const = default;
};

void add(accepted_work& work, const std::string& organisation,
         const accepted_totals& job);
void remove(accepted_work& work, const std::string& organisation,
            const accepted_totals& job);
accepted_totals totals_of(const accepted_work& work,
                          const std::string& organisation);

/// What the cell may hold of accepted jobs; one organisation may hold half of
/// each. Addresses a load of jobs that are each legal, and that together exceed
/// the memory of the entry which owns the cell.
struct accepted_limits {
    accepted_totals cell;

    bool operator==(const accepted_limits&) const = default;
};

/// The limits for an entry with this much memory. Every entry checks its own
/// view of the totals, so that several may accept the last job that has room:
/// the limits leave a margin for that.
accepted_limits derive_accepted_limits(std::int64_t memory_mb);

/// The memory of an entry whose settings name none.
inline constexpr std::int64_t default_entry_memory_mb = 260;

/// Jobs of more tasks than this leave the last eighth of each limit on tasks to
/// smaller ones. Otherwise a few of them would shut out all other jobs.
inline constexpr std::int64_t many_tasks = 500;

/// A limit that a job would exceed, and whether it is the one on its
/// organisation.
enum class accepted_bound : std::uint8_t { jobs, tasks, bytes };
struct exceeded_limit {
    accepted_bound bound = accepted_bound::jobs;
    bool of_organisation = false;
    std::int64_t held = 0;
    std::int64_t limit = 0;

    bool operator==(const exceeded_limit&) const = default;
};

const char* to_string(accepted_bound bound);

/// The first limit that another job would exceed, or nothing if it has room.
/// The limits of the organisation come first.
std::optional<exceeded_limit> find_exceeded(const accepted_limits& limits,
                                            const accepted_totals& all,
                                            const accepted_totals& organisation,
                                            const accepted_totals& job);

} // namespace celerylift::fleet
