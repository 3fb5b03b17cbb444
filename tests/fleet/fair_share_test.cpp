// The order of waiting work that competes for room: shares of organisations by
// their scarcest resource, then the time left to start.
#include "owner_fixture.hpp"

#include <celerylift/fleet/fair_share.hpp>
#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <string>

namespace celerylift::test {

namespace {

/// An owner with the switches on that are off by default.
struct scarcity_owner : owner_fixture {
    explicit scarcity_owner(int servers) : owner_fixture(servers) {
        owner.policy.share_by_scarcity = true;
        owner.policy.pack_by_mix = true;
    }
};

using fleet::dominant_share;
using fleet::is_below_equal_share;
using fleet::rank_of;
using fleet::unit_standing;

constexpr fleet::resources service{256'000, 1'024'000, 16};
constexpr fleet::resources small{11'000, 46'000, 1};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

std::string organisation_of(int n) {
    return n % 2 == 0 ? "kwela" : "cwm";
}

int assigned(const owner_fixture& fixture, int job) {
    const auto& step =
        fixture.owner.jobs.at(job_id(job)).occurrences.front().steps.front();
    return static_cast<int>(std::ranges::count(
        step.tasks, fleet::task_phase::assigned, &fleet::task::phase));
}

/// Two servers, full with the tasks of job 1 of the organisation "kwela".
class full_service : public ::testing::Test {
protected:
    full_service() {
        // The servers are of one rack, which would be kept free.
        fixture.owner.policy.keep_rack_for_urgent = false;
    }

    void add(int job, const std::string& organisation, duration run_time,
             const std::string& queue = "normal", int tasks = 16) {
        fixture.organisation = organisation;
        fixture.declared_run_time = run_time;
        fixture.add_job(job_id(job), queue, tasks, small, false);
        fixture.run_for(duration{20});
        fixture.report_all();
    }

    /// Ends runs, so that as many waiting tasks start.
    void free_room(int tasks, int server = 0) {
        fixture.complete(server, tasks);
        fixture.run_for(duration{20});
        fixture.report_all();
    }

    scarcity_owner fixture{2};
};

constexpr duration minute{60'000};

/// Where the tasks of several jobs of two organisations go in a fleet of 32
/// servers, less than half of which they use.
std::map<std::string, std::string> placements_with_room(bool switched_on) {
    scarcity_owner fixture(32);
    fixture.owner.policy.share_by_scarcity = switched_on;
    fixture.owner.policy.pack_by_mix = switched_on;
    for (int n = 1; n <= 12; ++n) {
        fixture.organisation = organisation_of(n);
        fixture.declared_run_time = duration{(n * 7 % 5 + 1) * 10'000};
        fixture.add_job(job_id(n), n % 3 == 0 ? "urgent" : "normal", n % 4 + 1,
                        n % 2 == 0 ? small
                                   : fleet::resources{52'000, 180'000, n % 4},
                        n % 4 == 0);
        if (n % 4 == 0)
            fixture.run_for(duration{50});
    }
    fixture.run_for(duration{100});
    std::map<std::string, std::string> placements;
    for (const auto& [id, job] : fixture.owner.jobs)
        for (const auto& task : job.occurrences.front().steps.front().tasks)
            placements[fleet::to_string(task.name)] = task.agent;
    return placements;
}

} // namespace

// ---- Shares ----

TEST(fair_share, goes_by_the_scarcest_resource) {
    constexpr fleet::resources memory_bound{10'000, 512'000, 1};
    EXPECT_EQ(dominant_share(memory_bound, service), 0.5);
    EXPECT_FALSE(is_below_equal_share(memory_bound, service, 2));
    EXPECT_TRUE(is_below_equal_share({100'000, 256'000, 7}, service, 2));
    EXPECT_TRUE(is_below_equal_share({}, service, 100));
    // A service without accelerators, and one without servers.
    EXPECT_EQ(dominant_share({1, 1, 1}, {4, 2, 0}), 0.5);
    EXPECT_EQ(dominant_share(small, {}), 0.0);
}

// ---- Ranks ----

TEST(fair_share, ranks_by_guarantee_then_window_then_share_then_slack) {
    const unit_standing guaranteed{true, true, false, duration{100},
                                   duration{200}};
    const unit_standing urgent{true, false, true, duration{100}, duration{10}};
    const unit_standing overdue{false, false, false, duration{10'001},
                                duration{50'000}};
    const unit_standing below{false, false, true, duration{5000},
                              duration{9000}};
    const unit_standing pressing{false, false, false, duration{5000},
                                 duration{10}};
    const unit_standing patient{false, false, false, duration{5000},
                                duration{3000}};
    const unit_standing missed{false, false, false, duration{5000},
                               duration{-1}};
    EXPECT_LT(rank_of(guaranteed), rank_of(urgent));
    EXPECT_LT(rank_of(overdue), rank_of(below));
    EXPECT_LT(rank_of(below), rank_of(pressing));
    EXPECT_LT(rank_of(pressing), rank_of(patient));
    EXPECT_LT(rank_of(patient), rank_of(missed));
}

TEST(fair_share, leaves_overdue_work_in_the_order_of_submission) {
    const unit_standing pressing{false, false, true, duration{11'000},
                                 duration{1}};
    const unit_standing missed{false, false, false, duration{12'000},
                               duration{-500}};
    EXPECT_EQ(rank_of(pressing), rank_of(missed));
}

// ---- On a full service ----

// One organisation that submitted all of its work at once kept the others
// waiting until the last of its tasks had started.
TEST_F(full_service, lets_others_in_while_one_organisation_floods_it) {
    for (int n = 1; n <= 10; ++n)
        add(n, "kwela", minute);
    add(11, "cwm", minute);
    free_room(6);
    EXPECT_EQ(assigned(fixture, 11), 6);
    EXPECT_NE(fixture.process.metrics.text().find(
                  "dominant_share{organisation=\"cwm\"} 0"),
              std::string::npos);
    {
        SCOPED_TRACE("up to their equal share");
        free_room(2);
        EXPECT_EQ(assigned(fixture, 11), 8);
        free_room(8, 1);
        EXPECT_EQ(assigned(fixture, 11), 8);
        EXPECT_EQ(assigned(fixture, 2), 8);
    }
}

TEST_F(full_service, keeps_to_the_order_of_submission_if_switched_off) {
    fixture.owner.policy.share_by_scarcity = false;
    for (int n = 1; n <= 10; ++n)
        add(n, "kwela", minute);
    add(11, "cwm", minute);
    free_room(6);
    EXPECT_EQ(assigned(fixture, 2), 6);
    EXPECT_EQ(assigned(fixture, 11), 0);
}

// All waiting units of one pass were ranked by what was in use before it, so
// that one organisation got all of the room that the pass had.
TEST_F(full_service, shares_the_room_of_a_single_pass) {
    for (int n = 1; n <= 8; ++n) {
        fixture.organisation = n <= 6 ? "kwela" : "cwm";
        fixture.add_job(job_id(n), "normal", 4, small, false);
    }
    fixture.run_for(duration{20});
    EXPECT_EQ(assigned(fixture, 7), 4);
    EXPECT_EQ(assigned(fixture, 8), 4);
    EXPECT_EQ(fixture.assigned_tasks(), 16);
}

TEST_F(full_service, starts_first_what_has_least_time_left) {
    add(1, "kwela", minute);
    add(2, "kwela", minute);
    add(3, "kwela", duration{2000});
    free_room(4);
    EXPECT_EQ(assigned(fixture, 2), 0);
    EXPECT_EQ(assigned(fixture, 3), 4);
    {
        SCOPED_TRACE("unless it can no longer be in time");
        fixture.time_since_submission = duration{6000};
        add(4, "kwela", duration{2000}, "normal", 4);
        free_room(4, 1);
        EXPECT_EQ(assigned(fixture, 3), 8);
        EXPECT_EQ(assigned(fixture, 4), 0);
    }
}

TEST_F(full_service, lets_no_later_work_overtake_after_the_window) {
    add(1, "kwela", minute);
    fixture.time_since_submission = duration{9800};
    add(2, "kwela", minute);
    fixture.time_since_submission = duration{0};
    add(3, "cwm", duration{4000});
    free_room(2);
    EXPECT_EQ(assigned(fixture, 2), 0);
    EXPECT_EQ(assigned(fixture, 3), 2);
    fixture.run_for(duration{200});
    fixture.report_all();
    free_room(4);
    EXPECT_EQ(assigned(fixture, 2), 4);
    EXPECT_EQ(assigned(fixture, 3), 2);
}

TEST_F(full_service, starts_guaranteed_urgent_work_first) {
    add(1, "cwm", minute, "urgent");
    add(2, "cwm", duration{5000}, "urgent", 1);
    add(3, "kwela", minute, "urgent", 1);
    free_room(1);
    EXPECT_EQ(assigned(fixture, 3), 1);
    EXPECT_EQ(assigned(fixture, 2), 0);
}

TEST_F(full_service, shows_no_shares_once_nothing_waits) {
    add(1, "kwela", minute);
    add(2, "cwm", minute, "normal", 1);
    EXPECT_NE(fixture.process.metrics.text().find(
                  "dominant_share{organisation=\"kwela\"} 1"),
              std::string::npos);
    free_room(2);
    free_room(0);
    EXPECT_NE(fixture.process.metrics.text().find(
                  "dominant_share{organisation=\"kwela\"} 0\n"),
              std::string::npos);
}

// ---- With room for all ----

TEST(room_for_all, is_used_the_same_with_and_without_the_switches) {
    const auto before = placements_with_room(false);
    const auto after = placements_with_room(true);
    ASSERT_EQ(before.size(), after.size());
    for (const auto& [task, agent] : before) {
        EXPECT_FALSE(agent.empty()) << task;
        EXPECT_EQ(after.at(task), agent) << task;
    }
}

} // namespace celerylift::test
