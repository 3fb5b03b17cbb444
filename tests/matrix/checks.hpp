#pragma once

#include "faults.hpp"
#include "scenario.hpp"

#include <string>
#include <vector>

namespace celerylift::matrix {

/// Checks the replies to the callers and the records of the fakes against the
/// invariants. Returns one line per violation.
std::vector<std::string> check_all(scenario_run& run,
                                   const std::vector<fault_kind>& faults);

} // namespace celerylift::matrix
