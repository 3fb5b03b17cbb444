#pragma once

#include "story.hpp"

#include <string>
#include <vector>

namespace celerylift::matrix {

/// What may follow from a fault, for the checks.
struct fault_kind {
    std::string name;
    void (*inject)(story_run& run, const base::event& at);

    /// For how long the fault itself lasts.
    duration lasts{0};

    /// Whether work that must not be repeated may end as unknown or failed.
    bool may_lose_once = false;

    /// Whether the fault is a planned stop, which loses nothing.
    bool planned = false;
};

const std::vector<fault_kind>& all_faults();

} // namespace celerylift::matrix
