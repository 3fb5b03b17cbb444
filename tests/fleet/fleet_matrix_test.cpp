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
void expect_no_violations(const virtual_fleet& fleet,
                          const std::vector<std::string>& violations) {
    for (const auto& violation : violations)
        ADD_FAILURE() << violation;
    if (!violations.empty() && std::getenv("FLEET_LOG"))
        for (const auto& line : fleet.sim.log)
            fmt::print("{}\n", line);
}

class single_fault
    : public ::testing::TestWithParam<std::tuple<std::size_t, int>> {};

class mixed_faults : public ::testing::TestWithParam<int> {};

} // namespace

TEST_P(single_fault, violates_no_invariant_and_loses_no_job) {
    const auto [which, begin_ms] = GetParam();
    virtual_fleet fleet;
    expect_no_violations(fleet,
                         run_scenario(fleet, all_faults().at(which), begin_ms));
}

INSTANTIATE_TEST_SUITE_P(
    all, single_fault,
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
    virtual_fleet fleet;
    scenario workload{fleet, {}};
    workload.begin();
    std::vector<std::pair<time_point, std::size_t>> ends;
    for (int n = 0; n < 4; ++n) {
        fleet.sim.run_for(duration{random() % 900});
        const auto which = random() % faults.size();
        faults[which].begin(fleet);
        ends.emplace_back(fleet.sim.now + faults[which].active_time, which);
    }
    std::sort(ends.begin(), ends.end());
    for (const auto& [at, which] : ends) {
        if (fleet.sim.now < at)
            fleet.sim.run_for(at - fleet.sim.now);
        faults[which].end(fleet);
    }
    restart_entries(fleet);
    restart_agents(fleet);
    workload.finish();
    expect_no_violations(fleet, workload.violations());
}

INSTANTIATE_TEST_SUITE_P(seeds, mixed_faults, ::testing::Range(1, 201));

} // namespace celerylift::test
