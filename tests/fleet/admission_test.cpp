// Which jobs the cell accepts: what its entries can hold, and what its servers
// can still run in time.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/accepted_limits.hpp>
#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace celerylift::test {

namespace {

using fleet::accepted_bound;
using fleet::answer_kind;

constexpr fleet::resources small{8'000, 16'000, 1};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

/// A legal job that no server can run.
fleet::Submission waiting_job(int n, int tasks) {
    auto job = make_job(job_id(n), "ms=10", tasks, small);
    job.mutable_steps(0)->set_required_label("none");
    return job;
}

constexpr fleet::accepted_totals jobs_of(std::int64_t jobs,
                                         std::int64_t tasks) {
    return {jobs, tasks, jobs * 300};
}

} // namespace

// ---- What all jobs on record may take ----

TEST(accepted_limits, leave_room_for_ordinary_load_on_small_machines) {
    for (const int memory_mb : {128, 160, 260}) {
        const auto limits = fleet::derive_accepted_limits(memory_mb);
        const auto organisation = jobs_of(7'000, 15'000);
        EXPECT_FALSE(
            find_exceeded(limits, jobs_of(8'000, 25'000), {}, jobs_of(1, 1)));
        if (memory_mb >= 160) {
            EXPECT_FALSE(find_exceeded(limits, organisation, organisation,
                                       jobs_of(1, 500)));
        }
        EXPECT_FALSE(find_exceeded(limits, {}, {}, {1, 8'000, 262'144}))
            << "the largest job that is valid";
    }
}

TEST(accepted_limits, name_the_first_that_a_job_would_exceed) {
    const fleet::accepted_limits limits{{100, 80'000, 1'000'000}};
    const auto exceeded = [&](const fleet::accepted_totals& all,
                              const fleet::accepted_totals& organisation,
                              const fleet::accepted_totals& job) {
        return find_exceeded(limits, all, organisation, job);
    };
    EXPECT_EQ(exceeded({60, 50, 50}, {50, 50, 50}, {1, 1, 1}),
              (fleet::exceeded_limit{accepted_bound::jobs, true, 50, 50}));
    EXPECT_EQ(exceeded({100, 50, 50}, {2, 2, 2}, {1, 1, 1}),
              (fleet::exceeded_limit{accepted_bound::jobs, false, 100, 100}));
    EXPECT_EQ(
        exceeded({9, 39'999, 9}, {9, 39'999, 9}, {1, 2, 1}),
        (fleet::exceeded_limit{accepted_bound::tasks, true, 39'999, 40'000}));
    EXPECT_EQ(exceeded({9, 9, 999'000}, {9, 9, 400'000}, {1, 1, 1'001}),
              (fleet::exceeded_limit{accepted_bound::bytes, false, 999'000,
                                     1'000'000}));
    // Jobs of many tasks leave the last eighth to others.
    EXPECT_TRUE(exceeded({9, 34'999, 9}, {9, 34'999, 9}, {1, 501, 1}));
    EXPECT_FALSE(exceeded({9, 34'999, 9}, {9, 34'999, 9}, {1, 500, 1}));
}

// 120 jobs of 8,000 tasks were accepted, and exceeded the memory of an entry.
TEST(accepted_limits, hold_at_each_entry_and_for_each_organisation) {
    virtual_fleet fleet;
    int accepted = 0;
    while (fleet.submit(waiting_job(accepted, 8'000), accepted % 3 + 1).kind ==
           answer_kind::accepted) {
        ASSERT_LT(++accepted, 10);
        fleet.sim.run_for(duration{200});
    }
    EXPECT_GE(accepted, 3);

    const auto refused = fleet.submit(waiting_job(100, 8'000), 2);
    EXPECT_EQ(refused.kind, answer_kind::not_run);
    EXPECT_GE(refused.retry_after, duration{8'000});
    EXPECT_LE(refused.retry_after, duration{12'000});

    // Others are not shut out, nor are small jobs.
    EXPECT_EQ(fleet.submit(waiting_job(200, 8'000), 1, "cwm-key").kind,
              answer_kind::accepted);
    EXPECT_EQ(fleet.submit(waiting_job(201, 10), 1).kind,
              answer_kind::accepted);

    // A job on record is accepted again, also by an entry that has not read the
    // records yet.
    EXPECT_EQ(fleet.submit(waiting_job(0, 8'000), 3).kind,
              answer_kind::accepted);
    fleet.kill_entry(2);
    fleet.start_entry(2);
    fleet.sim.run_until(
        [&] { return fleet.entry(2).jobs().accepted.all.tasks > 24'000; },
        duration{5000});
    EXPECT_EQ(fleet.submit(waiting_job(0, 8'000), 2).kind,
              answer_kind::accepted);

    // Room returns with the end of a job, once its record is removed.
    ASSERT_EQ(fleet.cancel(job_id(0)).kind, answer_kind::accepted);
    EXPECT_EQ(fleet.submit(waiting_job(101, 8'000), 1).kind,
              answer_kind::not_run);
    fleet.sim.run_for(duration{155'000});
    EXPECT_EQ(fleet.submit(waiting_job(101, 8'000), 1).kind,
              answer_kind::accepted);
}

// Calls that arrive together are checked before any of their jobs is stored.
TEST(accepted_limits, count_jobs_that_are_being_written) {
    virtual_fleet fleet;
    for (int n = 0; n < 20; ++n)
        fleet.submit_async(waiting_job(n, 8'000), 1, "kwela-key", "/normal/");
    fleet.sim.run_for(duration{2000});
    EXPECT_EQ(fleet.entry(1).jobs().accepted.all.tasks, 24'000);
    EXPECT_EQ(fleet.entry(1).api().in_flight, fleet::accepted_work{});
}

} // namespace celerylift::test
