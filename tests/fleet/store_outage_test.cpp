// What callers are told while the store is away.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/store_outage.hpp>

#include <gtest/gtest.h>

namespace celerylift::test {

namespace {

using fleet::decide_write;
using fleet::store_outage;
using fleet::write_decision;

constexpr time_point now{duration{1'000'000}};
constexpr fleet::resources small{8'000, 16'000, 1};

} // namespace

TEST(write_during_an_outage, is_held_until_the_caller_has_to_be_answered) {
    const store_outage none;
    const store_outage outage{now - duration{500}};
    EXPECT_EQ(decide_write(none, now, now), write_decision::send);
    EXPECT_EQ(decide_write(outage, now, now + duration{1}),
              write_decision::hold);
    EXPECT_EQ(decide_write(outage, now, now), write_decision::reject);
}

TEST(return_of_rejected_callers, is_advised_within_the_bounds) {
    for (std::int64_t lasted_ms = 0; lasted_ms < 4'000'000;
         lasted_ms = lasted_ms * 2 + 1)
        for (double spread = 0; spread <= 1; spread += 0.25) {
            const auto wait =
                fleet::retry_after({now - duration{lasted_ms}}, now, spread);
            EXPECT_GE(wait, fleet::min_retry_after);
            EXPECT_LE(wait, fleet::max_retry_after);
        }
    EXPECT_EQ(fleet::retry_after({}, now, 0), fleet::min_retry_after);
}

TEST(return_of_rejected_callers, is_later_in_a_long_outage_and_spread) {
    const store_outage short_outage{now - duration{1000}};
    const store_outage long_outage{now - duration{8000}};
    EXPECT_LT(fleet::retry_after(short_outage, now, 0),
              fleet::retry_after(long_outage, now, 0));
    EXPECT_LT(fleet::retry_after(long_outage, now, 0),
              fleet::retry_after(long_outage, now, 1));
}

// Each write that was sent to the silent store might have taken effect, so
// callers were told that the outcome was unknown, and some could not repeat
// such a request.
TEST(submission_during_a_known_outage, is_refused_and_never_runs) {
    virtual_fleet fleet;
    fleet.store.fault = store_fault::unresponsive;
    fleet.sim.run_for(duration{3000});
    const auto answer =
        fleet.submit(make_job("00000000000000aa", "ms=100", 1, small));
    EXPECT_EQ(answer.kind, fleet::answer_kind::not_run);
    EXPECT_GE(answer.retry_after, fleet::min_retry_after);
    fleet.store.fault = store_fault::none;
    fleet.sim.run_for(duration{6000});
    EXPECT_EQ(fleet.history.starts, 0);
}

TEST(submission_during_a_known_outage, is_stored_once_the_store_returns) {
    virtual_fleet fleet;
    fleet.store.fault = store_fault::unresponsive;
    fleet.sim.run_for(duration{3000});
    fleet.submit_async(make_job("00000000000000aa", "ms=100", 1, small), 2,
                       "kwela-key", "/normal/");
    fleet.sim.run_for(duration{1000});
    fleet.store.fault = store_fault::none;
    EXPECT_TRUE(fleet.wait_for_state("00000000000000aa", fleet::JOB_COMPLETED,
                                     duration{1500}, 2));
    EXPECT_EQ(fleet.history.starts, 1);
}

} // namespace celerylift::test
