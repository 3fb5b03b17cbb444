#include <celerylift/kernel/estimates.hpp>

#include <algorithm>
#include <cmath>

namespace celerylift::kernel {

namespace {

/// Weight of a new observation in the exponential moving average.
constexpr double learning_rate = 0.1;
constexpr double max_correction = 20.0;

const organisation_state* find_organisation(const cell_state& cell,
                                            const job& job) {
    auto it = cell.organisation_index.find(job.organisation);
    return it == cell.organisation_index.end()
               ? nullptr
               : &cell.organisations[it->second];
}

} // namespace

duration estimate_run(const cell_state& cell, const job& job) {
    const auto* org = find_organisation(cell, job);
    if (!org)
        return job.declared_run.count() > 0 ? job.declared_run : default_run;
    const auto u = static_cast<std::size_t>(job.urgency);
    if (job.declared_run.count() > 0)
        return duration{static_cast<std::int64_t>(
            static_cast<double>(job.declared_run.count()) * org->run_ratio[u])};
    if (org->mean_run_ms[u] > 0)
        return duration{static_cast<std::int64_t>(org->mean_run_ms[u])};
    return default_run;
}

void record_run(cell_state& cell, const job& job, duration actual) {
    auto it = cell.organisation_index.find(job.organisation);
    if (it == cell.organisation_index.end() || actual.count() <= 0)
        return;
    auto& org = cell.organisations[it->second];
    const auto u = static_cast<std::size_t>(job.urgency);
    const auto ms = static_cast<double>(actual.count());
    auto& mean = org.mean_run_ms[u];
    mean = mean > 0 ? mean + learning_rate * (ms - mean) : ms;
    if (job.declared_run.count() <= 0)
        return;
    const double seen = ms / static_cast<double>(job.declared_run.count());
    auto& ratio = org.run_ratio[u];
    ratio *= std::exp(learning_rate * (std::log(seen) - std::log(ratio)));
    ratio = std::clamp(ratio, 1 / max_correction, max_correction);
}

duration remaining_run(const gang_state& gang, time_point now) {
    if (gang.expected_end > now)
        return gang.expected_end - now;
    return now - gang.placed;
}

} // namespace celerylift::kernel
