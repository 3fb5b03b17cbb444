#pragma once

#include <cstdint>
#include <random>

namespace celerylift::kernel {

/// Advances `seed` and returns a number from it. The seed is part of the cell's
/// state, so that a replay draws the same numbers.
inline std::uint64_t next_random(std::uint64_t& seed) {
    std::minstd_rand engine(static_cast<std::uint32_t>(seed));
    seed = engine();
    return seed;
}

} // namespace celerylift::kernel
