#pragma once

#include "virtual/virtual_cell.hpp"

#include <celerylift/protocol/convert.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace celerylift::matrix {

namespace api = celerylift::v1;

/// The workloads during which faults are injected.
enum class scenario { request, ownership, leaving };

/// The state of one caller. It retries at the next entry, with the same id,
/// until it knows the outcome of its job.
struct caller_record {
    api::JobSpec spec;
    std::uint64_t call = 0;
    time_point asked{};
    int next_entry = 0;
    bool accepted = false;
    bool durable = false; // Told that the job is stored.
    bool cancelled = false;
    std::optional<api::JobStatus> outcome;
    bool outcome_again_differs = false;
    std::optional<api::Error> refusal; // Set if the final reply is an error.
    bool ran_when_refused = false;
};

/// A cell with its callers and operators.
struct scenario_run {
    fakes::virtual_cell cell;
    scenario which = scenario::request;
    std::map<std::string, caller_record> callers;
    std::map<std::uint64_t, std::string> call_entries; // Call number to entry.
    std::int64_t accepted_revision = 0;
    time_point accepted_at{};
    std::optional<time_point> backend_left_at;
    std::optional<time_point> reclaim_requested_at;
    std::optional<time_point> reclaim_done_at;
    std::map<std::string, std::int64_t> revisions; // By process.
    std::vector<std::string> violations;           // Found while running.
    std::function<void(const base::event&)> on_event;

    /// Calls `see` with each event, after the scenario's own observer.
    void set_observer(std::function<void(const base::event&)> see) {
        on_event = std::move(see);
    }

    bool all_ended() const;
};

/// Starts a cell with an active owner and two organisations.
std::unique_ptr<scenario_run> begin_scenario(scenario which);

/// Adds a caller that submits a job and follows it until it ends.
void add_caller(scenario_run& run, const api::JobSpec& spec);

/// Starts the workload. Timers of the cell drive it from then on.
void start_workload(scenario_run& run);

/// Advances the callers. Called every 50 ms of virtual time.
void drive_callers(scenario_run& run);

/// Submits a burst of small jobs.
void burst(scenario_run& run, int jobs);

/// Cancels every job that has not ended.
void cancel_everything(scenario_run& run);

/// Changes the same organisation at two entries concurrently.
void race_operators(scenario_run& run);

std::string live_entry(const scenario_run& run, int after);

} // namespace celerylift::matrix
