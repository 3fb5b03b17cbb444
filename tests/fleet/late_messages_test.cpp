// Messages that arrive late, or about another life of a server than the one
// that answers now. None of them may cost a run that goes on.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <cstdlib>
#include <fmt/format.h>

namespace celerylift::test {

namespace {

constexpr fleet::resources small{8'000, 16'000, 1};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

int server_of(const virtual_fleet& fleet, const std::string& job) {
    const auto it =
        fleet.history.running.find(fleet::to_string({job, 0, 0, 0}));
    return it == fleet.history.running.end()
               ? 0
               : std::stoi(it->second.substr(it->second.rfind('-') + 1));
}

/// Starts one task of nine seconds. Returns the number of its server.
int start_long_task(virtual_fleet& fleet) {
    fleet.submit(make_job(job_id(1), "ms=9000", 1, small));
    fleet.sim.run_for(duration{1500});
    return server_of(fleet, job_id(1));
}

void inject(virtual_fleet& fleet, int agent, const fleet::AgentReport& report) {
    fleet::FleetEnvelope late;
    *late.mutable_report() = report;
    fleet.entry(fleet.owner_entry())
        .on_message(fmt::format("agent-{}", agent), late);
}

void expect_one_run(virtual_fleet& fleet) {
    EXPECT_EQ(fleet.history.starts, 1);
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
    if (::testing::Test::HasFailure() && std::getenv("FLEET_LOG"))
        for (const auto& line : fleet.sim.log)
            fmt::print("{}\n", line);
}

} // namespace

// A report of an earlier agent that had found no server, and that arrives once
// the next agent has reported runs there.
TEST(late_report, that_no_server_was_found_loses_no_run) {
    virtual_fleet fleet;
    const int n = start_long_task(fleet);
    ASSERT_NE(n, 0);
    fleet::AgentReport report;
    report.set_failure_domain("za-north-a");
    report.set_sent_at_ms(1);
    report.set_has_no_server(true);
    inject(fleet, n, report);
    fleet.sim.run_for(duration{3000});
    expect_one_run(fleet);
}

// An older report about the same incarnation: an agent may have taken its
// server for departed until the server answered again.
TEST(late_report, that_the_same_incarnation_had_departed_loses_no_run) {
    virtual_fleet fleet;
    const int n = start_long_task(fleet);
    ASSERT_NE(n, 0);
    fleet::AgentReport report;
    report.set_failure_domain("za-north-a");
    report.set_sent_at_ms(1);
    report.mutable_server()->set_incarnation(fleet.agent(n).incarnation);
    report.mutable_server()->set_service("order-desk");
    report.mutable_server()->set_departed(true);
    inject(fleet, n, report);
    fleet.sim.run_for(duration{3000});
    expect_one_run(fleet);
}

// A report of an earlier life whose start seems to be the later one, because
// the clock of the host went back.
TEST(late_report, about_a_life_that_seems_to_be_later_loses_no_run) {
    virtual_fleet fleet;
    const int n = start_long_task(fleet);
    ASSERT_NE(n, 0);
    fleet::AgentReport report;
    report.set_failure_domain("za-north-a");
    report.set_sent_at_ms(1);
    report.mutable_server()->set_incarnation(
        fmt::format("server-{}@{}", n, 9'000'000));
    report.mutable_server()->set_service("order-desk");
    inject(fleet, n, report);
    fleet.sim.run_for(duration{3000});
    expect_one_run(fleet);
}

// A start is carried out late by the next life of the server, which does not
// know that the run was fenced in the life before.
TEST(late_start, in_the_next_life_of_a_server_begins_no_second_run) {
    virtual_fleet fleet;
    int n = 0;
    const auto set_faults = [&](call_fault fault) {
        for (int i = 1; i <= 6; ++i) {
            fleet.server(i).fault = fault;
            fleet.server(i).next_incarnation_takes_calls = true;
        }
    };
    set_faults(call_fault::delayed);
    fleet.submit(make_job(job_id(1), "ms=9000", 1, small));
    fleet.sim.run_until(
        [&] {
            for (int i = 1; i <= 6; ++i)
                n = fleet.agent(i).orders.empty() ? n : i;
            return n != 0;
        },
        duration{3000});
    fleet.sim.run_for(duration{5});
    set_faults(call_fault::none);
    fleet.sim.run_for(duration{1700});
    ASSERT_NE(n, 0);
    fleet.server(n).restart();
    fleet.sim.run_for(duration{4000});
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

// Another writer's heartbeat has the id and the start of the agent's own
// server.
TEST(foreign_heartbeat, of_the_life_that_is_followed_exceeds_no_capacity) {
    virtual_fleet fleet({3, 1, 1});
    auto foreign = fleet.agent(1).last_heartbeat;
    foreign.sequence += 1'000'000;
    foreign.capacity = {1'000'000, 1'000'000, 100};
    fleet::on_heartbeat(fleet.agent(1), foreign);
    fleet::report_now(fleet.agent(1));
    fleet.submit(make_job(job_id(1), "ms=3000", 9, small));
    fleet.sim.run_for(duration{1000});
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
}

// Another writer's heartbeat lacks the start of the server. Each server of an
// agent that had just started was taken for two, and the first one for crashed.
TEST(heartbeat_without_a_start, counts_no_crash_at_an_agent_that_has_started) {
    virtual_fleet fleet;
    const int n = start_long_task(fleet);
    ASSERT_NE(n, 0);
    fleet.kill_agent(n);
    fleet.start_agent(n);
    auto foreign = fleet.server(n).heartbeat();
    foreign.started_unix_ms = 0;
    fleet::on_heartbeat(fleet.agent(n), foreign);
    fleet.sim.run_for(duration{3000});
    for (const auto& line : fleet.sim.log)
        EXPECT_EQ(line.find("task_suspected"), std::string::npos) << line;
    expect_one_run(fleet);
}

// Its agent is heard again, at the latest once the grant has ended.
TEST(agent_whose_clock_starts_anew, is_heard_once_the_grant_has_ended) {
    virtual_fleet fleet;
    fleet.kill_agent(1);
    auto& server =
        fleet.entry(fleet.owner_entry()).owner_state().servers.at("agent-1");
    fleet::AgentReport report;
    report.mutable_server()->set_incarnation(server.state.incarnation());
    report.mutable_server()->set_draining(true);
    inject(fleet, 1, report);
    EXPECT_FALSE(server.state.draining());
    fleet.sim.run_for(duration{5500});
    inject(fleet, 1, report);
    EXPECT_TRUE(server.state.draining());
}

// A server that starts again may keep its id. The departure of its earlier life
// is handled once the next life has runs, as after a pause of the agent.
TEST(late_departure, of_an_earlier_life_of_the_same_id_loses_no_run) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n) {
        fleet.server(n).crash();
        fleet.server(n).restart();
    }
    fleet.sim.run_for(duration{3000});
    const int n = start_long_task(fleet);
    ASSERT_NE(n, 0);
    fleet::on_departure(fleet.agent(n), fleet.server(n).id());
    fleet.sim.run_for(duration{3000});
    expect_one_run(fleet);
}

