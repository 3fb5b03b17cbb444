// The checks of the matrix can fail: each deliberate fault in the product is
// caught by some fault at some step.
#include "fleet_story.hpp"

#include <celerylift/mutant.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace celerylift::test {

namespace {

/// The first cell that catches the mutant; empty where none does.
std::string caught_by() {
    for (const auto& what : all_faults())
        for (const int moment : moments) {
            virtual_fleet f;
            const auto broken = play(f, what, moment);
            if (!broken.empty())
                return what.name + ": " + broken.front();
        }
    return "";
}

class deliberate_fault : public ::testing::TestWithParam<const char*> {
protected:
    ~deliberate_fault() override { active_mutant = {}; }
};

} // namespace

TEST_P(deliberate_fault, is_caught) {
    active_mutant = GetParam();
    const auto catch_of = caught_by();
    EXPECT_NE(catch_of, "");
    RecordProperty("caught_by", catch_of);
}

INSTANTIATE_TEST_SUITE_P(all, deliberate_fault,
                         ::testing::Values("give-up-without-barring",
                                           "start-without-record",
                                           "forget-ends-unstored",
                                           "place-before-lapse"),
                         [](const auto& info) {
                             std::string name = info.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

} // namespace celerylift::test
