// The owner of hundreds and of thousands of servers. Its work has to grow with
// the number of changes, not with the servers times the waiting jobs.
#include "owner_fixture.hpp"
#include "virtual_fleet.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <set>
#include <string>

namespace celerylift::test {

namespace {

constexpr fleet::resources one_accelerator{11'000, 46'000, 1};
constexpr fleet::resources whole_server{52'000, 270'000, 8};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

class large_fleet : public ::testing::TestWithParam<int> {};

} // namespace

// Each report ran a whole scheduling pass. With 160 servers that report twice a
// second, an owner with an eighth of a core did nothing else, and the leases of
// running tasks expired.
TEST_P(large_fleet, runs_one_scheduling_pass_for_simultaneous_reports) {
    owner_fixture fixture(GetParam());
    fixture.run_for(duration{100});
    const auto before =
        fixture.process.metrics.counter("schedule_passes_total");
    fixture.report_all();
    fixture.run_for(duration{5});
    EXPECT_EQ(fixture.process.metrics.counter("schedule_passes_total") - before,
              1U);
}

TEST_P(large_fleet, refreshes_only_servers_that_have_changed) {
    owner_fixture fixture(GetParam());
    fixture.add_job(job_id(1), "normal", GetParam() * 8, one_accelerator,
                    false);
    fixture.run_for(duration{200});
    fixture.report_all();
    fixture.run_for(duration{20});
    const auto before =
        fixture.process.metrics.counter("rooms_refreshed_total");
    fixture.report(3);
    fixture.run_for(duration{5});
    EXPECT_EQ(fixture.process.metrics.counter("rooms_refreshed_total") - before,
              1U);
}

TEST_P(large_fleet, tries_to_place_one_of_many_equal_gangs) {
    owner_fixture fixture(GetParam());
    fixture.add_job(job_id(1), "normal", GetParam() - 16, whole_server, true);
    fixture.run_for(duration{50});
    for (int n = 2; n <= 200; ++n)
        fixture.add_job(job_id(n), "normal", 2 + n % 3, whole_server, true);
    fixture.report_all();
    fixture.run_for(duration{50});
    const auto before =
        fixture.process.metrics.counter("placements_tried_total");
    fixture.report(3);
    fixture.run_for(duration{5});
    // The smallest gang, and those that are ordered before it.
    EXPECT_LE(
        fixture.process.metrics.counter("placements_tried_total") - before, 3U);
    EXPECT_EQ(fixture.assigned_tasks(), GetParam() - 16);
}

TEST_P(large_fleet, sends_orders_only_to_agents_with_newly_recorded_starts) {
    owner_fixture fixture(GetParam());
    fixture.add_job(job_id(1), "normal", GetParam() / 2, whole_server, false);
    fixture.run_for(duration{50});
    fixture.report_all();
    fixture.run_for(duration{50});
    fixture.orders.clear();
    fixture.add_job(job_id(2), "normal", 2, whole_server, false);
    fixture.run_for(duration{50});
    EXPECT_EQ(fixture.orders.size(), 2U);
}

// A gang of a whole rack was spread over two racks and took three times as
// long, because one server of each rack was degraded for a second.
TEST_P(large_fleet, waits_for_a_rack_with_one_degraded_server) {
    owner_fixture fixture(GetParam());
    for (int server = 3; server < GetParam(); server += 16)
        fixture.mark_degraded(server, duration{1000});
    fixture.add_job(job_id(1), "normal", 16, whole_server, true, true);
    fixture.run_for(duration{300});
    EXPECT_EQ(fixture.assigned_tasks(), 0);
    fixture.report_all();
    fixture.run_for(duration{900});
    fixture.report_all();
    fixture.run_for(duration{50});
    EXPECT_EQ(fixture.assigned_tasks(), 16);
    std::set<std::string> racks;
    for (const auto& [agent, server] : fixture.owner.servers)
        if (!server.assigned.empty())
            racks.insert(server.state.rack());
    EXPECT_EQ(racks.size(), 1U);
}

// ---- Jobs that are too large for their record ----

TEST(oversized_job, is_refused_with_the_reason) {
    virtual_fleet fleet;
    auto too_many_tasks =
        make_job(job_id(1), "ms=10", 100'000, one_accelerator);
    auto too_many_steps = make_job(job_id(2), "ms=10", 1, one_accelerator);
    for (int n = 1; n < 1000; ++n)
        *too_many_steps.add_steps() = too_many_steps.steps(0);
    auto too_many_tasks_in_steps =
        make_job(job_id(3), "ms=10", 5000, one_accelerator);
    *too_many_tasks_in_steps.add_steps() = too_many_tasks_in_steps.steps(0);
    auto too_many_occurrences =
        make_job(job_id(4), "ms=10", 100, one_accelerator);
    too_many_occurrences.set_occurrences(1'000'000'000);
    for (const auto& job : {too_many_tasks, too_many_steps,
                            too_many_tasks_in_steps, too_many_occurrences}) {
        const auto answer = fleet.submit(job);
        EXPECT_EQ(answer.kind, fleet::answer_kind::invalid) << job.id();
        EXPECT_NE(answer.message.find("allowed"), std::string::npos);
    }
    fleet.sim.run_for(duration{300});
    EXPECT_EQ(fleet.history.starts, 0);
}

INSTANTIATE_TEST_SUITE_P(sizes, large_fleet, ::testing::Values(160, 1600));

} // namespace celerylift::test
