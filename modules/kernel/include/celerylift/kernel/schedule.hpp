#pragma once

#include <celerylift/kernel/cell_state.hpp>

#include <string>
#include <variant>
#include <vector>

namespace celerylift::kernel {

/// Start this gang. The accelerators are counted as used from now on.
struct place_gang {
    gang_id gang = 0;
    std::string job;

    bool operator==(const place_gang&) const = default;
};

/// Checkpoint and stop this borrowed gang. Its accelerators stay counted
/// until end_gang.
struct stop_gang {
    gang_id gang = 0;
    std::string job;
    std::string reclaimed_for;

    bool operator==(const stop_gang&) const = default;
};

using decision = std::variant<place_gang, stop_gang>;

/// Decides what happens now. Called after every event.
std::vector<decision> schedule(cell_state& cell, time_point now);

/// How a gang ended, for what the cell learns from it.
enum class gang_end { completed, failed, stopped };

/// Gives the accelerators and the slot of a gang back, once none of its
/// members can be running.
void end_gang(cell_state& cell, gang_id id, gang_end how, time_point now);

/// Takes over a gang that runs already, after a change of owner. `members`
/// name workers that the cell knows.
void adopt_gang(cell_state& cell, const gang_state& running);

} // namespace celerylift::kernel