// A server that has announced its end may go on for a while, and what runs
// there with it.
TEST(announced_end, loses_no_run_before_the_server_is_gone) {
    virtual_fleet fleet;
    const int n = start_long_task(fleet);
    ASSERT_NE(n, 0);
    fleet::on_departure(fleet.agent(n), fleet.server(n).id());
    fleet.sim.run_for(duration{400});
    expect_one_run(fleet);
    fleet.server(n).leave();
    fleet.sim.run_for(duration{500});
    EXPECT_EQ(fleet.history.starts, 2);
    EXPECT_NE(server_of(fleet, job_id(1)), n);
    EXPECT_TRUE(fleet.history.violations.empty());
}

/// Returns how long it takes until the task of a server that is gone is started
/// again.
duration time_to_restart(virtual_fleet& fleet) {
    const auto gone_at = fleet.sim.now;
    fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                        duration{20'000});
    return fleet.sim.now - gone_at;
}

// Heartbeats that were under way are handled after the announcement.
TEST(announced_end, is_not_withdrawn_by_a_heartbeat_that_was_under_way) {
    virtual_fleet fleet;
    const int n = start_long_task(fleet);
    ASSERT_NE(n, 0);
    fleet::on_departure(fleet.agent(n), fleet.server(n).id());
    fleet.sim.run_for(duration{600});
    fleet.server(n).leave();
    EXPECT_LT(time_to_restart(fleet), duration{1000});
    EXPECT_TRUE(fleet.history.violations.empty());
}

void expect_work_is_started(virtual_fleet& fleet) {
    fleet.submit(make_job(job_id(1), "ms=300", 1, small));
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, duration{3000}));
}

// A heartbeat of another writer has a far higher number than those of the
// server.
TEST(late_departure, is_withdrawn_whatever_the_number_of_the_next_heartbeat) {
    virtual_fleet fleet({3, 1, 1});
    auto foreign = fleet.agent(1).last_heartbeat;
    foreign.sequence += 1'000'000;
    fleet::on_heartbeat(fleet.agent(1), foreign);
    fleet::on_departure(fleet.agent(1), fleet.server(1).id());
    fleet.sim.run_for(duration{3000});
    expect_work_is_started(fleet);
}

// The next life of a server whose earlier end is announced late gets work
// again.
TEST(late_departure, of_an_earlier_life_keeps_no_work_away) {
    virtual_fleet fleet({3, 1, 1});
    fleet::on_departure(fleet.agent(1), fleet.server(1).id());
    fleet.sim.run_for(duration{1500});
    expect_work_is_started(fleet);
}

// Reports about a life of a server that seems to be the earlier one, because
// the clock of its host went back, count again once the lease of the runs of
// the other life has ended.
TEST(superseded_reports, count_again_after_the_end_of_the_lease) {
    virtual_fleet fleet;
    const int n = start_long_task(fleet);
    ASSERT_NE(n, 0);
    const int owner = fleet.owner_entry();
    fleet.server(n).crash();
    fleet.kill_agent(n);
    fleet::AgentReport report;
    report.set_failure_domain("za-north-a");
    report.mutable_server()->set_incarnation(fmt::format("server-{}@1", n));
    report.mutable_server()->set_service("order-desk");
    const auto name = fmt::format("agent-{}", n);
    const auto is_heard = [&] {
        return fleet.entry(owner)
                   .owner_state()
                   .servers.at(name)
                   .state.incarnation() == report.server().incarnation();
    };
    for (int i = 0; i < 16 && !is_heard(); ++i) {
        report.set_sent_at_ms(fleet.sim.now.time_since_epoch().count());
        inject(fleet, n, report);
        fleet.sim.run_for(duration{500});
    }
    EXPECT_TRUE(is_heard());
    fleet.sim.run_for(duration{3000});
    EXPECT_EQ(fleet.history.starts, 2); // The lost task has started elsewhere.
    EXPECT_TRUE(fleet.history.violations.empty());
}

} // namespace celerylift::test
