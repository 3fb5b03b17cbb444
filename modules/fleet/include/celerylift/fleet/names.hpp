#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celerylift::fleet {

/// The keys of the cell's durable data in the platform's store:
///
///   cl/cell/owner        EntryRecord, bound to its entry's store lease
///   cl/cell/entry/NAME   EntryRecord, bound to its entry's store lease
///   cl/job/ID/in         Submission, written once by any entry
///   cl/job/ID/stop       written by any entry when the job is cancelled
///   cl/job/ID/state      Progress, written by the owner alone
inline constexpr std::string_view cell_prefix = "cl/cell/";
inline constexpr std::string_view owner_key = "cl/cell/owner";
inline constexpr std::string_view entry_prefix = "cl/cell/entry/";
inline constexpr std::string_view job_prefix = "cl/job/";

enum class job_part { submission, cancellation, progress };

/// The store key of one part of a job.
std::string job_key(std::string_view id, job_part part);

struct job_key_parts {
    std::string id;
    job_part part = job_part::submission;

    bool operator==(const job_key_parts&) const = default;
};

/// The job and part that a store key names, or nothing for any other key.
std::optional<job_key_parts> parse_job_key(std::string_view key);

/// Identifies one task of a job.
struct task_name {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const task_name&) const = default;
};

/// Formats a name as JOB.OCCURRENCE.STEP.INDEX.
std::string to_string(const task_name& name);

/// Parses that format. Returns nothing if the text does not have it.
std::optional<task_name> parse_task_name(std::string_view text);

/// Names one life of a backend server: ID@START, with its start in milliseconds
/// of Unix time.
std::string incarnation_name(std::string_view id, std::int64_t started_unix_ms);

/// The start that such a name holds, or 0 if it has none.
std::int64_t start_of_incarnation(std::string_view name);

} // namespace celerylift::fleet
