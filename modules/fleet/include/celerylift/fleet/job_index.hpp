#pragma once

#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace celerylift::fleet {

/// What the store holds of one job.
struct stored_job {
    std::optional<Submission> submission;
    std::int64_t submission_revision = 0;
    bool cancelled = false;
    std::optional<Progress> progress;
    std::int64_t progress_revision = 0;
};

/// All jobs as the store shows them.
struct job_index {
    std::map<std::string, stored_job> jobs;
};

/// Takes over a change of any part of a job. Returns the job's id, or nothing
/// where the key belongs to no job or its value can't be read.
std::optional<std::string> apply(job_index& index, const store_change& change);

/// The state that callers are shown; nothing where no such job was accepted.
std::optional<JobState> shown_state(const job_index& index,
                                    const std::string& id);

/// Jobs of a queue that were accepted and of which nothing has started.
int waiting_jobs(const job_index& index, const std::string& queue);

} // namespace celerylift::fleet
