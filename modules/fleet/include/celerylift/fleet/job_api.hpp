#pragma once

#include <celerylift/fleet/config.hpp>
#include <celerylift/fleet/job_index.hpp>
#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <functional>
#include <memory>
#include <string>

namespace celerylift::fleet {

/// What a caller sends besides the call itself.
struct caller {
    std::string host;
    std::string path;
    std::string key;
    /// When the caller stops waiting for the answer.
    time_point deadline{};
};

/// How a call ended.
///   accepted         the job is stored, or its cancellation is
///   shown            `state` holds the job's state
///   counted          `waiting` holds a queue's waiting jobs
///   invalid          the request can't be read or can never be done
///   unauthorised     no organisation has this key
///   unknown_queue    no queue has this path
///   unknown_job      no such job was accepted
///   not_run          the job was not accepted and never runs
///   unavailable      nothing is known now; no job was handed in by the call
///   outcome_unknown  the same job may be handed in again
enum class answer_kind {
    accepted,
    shown,
    counted,
    invalid,
    unauthorised,
    unknown_queue,
    unknown_job,
    not_run,
    unavailable,
    outcome_unknown
};

struct answer {
    answer_kind kind = answer_kind::unavailable;
    JobState state = JOB_PENDING;
    int waiting = 0;
    std::string message;
    duration retry_after{0};
};

using answer_callback = std::function<void(const answer&)>;

/// Where callers hand jobs in, ask for them and cancel them. Any entry serves
/// any call; the store decides.
struct job_api {
    runtime& run;
    store& records;
    std::shared_ptr<const fleet_config> config;
    job_index* jobs = nullptr;
    /// Shows an item that was written or read to the mirror of the store.
    std::function<void(const store_item&)> observe;
};

/// `job` needs its id, payload and steps; the rest is filled in.
void submit(job_api& api, const caller& from, const result<Submission>& job,
            answer_callback done);
void show_state(job_api& api, const caller& from, const std::string& id,
                answer_callback done);
void cancel(job_api& api, const caller& from, const std::string& id,
            answer_callback done);
void count_waiting(job_api& api, const caller& from, answer_callback done);

/// Checks what is wrong with a job by itself; empty where nothing is.
std::string validation_error(const Submission& job);

} // namespace celerylift::fleet
