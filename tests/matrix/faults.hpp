#pragma once

#include "scenario.hpp"

#include <string>
#include <vector>

namespace celerylift::matrix {

/// A fault and the consequences that the checks allow.
struct fault_kind {
    std::string name;
    void (*inject)(scenario_run& run, const base::event& at);

    /// Duration of the fault itself.
    duration duration_of_fault{0};

    /// Whether non-repeatable work may end as unknown or failed.
    bool may_lose_once = false;

    /// Whether the fault is a planned stop, which must lose no work.
    bool planned = false;
};

const std::vector<fault_kind>& all_faults();

} // namespace celerylift::matrix
