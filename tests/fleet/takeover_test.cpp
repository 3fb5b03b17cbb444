// What an owner has decided and not put on record when another one takes over.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace celerylift::test {

namespace {

using fleet::answer_kind;

constexpr fleet::resources small{8'000, 16'000, 1};
constexpr fleet::resources whole_server{64'000, 100'000, 8};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

/// The number of the server that runs a task.
int server_of(const virtual_fleet& fleet, const std::string& task) {
    const auto& server = fleet.history.running.at(task);
    return std::stoi(server.substr(server.rfind('-') + 1));
}

void replace_owner(virtual_fleet& fleet) {
    const int former = fleet.owner_entry();
    ASSERT_NE(former, 0);
    fleet.kill_entry(former);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() != 0; },
                                    duration{5000}));
    fleet.start_entry(former);
}

void expect_no_violations(const virtual_fleet& fleet) {
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

/// Whether the store still has a part of a job.
bool is_on_record(const virtual_fleet& fleet, const std::string& id) {
    using fleet::job_part;
    for (const auto part :
         {job_part::submission, job_part::cancellation, job_part::progress})
        if (fleet.store.get(fleet::job_key(id, part)))
            return true;
    return false;
}

} // namespace

// That a task is being stopped for urgent work is not on record. The urgent
// work must get its server from the next owner, and only that one.
TEST(takeover, during_a_preemption_completes_it_with_one_stop) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=60000", 1, whole_server), 1,
                     "cwm-key");
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                                    duration{3000}));
    for (int n = 1; n <= 6; ++n)
        fleet.server(n).stop_time = duration{800};
    const int observer = fleet.owner_entry() % 3 + 1;
    fleet.submit(make_gang(job_id(99), "ms=60000", 1, whole_server), observer,
                 "kwela-key", "/urgent/");
    fleet.sim.run_for(duration{200});
    ASSERT_EQ(fleet.history.starts, 6) << "the stop takes longer";
    replace_owner(fleet);
    const auto urgent = job_id(99) + ".0.0.0";
    EXPECT_TRUE(fleet.sim.run_until(
        [&] { return fleet.history.running.contains(urgent); },
        duration{2500}));
    fleet.sim.run_for(duration{3000});
    EXPECT_EQ(fleet.history.running.size(), 6U);
    EXPECT_EQ(fleet.history.starts, 7);
    expect_no_violations(fleet);
}

// The failure of a gang is on record, and that its other members are being
// stopped is not. One of them is on a server whose agent is away meanwhile.
TEST(takeover, after_a_gang_has_failed_starts_all_of_it_once_more) {
    virtual_fleet fleet;
    fleet.submit(make_gang(job_id(1), "ms=2500", 2, whole_server));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                                    duration{2000}));
    const int failing = server_of(fleet, job_id(1) + ".0.0.0");
    const int other = server_of(fleet, job_id(1) + ".0.0.1");
    fleet.sim.run_for(duration{500});
    fleet.kill_agent(other);
    fleet.server(failing).fail_runs();
    // The end is on record, and the server has forgotten it.
    fleet.sim.run_for(duration{700});
    replace_owner(fleet);
    fleet.start_agent(other);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000}));
    EXPECT_EQ(fleet.history.starts, 4);
    EXPECT_EQ(fleet.history.failures, 1);
    EXPECT_TRUE(fleet.history.running.empty());
    expect_no_violations(fleet);
}

// A run has failed, and the owner ends before that is on record. Whether its
// write took effect or not, the task starts once more, and the failure counts
// once.
class unrecorded_failure : public ::testing::TestWithParam<store_fault> {};

TEST_P(unrecorded_failure, is_counted_once_by_the_next_owner) {
    virtual_fleet fleet;
    fleet.submit(make_gang(job_id(1), "ms=2500", 2, whole_server));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                                    duration{2000}));
    fleet.sim.run_for(duration{500});
    const int owner = fleet.owner_entry();
    fleet.store.client_faults[fmt::format("entry-{}", owner)] = GetParam();
    fleet.server(server_of(fleet, job_id(1) + ".0.0.0")).fail_runs();
    fleet.sim.run_for(duration{50});
    fleet.kill_entry(owner);
    fleet.store.client_faults.clear();
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000}, owner % 3 + 1));
    EXPECT_EQ(fleet.history.starts, 4);
    expect_no_violations(fleet);
}

INSTANTIATE_TEST_SUITE_P(whose_write, unrecorded_failure,
                         ::testing::Values(store_fault::unresponsive,
                                           store_fault::lost_replies,
                                           store_fault::delayed_writes));

// A paused owner learns of an end that the next owner has applied meanwhile,
// and is told of it once more as it resumes.
TEST(takeover, while_the_former_owner_is_paused_applies_an_end_once) {
    virtual_fleet fleet;
    fleet.submit(make_gang(job_id(1), "ms=2500", 2, whole_server));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                                    duration{2000}));
    const int former = fleet.owner_entry();
    fleet.pause_entry(former, duration{3000});
    fleet.server(server_of(fleet, job_id(1) + ".0.0.0")).fail_runs();
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000}, former % 3 + 1));
    fleet.sim.run_for(duration{2000});
    EXPECT_EQ(fleet.history.starts, 4);
    EXPECT_NE(fleet.owner_entry(), former);
    expect_no_violations(fleet);
}

// The record of a cancelled job is removed while an agent that has not carried
// out the stop is away.
TEST(takeover, after_a_record_was_removed_leaves_no_run_of_the_job) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=400000", 1, small));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                                    duration{2000}));
    const int busy = server_of(fleet, job_id(1) + ".0.0.0");
    fleet.kill_agent(busy);
    ASSERT_EQ(fleet.cancel(job_id(1)).kind, answer_kind::accepted);
    EXPECT_TRUE(fleet.sim.run_until(
        [&] { return !is_on_record(fleet, job_id(1)); }, duration{170'000}));
    replace_owner(fleet);
    fleet.start_agent(busy);
    fleet.sim.run_for(duration{4000});
    EXPECT_TRUE(fleet.history.running.empty());
    EXPECT_EQ(fleet.history.starts, 1);
    expect_no_violations(fleet);
}

} // namespace celerylift::test
