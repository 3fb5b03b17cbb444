#pragma once

#include <celerylift/fleet/accepted_limits.hpp>
#include <celerylift/fleet/config.hpp>
#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace celerylift::fleet {

/// The parts of one job that the store holds.
struct stored_job {
    std::optional<Submission> submission;
    std::int64_t submission_revision = 0;
    std::size_t submission_bytes = 0;
    bool cancelled = false;
    /// Of a withdrawal, which stands in place of the cancellation.
    std::int64_t withdrawal_revision = 0;
    std::optional<Progress> progress;
    std::int64_t progress_revision = 0;
};

/// Whether a job was cancelled, or its submission was stored although it had
/// been withdrawn before. Entries of earlier versions do not check for that.
bool is_cancelled(const stored_job& job);

/// Submissions above this size, in bytes, are large. One that uses all that is
/// allowed, with names of usual length, is below it.
inline constexpr std::size_t large_submission_bytes = 16UL * 1024;

/// All jobs in the store, by id.
struct job_index {
    std::map<std::string, stored_job> jobs;
    /// The sum over large submissions.
    std::size_t large_bytes = 0;
    /// The sum over all submissions.
    accepted_work accepted;
};

/// Applies a change of any part of a job. Returns the job's id, or nothing if
/// the key belongs to no job or its value cannot be parsed.
std::optional<std::string> apply(job_index& index, const store_change& change);

/// The state that callers see; nothing if no such job was accepted.
std::optional<JobState> shown_state(const job_index& index,
                                    const std::string& id);

/// The number of accepted jobs of a queue of which no task has started. Jobs
/// whose own queue is gone count for the queue that has its path now.
int waiting_jobs(const job_index& index, const fleet_config& config,
                 const queue_config& queue);

} // namespace celerylift::fleet
