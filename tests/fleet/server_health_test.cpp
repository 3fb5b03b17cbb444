// The health of servers as the owner derives it from failures: faulty servers
// are excluded, healthy ones on which jobs fail by their own fault are not.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/server_health.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace celerylift::test {

namespace {

using fleet::server_health;

constexpr time_point start{duration{100'000}};
constexpr duration early_failure{30};
constexpr duration late_failure{4000};
constexpr fleet::resources small{8'000, 16'000, 1};
constexpr fleet::resources whole_server{64'000, 100'000, 8};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

} // namespace

// ---- The health of one server ----

TEST(server_health, excludes_for_longer_after_each_run_that_fails_at_once) {
    server_health health;
    record_failure(health, start, early_failure);
    EXPECT_TRUE(is_excluded(health, start + duration{1900}));
    EXPECT_FALSE(is_excluded(health, start + duration{2100}));
    EXPECT_TRUE(health.on_probation);
    const auto second_failure = start + duration{2200};
    record_failure(health, second_failure, late_failure);
    EXPECT_TRUE(is_excluded(health, second_failure + duration{3900}));
}

TEST(server_health, is_unaffected_by_one_late_failure) {
    server_health health;
    record_failure(health, start, late_failure);
    EXPECT_FALSE(is_excluded(health, start));
    EXPECT_FALSE(is_degraded(health, start));
}

TEST(server_health, excludes_after_several_late_failures_in_a_row) {
    server_health health;
    record_failure(health, start, late_failure);
    record_failure(health, start, late_failure);
    EXPECT_TRUE(is_degraded(health, start));
    record_failure(health, start, late_failure);
    EXPECT_TRUE(is_excluded(health, start));
}

TEST(server_health, recovers_with_a_completed_run) {
    server_health health;
    record_failure(health, start, early_failure);
    record_success(health, start + duration{2500});
    EXPECT_FALSE(health.on_probation);
    EXPECT_TRUE(is_recently_healthy(health, start + duration{2600}));
}

TEST(server_health, does_not_recover_with_runs_that_began_before_a_failure) {
    server_health health;
    record_failure(health, start, early_failure);
    record_long_run(health, start + duration{100});
    EXPECT_TRUE(is_excluded(health, start + duration{200}));
    EXPECT_TRUE(health.on_probation);
}

TEST(server_health, stays_degraded_while_runs_of_a_slow_server_go_on) {
    server_health health;
    record_slow_run(health, start);
    record_long_run(health, start + duration{100});
    EXPECT_TRUE(is_degraded(health, start + duration{200}));
}

// A slow server was no longer degraded once one of its slow runs had completed.
// It was given the next gang, which ran at its pace.
TEST(server_health, stays_degraded_when_a_run_of_a_slow_server_completes) {
    server_health health;
    record_slow_run(health, start);
    record_success(health, start + duration{100});
    EXPECT_TRUE(is_degraded(health, start + duration{200}));
    EXPECT_FALSE(is_degraded(health, start + duration{3200}));
}

TEST(server_health, stays_degraded_for_longer_if_slow_again) {
    server_health health;
    record_slow_run(health, start);
    record_slow_run(health, start + duration{3500});
    EXPECT_TRUE(is_degraded(health, start + duration{9000}));
}

// ---- In a fleet ----

// In a full fleet a server that fails every run is always free. All waiting
// tasks were placed on it and used up their attempts.
TEST(full_fleet, sends_only_probes_to_a_server_that_fails_every_run) {
    virtual_fleet fleet;
    fleet.server(1).fails_all_runs = true;
    for (int n = 1; n <= 30; ++n)
        fleet.submit_async(make_job(job_id(n), "ms=400", 1, whole_server), 1,
                           "kwela-key", "/normal/");
    fleet.sim.run_for(duration{6000});
    EXPECT_LE(fleet.history.failures, 3);
    for (int n = 1; n <= 30; ++n)
        EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED,
                                         duration{4000}))
            << n;
}

TEST(full_fleet, sends_no_gang_to_a_server_on_probation) {
    virtual_fleet fleet;
    fleet.server(1).fails_all_runs = true;
    fleet.submit(make_job(job_id(1), "ms=300", 48, small));
    fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED);
    fleet.submit(make_job(job_id(2), "ms=6000", 1, whole_server));
    fleet.sim.run_until([&] { return fleet.history.running.size() == 1; },
                        duration{3000});
    const int failures = fleet.history.failures;
    auto gang = make_gang(job_id(3), "ms=300", 5, whole_server);
    gang.mutable_steps(0)->set_same_rack(false);
    fleet.submit(gang);
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(3), fleet::JOB_COMPLETED, duration{9000}));
    EXPECT_EQ(fleet.history.failures, failures);
}

} // namespace celerylift::test
