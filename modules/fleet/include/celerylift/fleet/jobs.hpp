#pragma once

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

/// A task waits, is assigned to an agent under one run number, and ends. Only
/// `done` and `failed` are final.
enum class task_phase { waiting, assigned, done, failed };

struct task {
    task_name name;
    task_phase phase = task_phase::waiting;
    int run = 0; // Of the latest start, 0 before the first.
    int failures = 0;
    std::string agent;
    std::string incarnation;
    std::string checkpoint;

    /// The job's version that must be stored before the start is ordered.
    std::uint64_t assigned_version = 0;
    bool stopping = false;
    bool seen_running = false;
    int completed_run = 0; // The run that was done.
    bool started_from_scratch =
        false; // This owner has started it, with nothing saved.
    bool moved_from_slow_server = false; // Once, for its server's slowness.
    double lost_core_seconds = 0;        // By stops for other work, so far.
    int stalls = 0; // Runs that were ended because they stood still.
    /// Has ended or can't begin, while other members of its gang may run.
    bool ended_in_gang = false;
    int counted_failed_run =
        0; // The gang's run whose failure it was counted for.
    /// Progress as the server lists it, by the server's clock.
    int percent = 0;
    int first_seen_percent = 0;
    std::int64_t first_seen_ms = 0;
    time_point assigned_at{};
    time_point
        first_seen_running_at{}; // Running, for the first time in this run.
    time_point waiting_since{};
    std::string avoid_agent; // Where it failed or stood still last.
};

struct step_run {
    std::vector<task> tasks;
    /// What whole runs of its tasks took under this owner.
    int timed_runs = 0;
    duration total_run_time{0};
};

/// One time that the steps of a job run; most jobs have just one.
struct occurrence {
    int number = 0;
    std::vector<step_run> steps;
};

struct job {
    Submission submission;
    JobState state = JOB_PENDING;
    bool begun = false;
    bool cancelled = false;
    std::vector<occurrence> occurrences;
    std::int64_t ended_unix_ms = 0;

    std::uint64_t version = 0; // Rises with each change of what is stored.
    std::uint64_t stored_version = 0;
    std::int64_t record_revision = 0; // Of the progress record in the store.
    bool write_in_flight = false;
    time_point checkpoints_stored_at{};
    time_point first_seen_at{};
};

/// A job as it was handed in, with nothing run yet.
job make_job(const Submission& submission, time_point now);

/// Takes over what an earlier owner has recorded.
void restore(job& job, const Progress& progress, std::int64_t revision,
             time_point now);

/// What is to be recorded of a job.
Progress to_record(const job& job);

/// Adds the occurrences whose time has come. Returns whether there are any.
bool add_due_occurrences(job& job, std::int64_t unix_ms, time_point now);

bool is_final(JobState state);
bool is_final(const task& task);
bool is_done(const step_run& step);

/// Whether all steps that a step waits for are done.
bool is_ready(const job& job, const occurrence& occurrence, int step);

/// Whether every occurrence there will ever be has been done.
bool is_completed(const job& job);

task* find_task(job& job, const task_name& name);
const task* find_task(const job& job, const task_name& name);

/// What one task takes from a backend server's capacity.
resources need_of(const Step& step);

const Step& step_of(const job& job, const task_name& name);

} // namespace celerylift::fleet
