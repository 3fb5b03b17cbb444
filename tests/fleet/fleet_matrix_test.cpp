// Injects each fault at each fault time of one scenario, and seeded mixes of
// faults. All jobs have to complete, and no invariant may be violated.
#include "fleet_scenario.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <random>

namespace celerylift::test {

namespace {

/// FLEET_LOG=1 prints the log of a failed test.
void expect_no_violations(const virtual_fleet& f,
                          const std::vector<std::string>& violations) {
    for (const auto& violation : violations)
        ADD_FAILURE() << violation;
    if (!violations.empty() && std::getenv("FLEET_LOG"))
        for (const auto& line : f.sim.log)
            fmt::print("{}\n", line);
}

class fault_at_step
    : public ::testing::TestWithParam<std::tuple<std::size_t, int>> {};

class mixed_faults : public ::testing::TestWithParam<int> {};

} // namespace

TEST_P(fault_at_step, violates_no_invariant_and_loses_no_job) {
    const auto [which, begin_ms] = GetParam();
    virtual_fleet f;
    expect_no_violations(f, run_scenario(f, all_faults().at(which), begin_ms));
}

INSTANTIATE_TEST_SUITE_P(
    all, fault_at_step,
    ::testing::Combine(::testing::Range(std::size_t{0}, all_faults().size()),
                       ::testing::ValuesIn(fault_times_ms)),
    [](const auto& info) {
        return fmt::format("{}_{}ms",
                           all_faults().at(std::get<0>(info.param)).name,
                           std::get<1>(info.param));
    });

TEST_P(mixed_faults, violate_no_invariant_and_lose_no_job) {
    std::mt19937 random(static_cast<unsigned>(GetParam()));
    const auto faults = all_faults();
    virtual_fleet f;
    scenario workload{f, {}};
    workload.begin();
    std::vector<std::pair<time_point, std::size_t>> ends;
    for (int n = 0; n < 4; ++n) {
        f.sim.run_for(duration{random() % 900});
        const auto which = random() % faults.size();
        faults[which].begin(f);
        ends.emplace_back(f.sim.now + faults[which].active_time, which);
    }
    std::sort(ends.begin(), ends.end());
    for (const auto& [at, which] : ends) {
        if (f.sim.now < at)
            f.sim.run_for(at - f.sim.now);
        faults[which].end(f);
    }
    restart_entries(f);
    restart_agents(f);
    workload.finish();
    expect_no_violations(f, workload.violations());
}

INSTANTIATE_TEST_SUITE_P(seeds, mixed_faults, ::testing::Range(1, 201));

} // namespace celerylift::test
