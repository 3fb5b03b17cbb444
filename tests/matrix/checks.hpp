#pragma once

#include "faults.hpp"
#include "story.hpp"

#include <string>
#include <vector>

namespace celerylift::matrix {

/// Compares what the callers were told and what the fakes recorded with what
/// must always hold. Returns a line for each violation.
std::vector<std::string> check_all(story_run& run,
                                   const std::vector<fault_kind>& faults);

} // namespace celerylift::matrix
