#pragma once

#include <celerylift/kernel/cell_state.hpp>

#include <string>
#include <variant>
#include <vector>

namespace celerylift::kernel {

/// Orders the start of a gang. Its accelerators already count as used.
struct place_gang {
    gang_id gang = 0;
    std::string job;

    bool operator==(const place_gang&) const = default;
};

/// Orders a checkpoint and the stop of a borrowed gang. Its accelerators count
/// as used until end_gang.
struct stop_gang {
    gang_id gang = 0;
    std::string job;
    std::string reclaimed_for;

    bool operator==(const stop_gang&) const = default;
};

using decision = std::variant<place_gang, stop_gang>;

/// Makes all scheduling decisions that are possible now. Called after every
/// event.
std::vector<decision> schedule(cell_state& cell, time_point now);

/// How a gang ended. Completed runs correct the run time estimates; completed
/// and failed ones count for the backend server's circuit breaker.
enum class gang_end { completed, failed, stopped };

/// Returns the accelerators and the backend slot of a gang. Call it only when
/// none of its members can still be running.
void end_gang(cell_state& cell, gang_id id, gang_end how, time_point now);

/// Adopts a gang that already runs, after a change of owner. The workers of its
/// shares must be known to the cell.
void adopt_gang(cell_state& cell, const gang_state& running);

} // namespace celerylift::kernel
