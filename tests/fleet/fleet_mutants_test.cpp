// Shows that the checks of the fault matrix can fail: each mutant of the
// product causes a violation under some fault at some fault time.
#include "fleet_scenario.hpp"

#include <celerylift/mutant.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace celerylift::test {

namespace {

/// The first fault under which the active mutant causes a violation, and the
/// violation. Empty if no fault detects the mutant.
std::string first_detection() {
    for (const auto& injected : all_faults())
        for (const int begin_ms : fault_times_ms) {
            virtual_fleet fleet;
            const auto violations = run_scenario(fleet, injected, begin_ms);
            if (!violations.empty())
                return injected.name + ": " + violations.front();
        }
    return "";
}

class product_mutant : public ::testing::TestWithParam<const char*> {
protected:
    ~product_mutant() override { active_mutant = {}; }
};

} // namespace

TEST_P(product_mutant, is_detected) {
    active_mutant = GetParam();
    const auto detection = first_detection();
    EXPECT_NE(detection, "");
    RecordProperty("caught_by", detection);
}

INSTANTIATE_TEST_SUITE_P(all, product_mutant,
                         ::testing::Values("give-up-without-barring",
                                           "start-without-record",
                                           "forget-ends-unstored",
                                           "place-before-lapse"),
                         [](const auto& info) {
                             std::string name = info.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

// The owner and the agents check the failure domains independently of each
// other, so the faults above show neither check alone.
TEST(evacuation_mutant, of_the_owner_is_detected) {
    EXPECT_EQ(assign_out_of_service(), 0);
    active_mutant = "place-out-of-service";
    EXPECT_GT(assign_out_of_service(), 0);
    active_mutant = {};
}

TEST(evacuation_mutant, of_the_agents_is_detected) {
    EXPECT_EQ(start_delayed_orders(), 0);
    active_mutant = "start-out-of-service";
    EXPECT_GT(start_delayed_orders(), 0);
    active_mutant = {};
}

} // namespace celerylift::test
