// What callers are told while the store is away.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/store_outage.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <optional>

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

// Each page had one second. Over a narrow link it takes longer, and the entries
// asked for it again for ever.
TEST(restart_of_all_entries, over_narrow_links_reads_the_jobs) {
    virtual_fleet fleet;
    fleet.submit(make_job("00000000000000aa", "ms=60000", 1, small));
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    fleet.store.page_time = duration{4500};
    fleet.sim.run_for(duration{1200});
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    EXPECT_TRUE(fleet.sim.run_until(
        [&] { return fleet.entry(1).is_ready() && fleet.owner_entry() != 0; },
        duration{20'000}));
    EXPECT_TRUE(fleet.show("00000000000000aa").kind ==
                fleet::answer_kind::shown);
}

// A watch had a fixed time, whatever it had to bring. Over a narrow link an
// entry that had stood still asked for the same changes again for ever.
TEST(watch_over_a_narrow_link, brings_what_an_entry_has_missed) {
    virtual_fleet fleet;
    const int paused = fleet.owner_entry() % 3 + 1;
    const int other = paused % 3 + 1;
    fleet.store.job_watch_times[fmt::format("entry-{}", paused)] =
        duration{4000};
    fleet.pause_entry(paused, duration{5000});
    fleet.submit(make_job("00000000000000aa", "ms=60000", 1, small), other);
    fleet.sim.run_for(duration{5000});
    EXPECT_TRUE(fleet.wait_for_state("00000000000000aa", fleet::JOB_RUNNING,
                                     duration{20'000}, paused));
    EXPECT_TRUE(fleet.entry(paused).is_ready());
}

// An entry that could not read what had changed kept the ownership, and nothing
// was decided until it could.
TEST(owner_over_a_narrow_link, hands_on_to_an_entry_that_has_read_the_jobs) {
    virtual_fleet fleet;
    const int old_owner = fleet.owner_entry();
    // The first to claim the cell once its owner is gone.
    const int successor = old_owner == 1 ? 2 : 1;
    fleet.store.job_watch_times[fmt::format("entry-{}", successor)] =
        duration{60'000};
    fleet.kill_entry(old_owner);
    const int third = 6 - old_owner - successor;
    fleet.submit_async(make_job("00000000000000aa", "ms=100", 1, small), third,
                       "kwela-key", "/normal/");
    EXPECT_TRUE(fleet.wait_for_state("00000000000000aa", fleet::JOB_COMPLETED,
                                     duration{12'000}, third));
    EXPECT_EQ(fleet.owner_entry(), third);
}

// An entry claimed the cell before it had read the jobs, and kept it.
TEST(restart_of_all_entries, is_led_by_an_entry_that_can_read_the_jobs) {
    virtual_fleet fleet;
    fleet.submit(make_job("00000000000000aa", "ms=9000", 1, small), 2);
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    fleet.store.client_faults["entry-1"] = store_fault::no_job_pages;
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    EXPECT_TRUE(fleet.wait_for_state("00000000000000aa", fleet::JOB_COMPLETED,
                                     duration{14'000}, 2));
    EXPECT_NE(fleet.owner_entry(), 1);
}

// A write of records had a fixed second. Over a narrow link the record of a job
// with many tasks was sent again for ever, and none of them started.
TEST(owner_over_a_narrow_link, stores_the_record_of_a_job_with_many_tasks) {
    virtual_fleet fleet;
    fleet.store.written_bytes_per_s = 12'000;
    fleet.submit(make_job("00000000000000aa", "ms=200", 600, {100, 100, 0}));
    EXPECT_TRUE(fleet.wait_for_state("00000000000000aa", fleet::JOB_COMPLETED,
                                     duration{40'000}));
    EXPECT_EQ(fleet.history.starts, 600);
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

// Calls that were still open when an entry ended were told that they had been
// rejected, whatever had become of their writes.
TEST(submission_to_a_stopping_entry, is_answered_as_unknown_before_it_ends) {
    for (const auto fault :
         {store_fault::lost_replies, store_fault::delayed_writes}) {
        virtual_fleet fleet;
        fleet.store.fault = fault;
        const auto ends_at = fleet.sim.now + duration{1000};
        fleet.entry(1).stop(ends_at);
        const auto answer =
            fleet.submit(make_job("00000000000000aa", "ms=100", 1, small));
        EXPECT_EQ(answer.kind, fleet::answer_kind::outcome_unknown);
        EXPECT_LT(fleet.sim.now, ends_at);
    }
}

TEST(submission_to_a_stopping_entry, that_was_open_before_is_answered_too) {
    virtual_fleet fleet;
    fleet.store.fault = store_fault::lost_replies;
    std::optional<fleet::answer> answer;
    const auto job = make_job("00000000000000aa", "ms=100", 1, small);
    fleet::submit(fleet.entry(1).api(),
                  {"host", "/normal/" + job.id(), "kwela-key",
                   fleet.sim.now + duration{3000}},
                  job, [&](const fleet::answer& a) { answer = a; });
    fleet.sim.run_for(duration{500});
    const auto ends_at = fleet.sim.now + duration{1500};
    fleet.entry(1).stop(ends_at);
    fleet.sim.run_until([&] { return answer.has_value(); }, duration{3000});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, fleet::answer_kind::outcome_unknown);
    EXPECT_LT(fleet.sim.now, ends_at);
}

TEST(submission_to_a_stopping_entry, that_comes_too_late_never_runs) {
    virtual_fleet fleet;
    fleet.entry(1).stop(fleet.sim.now + duration{200});
    const auto answer =
        fleet.submit(make_job("00000000000000aa", "ms=100", 1, small));
    EXPECT_EQ(answer.kind, fleet::answer_kind::not_run);
    fleet.sim.run_for(duration{3000});
    EXPECT_EQ(fleet.history.starts, 0);
}

} // namespace celerylift::test
