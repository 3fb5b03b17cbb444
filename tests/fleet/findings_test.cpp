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

class a_silent_agent : public ::testing::TestWithParam<int> {};

TEST_P(a_silent_agent, keeps_its_running_work) {
    virtual_fleet f;
    start_work(f);
    f.pause_agent(2, duration{GetParam()});
    f.pause_agent(5, duration{GetParam()});
    expect_each_ran_once(f);
}

TEST_P(a_silent_agent, that_is_cut_off_keeps_its_running_work) {
    virtual_fleet f;
    start_work(f);
    for (int entry = 1; entry <= 3; ++entry)
        f.set_link(entry, 2, false);
    f.sim.run_for(duration{GetParam()});
    for (int entry = 1; entry <= 3; ++entry)
        f.set_link(entry, 2, true);
    expect_each_ran_once(f);
}

INSTANTIATE_TEST_SUITE_P(for_a_while, a_silent_agent,
                         ::testing::Values(500, 1500, 2500, 3500));

// ---- A takeover from a paused process ----

class a_paused_owner : public ::testing::TestWithParam<int> {};

TEST_P(a_paused_owner, gives_no_orders_on_a_permission_that_has_run_out) {
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

INSTANTIATE_TEST_SUITE_P(for_a_while, a_paused_owner,
                         ::testing::Values(300, 900, 1300, 2500, 4000));

// ---- Restarts ----

TEST(a_restarted_entry, does_not_serve_a_key_that_was_withdrawn_meanwhile) {
    virtual_fleet f;
    f.kill_entry(2);
    f.configure_without_cwm_key(2);
    f.start_entry(2);
    f.sim.run_for(duration{400});
    EXPECT_EQ(
        f.submit(make_job(job_id(1), "ms=10", 1, small), 2, "cwm-key").kind,
        answer_kind::unauthorised);
}

TEST(a_restarted_entry, takes_no_older_configuration_from_a_late_reply) {
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

TEST(a_restarted_fleet, gives_no_work_to_a_server_that_has_left) {
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
TEST(a_restarted_agent, is_heard_by_the_owner_within_a_third_of_a_second) {
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

TEST(a_malformed_message, from_an_agent_ends_nothing) {
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

TEST(a_malformed_message, in_the_store_ends_nothing) {
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
