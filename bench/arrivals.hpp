#pragma once

#include <celerylift/error.hpp>
#include <celerylift/kernel/types.hpp>

#include <string>
#include <vector>

namespace celerylift::bench {

/// One job of a recorded or generated day.
struct arrival {
    duration at{0};
    kernel::job job;
    duration actual_run{0};

    bool operator==(const arrival&) const = default;
};

/// Reads a file with one job a line:
///
///   at_ms organisation urgent|patient MEMBERSxACCELERATORS@UNIT declared_ms
///   run_ms
///
/// Empty lines and those that begin with # are passed over. The error names
/// file and line, what was found and what is allowed.
result<std::vector<arrival>> read_arrivals(const std::string& file);

/// The mixes of the two users.
enum class mix { kwela, cwm_sump };

struct mix_settings {
    bench::mix mix = mix::kwela;
    int accelerators = 0; // Of the whole cell.
    double load = 0.9;    // Share of them that the arrivals keep busy.
    duration length{0};
    int organisations = 4;
    std::uint32_t seed = 1;
    double declaration_error = 1; // Up to this factor either way.
};

std::vector<arrival> generate_arrivals(const mix_settings& settings);

} // namespace celerylift::bench
