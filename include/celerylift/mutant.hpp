#pragma once

#include <string_view>

namespace celerylift {

#ifdef CELERYLIFT_MUTANTS
/// Name of the fault that the test build injects. Empty injects none.
inline std::string_view active_mutant;

inline bool is_mutant(std::string_view name) {
    return active_mutant == name;
}
#else
/// Whether the named fault is injected. Tests inject faults to verify that
/// their checks detect them. A normal build contains no such fault.
constexpr bool is_mutant(std::string_view) {
    return false;
}
#endif

} // namespace celerylift
