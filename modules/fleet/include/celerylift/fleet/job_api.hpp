#pragma once

#include <celerylift/fleet/accepted_limits.hpp>
#include <celerylift/fleet/cell_load.hpp>
#include <celerylift/fleet/config.hpp>
#include <celerylift/fleet/job_index.hpp>
#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/store.hpp>
#include <celerylift/fleet/store_outage.hpp>
#include <celerylift/fleet/withdrawals.hpp>

#include <fleet.pb.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace celerylift::fleet {

/// What identifies the caller and the target of a call.
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
///   invalid          the request cannot be parsed or can never be fulfilled
///   unauthorised     no organisation has this key
///   unknown_queue    no queue has this path
///   unknown_job      no such job was accepted
///   not_run          the job was not accepted and never runs
///   unavailable      nothing is known now; the call has submitted no job
///   outcome_unknown  the call may have taken effect; it is safe to repeat it
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

/// Serves callers that submit, query and cancel jobs. Any entry serves any
/// call; transactions of the store decide between concurrent ones.
struct job_api {
    runtime& run;
    store& records;
    std::shared_ptr<const fleet_config> config;
    job_index* jobs = nullptr;
    /// Reports an item that was written or read to the cache of the store.
    std::function<void(const store_item&)> observe;
    /// The outage that calls to the store would meet now.
    std::function<store_outage()> outage;
    /// Spreads the return of rejected callers.
    std::minstd_rand random{};
    /// What large submissions on record may take together, in bytes; more of
    /// them are rejected until some have gone.
    std::size_t max_large_bytes = 10UL * 1024 * 1024;
    /// What all jobs on record may take together.
    accepted_limits limits = derive_accepted_limits(default_entry_memory_mb);
    /// Jobs that this entry is writing to the store.
    accepted_work in_flight{};
    /// The newest load that the owner has published. Without it, or once it is
    /// old, jobs are admitted.
    std::optional<known_load> load{};
    bool refuse_by_load = true;
    /// Of jobs that callers of this entry have cancelled and nobody has stored.
    withdrawals withdrawn{};
    /// When the process ends, if it is stopping. All calls are answered before.
    std::optional<time_point> ends_at{};
};

/// `job` needs its id, payload and steps; queue, organisation and time of
/// submission are set here.
void submit(job_api& api, const caller& from, const result<Submission>& job,
            answer_callback done);
void show_state(job_api& api, const caller& from, const std::string& id,
                answer_callback done);
void cancel(job_api& api, const caller& from, const std::string& id,
            answer_callback done);
void count_waiting(job_api& api, const caller& from, answer_callback done);

/// Describes what makes a job invalid by itself; empty if it is valid.
std::string validation_error(const Submission& job);

} // namespace celerylift::fleet
