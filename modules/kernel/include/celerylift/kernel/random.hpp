#pragma once

#include <cstdint>
#include <random>

namespace celerylift::kernel {

/// Advances the seed that is part of the state and returns a number from it,
/// so that a replay draws the same numbers.
inline std::uint64_t next_random(std::uint64_t& seed) {
    std::minstd_rand engine(static_cast<std::uint32_t>(seed));
    seed = engine();
    return seed;
}

} // namespace celerylift::kernel
