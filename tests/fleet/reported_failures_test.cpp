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
constexpr int heartbeat_ms = 500; // Longest interval of the virtual servers.

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

/// Starts twelve tasks, two on each of the six servers.
void start_work(virtual_fleet& f) {
    f.submit(make_job(job_id(1), "ms=7000", 12, {8'000, 50'000, 3}));
    ASSERT_TRUE(f.sim.run_until([&] { return f.history.starts == 12; },
                                duration{2000}));
}

void expect_each_ran_once(virtual_fleet& f) {
    EXPECT_TRUE(f.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                 duration{12'000}, f.has_entry(1) ? 1 : 2));
    EXPECT_EQ(f.history.starts, 12);
    for (const auto& broken : f.history.violations)
        ADD_FAILURE() << broken;
}

} // namespace

// ---- Machines that are unresponsive for a time ----

class unresponsive_agent : public ::testing::TestWithParam<int> {};

TEST_P(unresponsive_agent, keeps_its_running_work) {
    virtual_fleet f;
    start_work(f);
    f.pause_agent(2, duration{GetParam()});
    f.pause_agent(5, duration{GetParam()});
    expect_each_ran_once(f);
}

TEST_P(unresponsive_agent, keeps_its_running_work_when_cut_off) {
    virtual_fleet f;
    start_work(f);
    for (int entry = 1; entry <= 3; ++entry)
        f.set_link(entry, 2, false);
    f.sim.run_for(duration{GetParam()});
    for (int entry = 1; entry <= 3; ++entry)
        f.set_link(entry, 2, true);
    expect_each_ran_once(f);
}

INSTANTIATE_TEST_SUITE_P(for_a_while, unresponsive_agent,
                         ::testing::Values(500, 1500, 2500, 3500));

// ---- A takeover from a paused process ----

class paused_owner : public ::testing::TestWithParam<int> {};

TEST_P(paused_owner, places_no_work_after_its_lease_has_expired) {
    virtual_fleet f;
    start_work(f);
    const int old = f.owner_entry();
    // The old owner would place this job as soon as it resumes.
    f.pause_entry(old, duration{GetParam()});
    f.submit_async(make_job(job_id(2), "ms=300", 12, small), old % 3 + 1,
                   "cwm-key", "/normal/");
    f.sim.run_for(duration{GetParam() + 20});
    const bool passed_on = GetParam() > 2000;
    f.sim.run_for(duration{400});
    if (passed_on) {
        EXPECT_NE(f.owner_entry(), old);
    }
    EXPECT_TRUE(f.wait_for_state(job_id(2), fleet::JOB_COMPLETED,
                                 duration{6000}, old % 3 + 1));
    EXPECT_TRUE(f.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                 duration{12'000}, old % 3 + 1));
    EXPECT_EQ(f.history.starts, 24);
    if (::testing::Test::HasFailure() && std::getenv("FLEET_LOG"))
        for (const auto& line : f.sim.log)
            fmt::print("{}\n", line);
    for (const auto& broken : f.history.violations)
        ADD_FAILURE() << broken;
}

INSTANTIATE_TEST_SUITE_P(for_a_while, paused_owner,
                         ::testing::Values(300, 900, 1300, 2500, 4000));

// ---- Restarts ----

TEST(restarted_entry, rejects_a_key_that_was_withdrawn_meanwhile) {
    virtual_fleet f;
    f.kill_entry(2);
    f.configure_without_cwm_key(2);
    f.start_entry(2);
    f.sim.run_for(duration{400});
    EXPECT_EQ(
        f.submit(make_job(job_id(1), "ms=10", 1, small), 2, "cwm-key").kind,
        answer_kind::unauthorised);
}

TEST(restarted_entry, ignores_an_older_configuration_in_a_late_reply) {
    virtual_fleet f;
    f.configure_without_cwm_key(2);
    f.sim.run_for(duration{300});
    f.configure(1); // As a delayed reply would show it.
    f.sim.run_for(duration{1500});
    for (int n = 1; n <= 3; ++n)
        EXPECT_EQ(
            f.submit(make_job(job_id(n), "ms=10", 1, small), n, "cwm-key").kind,
            answer_kind::unauthorised);
}

TEST(restarted_fleet, places_no_work_on_a_draining_server) {
    virtual_fleet f;
    f.server(3).draining = true;
    f.sim.run_for(duration{800});
    for (int n = 1; n <= 3; ++n)
        f.kill_entry(n);
    for (int n = 1; n <= 3; ++n)
        f.start_entry(n);
    f.kill_agent(3);
    f.start_agent(3);
    ASSERT_TRUE(
        f.sim.run_until([&] { return f.owner_entry() != 0; }, duration{5000}));
    f.sim.run_for(duration{1000});
    f.submit(make_job(job_id(1), "ms=900", 30, {8'000, 16'000, 1}));
    f.sim.run_for(duration{700});
    EXPECT_EQ(f.server(3).running_count(), 0U);
    EXPECT_EQ(f.history.starts, 30);
}

// After a power loss each agent reached the owner only 1.2 s after its start:
// its first Hello was dropped because the connection was still being made.
TEST(restarted_agent, reports_to_the_owner_within_a_third_of_a_second) {
    virtual_fleet f;
    for (int n = 1; n <= 6; ++n)
        f.kill_agent(n);
    for (int n = 1; n <= 6; ++n)
        f.server(n).restart();
    for (int n = 1; n <= 6; ++n)
        f.start_agent(n);
    f.submit(make_job(job_id(1), "ms=300", 6, small));
    EXPECT_TRUE(f.sim.run_until([&] { return f.history.starts == 6; },
                                duration{300 + heartbeat_ms}));
}

// ---- Malformed messages ----

TEST(malformed_message, from_an_agent_does_not_stop_the_entry) {
    virtual_fleet f;
    const int owner = f.owner_entry();
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
    f.entry(owner).on_message("agent-99", envelope);
    fleet::FleetEnvelope empty;
    f.entry(owner).on_message("agent-99", empty);
    f.sim.run_for(duration{300});
    f.submit(make_job(job_id(1), "ms=100", 6, small));
    EXPECT_TRUE(f.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

TEST(malformed_message, in_the_store_does_not_stop_the_entries) {
    virtual_fleet f;
    for (const auto* key :
         {"cl/cell/entry/odd", "cl/job/", "cl/job//in", "cl/job/x/in",
          "cl/job/x/state", "cl/job/x/odd", "cl/job/x/in/in"})
        f.store.put(key, "\xff\xfe not a record");
    f.sim.run_for(duration{500});
    f.submit(make_job(job_id(1), "ms=100", 6, small));
    EXPECT_TRUE(f.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

} // namespace celerylift::test
