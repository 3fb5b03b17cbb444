#pragma once

#include <celerylift/error.hpp>
#include <celerylift/kernel/cell_state.hpp>

#include <optional>

namespace celerylift::kernel {

/// Says why a job is refused at once: its organisation is unknown, its queue
/// is full, or the cell could never run it, even when it were empty.
std::optional<error> check_admission(const cell_state& cell, const job& job);

/// Puts an admitted job into the queue. `avoid` names workers on which it
/// has failed.
void enqueue(cell_state& cell, const job& job, time_point now,
             std::set<int> avoid = {});

/// Takes a job out of the queue, together with what is held for it. Returns
/// false where it doesn't wait.
bool remove_waiting(cell_state& cell, const std::string& id);

/// Puts a job that lost its claim back among those that wait.
void rejoin_group(cell_state& cell, waiting_job& waiting);

/// Takes a waiting job out of its group while it holds a claim.
void leave_group(cell_state& cell, const waiting_job& waiting);

group_key key_of(const cell_state& cell, const job& job);

} // namespace celerylift::kernel
