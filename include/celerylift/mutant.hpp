#pragma once

#include <string_view>

namespace celerylift {

#ifdef CELERYLIFT_MUTANTS
/// The deliberate fault that a test build has been told to show.
inline std::string_view active_mutant;

inline bool is_mutant(std::string_view name) {
    return active_mutant == name;
}
#else
/// Deliberate faults, with which tests show that their checks can fail. A
/// normal build contains none of them.
constexpr bool is_mutant(std::string_view) {
    return false;
}
#endif

} // namespace celerylift
