// Failures that operators of similar systems reported: unresponsive machines,
// handovers, pauses, restarts, malformed messages and lost answers.
// docs/PROOFS.md describes how each of them could occur here.
#include "virtual_fleet.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fmt/format.h>

namespace celerylift::test {

namespace {

using fleet::answer_kind;

constexpr fleet::resources small{8'000, 16'000, 1};
constexpr int max_heartbeat_interval_ms = 500; // Of virtual servers.

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

/// Starts twelve tasks, two on each of the six servers.
void start_work(virtual_fleet& fleet) {
    fleet.submit(make_job(job_id(1), "ms=7000", 12, {8'000, 50'000, 3}));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 12; },
                                    duration{2000}));
}

void expect_each_ran_once(virtual_fleet& fleet) {
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000},
                                     fleet.has_entry(1) ? 1 : 2));
    EXPECT_EQ(fleet.history.starts, 12);
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

} // namespace

// ---- Machines that are unresponsive for a time ----

class unresponsive_agent : public ::testing::TestWithParam<int> {};

TEST_P(unresponsive_agent, keeps_its_running_work) {
    virtual_fleet fleet;
    start_work(fleet);
    fleet.pause_agent(2, duration{GetParam()});
    fleet.pause_agent(5, duration{GetParam()});
    expect_each_ran_once(fleet);
}

TEST_P(unresponsive_agent, keeps_its_running_work_when_cut_off) {
    virtual_fleet fleet;
    start_work(fleet);
    for (int entry = 1; entry <= 3; ++entry)
        fleet.set_link(entry, 2, false);
    fleet.sim.run_for(duration{GetParam()});
    for (int entry = 1; entry <= 3; ++entry)
        fleet.set_link(entry, 2, true);
    expect_each_ran_once(fleet);
}

INSTANTIATE_TEST_SUITE_P(for_a_while, unresponsive_agent,
                         ::testing::Values(500, 1500, 2500, 3500));

// ---- A takeover from a paused process ----

class paused_owner : public ::testing::TestWithParam<int> {};

TEST_P(paused_owner, places_no_work_after_its_lease_has_expired) {
    virtual_fleet fleet;
    start_work(fleet);
    const int old_owner = fleet.owner_entry();
    // The old owner would place this job as soon as it resumes.
    fleet.pause_entry(old_owner, duration{GetParam()});
    fleet.submit_async(make_job(job_id(2), "ms=300", 12, small),
                       old_owner % 3 + 1, "cwm-key", "/normal/");
    fleet.sim.run_for(duration{GetParam() + 20});
    const bool taken_over = GetParam() > 2000;
    fleet.sim.run_for(duration{400});
    if (taken_over) {
        EXPECT_NE(fleet.owner_entry(), old_owner);
    }
    EXPECT_TRUE(fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED,
                                     duration{6000}, old_owner % 3 + 1));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000}, old_owner % 3 + 1));
    EXPECT_EQ(fleet.history.starts, 24);
    if (::testing::Test::HasFailure() && std::getenv("FLEET_LOG"))
        for (const auto& line : fleet.sim.log)
            fmt::print("{}\n", line);
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

INSTANTIATE_TEST_SUITE_P(for_a_while, paused_owner,
                         ::testing::Values(300, 900, 1300, 2500, 4000));

// ---- Restarts ----

TEST(restarted_entry, rejects_a_key_that_was_withdrawn_meanwhile) {
    virtual_fleet fleet;
    fleet.kill_entry(2);
    fleet.configure_without_cwm_key(2);
    fleet.start_entry(2);
    fleet.sim.run_for(duration{400});
    EXPECT_EQ(
        fleet.submit(make_job(job_id(1), "ms=10", 1, small), 2, "cwm-key").kind,
        answer_kind::unauthorised);
}

TEST(restarted_entry, ignores_an_older_configuration_in_a_late_reply) {
    virtual_fleet fleet;
    fleet.configure_without_cwm_key(2);
    fleet.sim.run_for(duration{300});
    fleet.configure(1); // As a delayed reply would show it.
    fleet.sim.run_for(duration{1500});
    for (int n = 1; n <= 3; ++n)
        EXPECT_EQ(
            fleet.submit(make_job(job_id(n), "ms=10", 1, small), n, "cwm-key")
                .kind,
            answer_kind::unauthorised);
}

TEST(restarted_fleet, places_no_work_on_a_draining_server) {
    virtual_fleet fleet;
    fleet.server(3).draining = true;
    fleet.sim.run_for(duration{800});
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    fleet.kill_agent(3);
    fleet.start_agent(3);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() != 0; },
                                    duration{5000}));
    fleet.sim.run_for(duration{1000});
    fleet.submit(make_job(job_id(1), "ms=900", 30, {8'000, 16'000, 1}));
    fleet.sim.run_for(duration{700});
    EXPECT_EQ(fleet.server(3).running_count(), 0U);
    EXPECT_EQ(fleet.history.starts, 30);
}

// After a power loss each agent reached the owner only 1.2 s after its start:
// its first Hello was dropped because the connection was still being made.
TEST(restarted_agent, reports_to_the_owner_within_a_third_of_a_second) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.kill_agent(n);
    for (int n = 1; n <= 6; ++n)
        fleet.server(n).restart();
    for (int n = 1; n <= 6; ++n)
        fleet.start_agent(n);
    fleet.submit(make_job(job_id(1), "ms=300", 6, small));
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                                    duration{300 + max_heartbeat_interval_ms}));
}

// A restarted agent took its silent server for gone after 2.5 s, and the runs
// there went on beside their successors.
class silent_server : public ::testing::TestWithParam<int> {};

