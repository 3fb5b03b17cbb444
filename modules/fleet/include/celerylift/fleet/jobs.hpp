#pragma once

#include <celerylift/fleet/config.hpp>
#include <celerylift/fleet/names.hpp>
#include <celerylift/fleet/resources.hpp>
#include <celerylift/time.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// A task waits, is assigned to an agent under one run number, and waits again
/// or ends. Only `done` and `failed` are final.
enum class task_phase { waiting, assigned, done, failed };

struct task {
    task_name name;
    task_phase phase = task_phase::waiting;
    int run = 0; // Number of the latest run; 0 before the first.
    int failures = 0;
    /// Backend servers that crashed under runs of the task, and how many of
    /// them ran only tasks of its job then.
    int crashes = 0;
    int sole_crashes = 0;
    /// Runs that ended with their server while its agent was away as well: the
    /// server may have crashed, or the host may have lost power.
    int unexplained_losses = 0;
    /// The incarnation that the last crash ended, and how many jobs had runs
    /// there. Not on record.
    std::string crash;
    int jobs_of_crash = 0;
    /// The latest runs whose crash was counted, in order.
    std::vector<int> crashed_runs;
    std::string agent;
    std::string incarnation;
    std::string checkpoint;

    /// The version of the job that must be stored before the start is ordered.
    std::uint64_t assigned_version = 0;
    /// The version of the job that holds the last crash counted.
    std::uint64_t crash_version = 0;
    bool stopping = false;
    bool seen_running = false;
    /// The run that succeeded. A later run may still be assigned until it has
    /// been stopped.
    int completed_run = 0;
    /// This owner has started the run, without a checkpoint.
    bool started_from_scratch = false;
    /// This owner has started the run from a checkpoint, and no progress has
    /// been seen yet.
    bool is_restoring = false;
    /// A task is moved away from a slow server only once.
    bool moved_from_slow_server = false;
    /// Work that preemptions have lost so far.
    double lost_core_seconds = 0;
    int stalls = 0; // Runs that were stopped because they stalled.
    /// The run has ended or cannot start, while other members of its gang may
    /// still run.
    bool ended_in_gang = false;
    /// The run of the gang whose failure was counted when this task failed.
    int counted_failed_run = 0;
    /// Progress as the backend server reports it; the time is of its clock.
    int percent = 0;
    int first_seen_percent = 0;
    std::int64_t first_seen_ms = 0;
    time_point assigned_at{};
    time_point first_seen_running_at{}; // In the current run.
    time_point waiting_since{};
    std::string avoid_agent; // Where the task last failed or stalled.
    time_point last_failed_at{};
};

/// The tasks of a step in one occurrence of the job.
struct step_run {
    std::vector<task> tasks;
    /// Complete runs of the tasks under this owner, and their total duration.
    int timed_runs = 0;
    duration total_run_time{0};
};

/// One execution of all steps of a job. Only recurring jobs have several.
struct occurrence {
    int number = 0;
    std::vector<step_run> steps;
};

/// A job, the progress of its tasks, and what of that is stored.
struct job {
    Submission submission;
    /// The queue with the terms on record, which hold while the configuration
    /// does not have it. Nothing if an earlier version has accepted the job,
    /// and the queue has not been in force since.
    std::optional<queue_config> recorded_queue;
    JobState state = JOB_PENDING;
    bool begun = false;
    bool cancelled = false;
    std::vector<occurrence> occurrences;
    std::int64_t ended_unix_ms = 0;

    std::uint64_t version = 0; // Rises with each change that must be stored.
    std::uint64_t stored_version = 0;
    std::int64_t record_revision = 0; // Of the progress record in the store.
    bool write_in_flight = false;
    /// Until then the next start of a gang is expected, which needs a write. A
    /// write for its ends alone would hold that one up.
    time_point write_held_until{};
    time_point checkpoints_stored_at{};
    time_point first_seen_at{};
};

/// A job as submitted, before any of its tasks runs.
job make_job(const Submission& submission, time_point now);

/// Restores the progress that an earlier owner has recorded.
void restore(job& job, const Progress& progress, std::int64_t revision,
             time_point now);

/// The progress record of a job, as it is stored.
Progress to_record(const job& job);

/// Adds the occurrences that are due at `unix_ms`. Returns whether any are.
bool add_due_occurrences(job& job, std::int64_t unix_ms, time_point now);

bool is_final(JobState state);
bool is_final(const task& task);
bool has_succeeded(const task& task);
bool is_done(const step_run& step);

/// Whether all steps that a step depends on are done.
bool is_ready(const job& job, const occurrence& occurrence, int step);

/// Whether all occurrences are done, and no further one will be added.
bool is_completed(const job& job);

task* find_task(job& job, const task_name& name);
const task* find_task(const job& job, const task_name& name);

/// The resources that one task of a step takes from a server's capacity.
resources need_of(const Step& step);

const Step& step_of(const job& job, const task_name& name);

} // namespace celerylift::fleet
