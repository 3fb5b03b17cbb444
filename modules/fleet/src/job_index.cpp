#include <celerylift/fleet/job_index.hpp>

#include <celerylift/fleet/jobs.hpp>
#include <celerylift/fleet/names.hpp>
#include <celerylift/fleet/withdrawals.hpp>

#include <utility>

namespace celerylift::fleet {

namespace {

std::size_t large(std::size_t bytes) {
    return bytes > large_submission_bytes ? bytes : 0;
}

void remove_submission(job_index& index, stored_job& job) {
    if (!job.submission)
        return;
    index.large_bytes -= large(job.submission_bytes);
    remove(index.accepted, job.submission->organisation(),
           totals_of(*job.submission, job.submission_bytes));
    job.submission.reset();
    job.submission_bytes = 0;
}

void set_submission(job_index& index, stored_job& job, Submission submission,
                    std::size_t bytes) {
    remove_submission(index, job);
    index.large_bytes += large(bytes);
    add(index.accepted, submission.organisation(),
        totals_of(submission, bytes));
    job.submission = std::move(submission);
    job.submission_bytes = bytes;
}

void remove_part(job_index& index, const job_key_parts& key) {
    auto found = index.jobs.find(key.id);
    if (found == index.jobs.end())
        return;
    auto& job = found->second;
    if (key.part == job_part::submission)
        remove_submission(index, job);
    if (key.part == job_part::cancellation) {
        job.cancelled = false;
        job.withdrawal_revision = 0;
    }
    if (key.part == job_part::progress)
        job.progress.reset();
    if (!job.submission && !job.cancelled && job.withdrawal_revision == 0 &&
        !job.progress)
        index.jobs.erase(found);
}

bool set_part(job_index& index, stored_job& job, job_part part,
              const store_item& item) {
    if (part == job_part::cancellation) {
        job.cancelled = !is_withdrawal(item.value);
        job.withdrawal_revision = job.cancelled ? 0 : item.revision;
        return true;
    }
    if (part == job_part::submission) {
        Submission submission;
        if (!submission.ParseFromString(item.value))
            return false;
        set_submission(index, job, std::move(submission), item.value.size());
        job.submission_revision = item.revision;
        return true;
    }
    Progress progress;
    if (!progress.ParseFromString(item.value))
        return false;
    job.progress = std::move(progress);
    job.progress_revision = item.revision;
    return true;
}

const QueueTerms* terms_of(const stored_job& job) {
    if (job.progress && job.progress->has_terms())
        return &job.progress->terms();
    return job.submission->has_terms() ? &job.submission->terms() : nullptr;
}

/// Whether callers find an accepted job at the path of a queue.
bool belongs_to(const stored_job& job, const fleet_config& config,
                const queue_config& queue) {
    if (job.submission->queue() == queue.name)
        return true;
    const auto* terms = terms_of(job);
    if (!terms || find_queue(config, job.submission->queue()))
        return false;
    const auto* found = find_queue(config, terms->host(), terms->path_prefix());
    return found && found->name == queue.name;
}

} // namespace

bool is_cancelled(const stored_job& job) {
    if (job.cancelled || job.withdrawal_revision == 0 || !job.submission)
        return job.cancelled;
    return !job.submission->expected_no_withdrawal() ||
           job.submission_revision < job.withdrawal_revision;
}

std::optional<std::string> apply(job_index& index, const store_change& change) {
    const auto key = parse_job_key(change.item.key);
    if (!key)
        return std::nullopt;
    if (change.removed)
        remove_part(index, *key);
    else if (!set_part(index, index.jobs[key->id], key->part, change.item))
        return std::nullopt;
    return key->id;
}

std::optional<JobState> shown_state(const job_index& index,
                                    const std::string& id) {
    const auto found = index.jobs.find(id);
    if (found == index.jobs.end() || !found->second.submission)
        return std::nullopt;
    const auto& job = found->second;
    if (job.progress && is_final(job.progress->state()))
        return job.progress->state();
    if (is_cancelled(job))
        return JOB_CANCELLED;
    return job.progress ? job.progress->state() : JOB_PENDING;
}

int waiting_jobs(const job_index& index, const fleet_config& config,
                 const queue_config& queue) {
    int count = 0;
    for (const auto& [id, job] : index.jobs) {
        if (!job.submission || is_cancelled(job) ||
            !belongs_to(job, config, queue))
            continue;
        const bool begun = job.progress && (job.progress->begun() ||
                                            is_final(job.progress->state()));
        count += begun ? 0 : 1;
    }
    return count;
}

} // namespace celerylift::fleet
