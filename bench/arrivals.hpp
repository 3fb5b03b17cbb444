#pragma once

#include <celerylift/error.hpp>
#include <celerylift/kernel/types.hpp>

#include <string>
#include <vector>

namespace celerylift::bench {

/// One job of a recorded or generated workload.
struct arrival {
    duration at{0};
    kernel::job job;
    duration actual_run{0}; // Can differ from the declared run time.

    bool operator==(const arrival&) const = default;
};

/// Reads a file with one job a line:
///
///   at_ms organisation urgent|patient MEMBERSxACCELERATORS@UNIT declared_ms
///   run_ms
///
/// Empty lines and lines that begin with # are skipped. The error states the
/// file, the line, the text found and the allowed format.
result<std::vector<arrival>> read_arrivals(const std::string& file);

/// The workload mixes of the two users.
enum class mix { kwela, cwm_sump };

struct mix_settings {
    bench::mix mix = mix::kwela;
    int accelerators = 0; // In the whole cell.
    double load = 0.9;    // Share of the accelerators that the jobs occupy.
    duration length{0};
    int organisations = 4;
    std::uint32_t seed = 1;
    double declaration_error = 1; // Maximum factor, up or down.
};

std::vector<arrival> generate_arrivals(const mix_settings& settings);

} // namespace celerylift::bench
