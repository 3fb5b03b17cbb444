#pragma once

#include <celerylift/error.hpp>
#include <celerylift/kernel/cell_state.hpp>

#include <optional>

namespace celerylift::kernel {

/// Returns why a job must be rejected on submission: its organisation or its
/// service is unknown, the organisation's queue is full, or the job would not
/// fit even into an empty cell. Returns nothing if the job is admitted.
std::optional<error> check_admission(const cell_state& cell, const job& job);

/// Puts an admitted job into the queue. `avoid` has the indices of workers on
/// which it has failed.
void enqueue(cell_state& cell, const job& job, time_point now,
             std::set<int> avoid = {});

/// Removes a job from the queue and releases its claim and its reservation.
/// Returns false if it is not waiting.
bool remove_waiting(cell_state& cell, const std::string& id);

/// Puts a waiting job without a claim into its group.
void rejoin_group(cell_state& cell, waiting_job& waiting);

/// Takes a waiting job out of its group, because it gets a claim or leaves the
/// queue.
void leave_group(cell_state& cell, const waiting_job& waiting);

group_key key_of(const cell_state& cell, const job& job);

} // namespace celerylift::kernel