TEST_P(silent_server, keeps_its_runs_until_the_lease_of_an_earlier_agent_ends) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=7000", 3, {8'000, 50'000, 8}));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 3; },
                                    duration{2000}));
    int busy = 1;
    while (fleet.server(busy).running_count() == 0)
        ++busy;
    fleet.sim.run_for(duration{700});
    fleet.kill_agent(busy);
    fleet.server(busy).fault = call_fault::unresponsive;
    fleet.sim.run_for(duration{GetParam()});
    fleet.start_agent(busy);
    fleet.sim.run_for(duration{9000});
    fleet.server(busy).fault = call_fault::none;
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000}));
    EXPECT_EQ(fleet.history.starts, 4) << "one run is lost with its server";
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

INSTANTIATE_TEST_SUITE_P(after_a_restart, silent_server,
                         ::testing::Values(50, 300, 1000, 2000));

// An agent that starts again beside a server that is gone never gave it up: its
// reports kept the grant alive, and the tasks stayed assigned.
class ended_server : public ::testing::TestWithParam<bool> {};

TEST_P(ended_server, is_given_up_by_an_agent_that_never_reached_it) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=4000", 1, small));
    fleet.sim.run_for(duration{500});
    int busy = 1;
    while (fleet.server(busy).running_count() == 0)
        ++busy;
    fleet.kill_agent(busy);
    fleet.server(busy).fault = call_fault::unresponsive;
    fleet.start_agent(busy);
    if (GetParam()) {
        ASSERT_TRUE(fleet.sim.run_until(
            [&] { return fleet.agent(busy).announced.has_value(); },
            duration{2000}));
    }
    fleet.server(busy).crash();
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

INSTANTIATE_TEST_SUITE_P(after_a_heartbeat, ended_server, ::testing::Bool());

// Each start of the agent gave the server another full lease, and its reports,
// which named no server, kept the grant alive. The server got new work as well.
TEST(server_that_is_gone, is_given_up_by_agents_that_restart_again_and_again) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=4000", 1, small));
    fleet.sim.run_for(duration{500});
    int busy = 1;
    while (fleet.server(busy).running_count() == 0)
        ++busy;
    fleet.server(busy).crash();
    const auto restart = [&] {
        fleet.kill_agent(busy);
        fleet.sim.run_for(duration{500});
        fleet.start_agent(busy);
        fleet.sim.run_for(duration{3500});
    };
    restart();
    restart();
    EXPECT_EQ(fleet.history.running.size(), 1U) << "it runs elsewhere";
    fleet.submit(make_job(job_id(2), "ms=500", 12, {8'000, 16'000, 4}));
    restart();
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED, duration{10}));
    restart();
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, duration{10}));
    EXPECT_EQ(fleet.history.starts, 14);
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

// The server answers a restarted agent once and is silent from then on, before
// the owner has granted anything for it. The lease of the earlier agent still
// protects its runs.
TEST(restarted_agent,
     leaves_runs_to_the_lease_if_the_server_answers_only_once) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=7000", 1, small));
    fleet.sim.run_for(duration{1500});
    int busy = 1;
    while (fleet.server(busy).running_count() == 0)
        ++busy;
    fleet.kill_agent(busy);
    fleet.start_agent(busy);
    // The server answers only an agent that knows the owner's epoch.
    ASSERT_TRUE(fleet.sim.run_until(
        [&] { return fleet.agent(busy).epoch != 0; }, duration{1000}));
    for (int entry = 1; entry <= 3; ++entry)
        fleet.set_link(entry, busy, false);
    ASSERT_TRUE(fleet.sim.run_until(
        [&] { return !fleet.agent(busy).incarnation.empty(); },
        duration{1000}));
    fleet.server(busy).fault = call_fault::unresponsive;
    fleet.sim.run_for(duration{2600});
    for (int entry = 1; entry <= 3; ++entry)
        fleet.set_link(entry, busy, true);
    fleet.sim.run_for(duration{6000});
    EXPECT_EQ(fleet.history.starts, 2) << "the run is lost with its lease";
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

// ---- Malformed messages ----

TEST(malformed_message, from_an_agent_does_not_stop_the_entry) {
    virtual_fleet fleet;
    const int owner = fleet.owner_entry();
    fleet::FleetEnvelope envelope;
    auto* report = envelope.mutable_report();
    report->set_followed_epoch(-5);
    report->mutable_server()->set_incarnation("odd");
    for (const auto* name :
         {"", "x", "a.b.c.d", "1.2.3", "j.0.99.0", "j.-1.0.0",
          "j.99999999999999999999.0.0", "....", "j.0.0.2147483647"}) {
        auto* running = report->add_running();
        running->mutable_name()->set_task(name);
        running->set_percent(-7);
        auto* end = report->add_ended();
        end->mutable_name()->set_task(name);
        end->set_number(-1);
        report->add_gone()->mutable_name()->set_task(name);
    }
    fleet.entry(owner).on_message("agent-99", envelope);
    fleet::FleetEnvelope empty;
    fleet.entry(owner).on_message("agent-99", empty);
    fleet.sim.run_for(duration{300});
    fleet.submit(make_job(job_id(1), "ms=100", 6, small));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

TEST(malformed_message, in_the_store_does_not_stop_the_entries) {
    virtual_fleet fleet;
    for (const auto* key :
         {"cl/cell/entry/odd", "cl/job/", "cl/job//in", "cl/job/x/in",
          "cl/job/x/state", "cl/job/x/odd", "cl/job/x/in/in"})
        fleet.store.put(key, "\xff\xfe not a record");
    fleet.sim.run_for(duration{500});
    fleet.submit(make_job(job_id(1), "ms=100", 6, small));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

} // namespace celerylift::test
