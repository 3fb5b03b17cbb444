// The risk of servers as the owner derives it from the recent history of their
// hosts, the choice of servers for urgent gangs by it, and the time in which a
// gang that has lost a member starts again.
#include "owner_fixture.hpp"
#include "virtual_fleet.hpp"

#include <celerylift/fleet/names.hpp>
#include <celerylift/fleet/placement.hpp>
#include <celerylift/fleet/server_risk.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <random>

namespace celerylift::test {

namespace {

using fleet::risk_class;
using fleet::server_history;

constexpr time_point start{duration{100'000}};
constexpr fleet::resources capacity{128'000, 200'000, 8};
constexpr fleet::resources one_accelerator{8'000, 16'000, 1};
constexpr fleet::resources quarter_server{32'000, 50'000, 2};
constexpr fleet::resources half_server{64'000, 100'000, 4};
constexpr fleet::resources whole_server{64'000, 100'000, 8};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

} // namespace

// ---- The history of one host ----

TEST(server_risk, rises_with_each_event_and_fades) {
    server_history history;
    EXPECT_EQ(risk_class(history, start), fleet::no_risk);
    record_restart(history, start);
    EXPECT_EQ(risk_class(history, start), fleet::some_risk);
    record_early_failure(history, start + duration{5000});
    EXPECT_EQ(risk_class(history, start + duration{5000}), fleet::high_risk);
    record_stall(history, start + duration{6000});
    EXPECT_EQ(risk_class(history, start + duration{25'500}), fleet::some_risk);
    EXPECT_EQ(risk_class(history, start + duration{26'000}), fleet::no_risk);
}

TEST(server_risk, is_highest_while_the_server_leaves) {
    server_history history;
    for (int n = 0; n < 10; ++n)
        record_restart(history, start);
    EXPECT_EQ(risk_class(history, start), fleet::high_risk);
    history.draining = true;
    EXPECT_EQ(risk_class(history, start), fleet::leaving_risk);
}

// A loss of power said of all hosts that they are risky, and of none which.
TEST(server_risk, has_no_regard_to_restarts_of_many_servers_at_once) {
    fleet::fleet_restarts restarts;
    const auto restart = [&](int n, duration at) {
        return add_restart(restarts, std::to_string(n), 12, start + at);
    };
    for (int n = 1; n <= 3; ++n)
        EXPECT_FALSE(restart(n, duration{n * 100}));
    EXPECT_EQ(restart(4, duration{400}), start + duration{100});
    // The last ones to return.
    EXPECT_TRUE(restart(5, duration{2300}));
    EXPECT_FALSE(restart(6, duration{6000}));

    server_history history;
    record_restart(history, start);
    record_restart(history, start + duration{200});
    disregard_restarts(history, start + duration{100});
    EXPECT_EQ(history.restarts, std::vector{start});
}

TEST(server_risk, rises_for_one_server_of_few_that_restarts_repeatedly) {
    fleet::fleet_restarts restarts;
    for (int n = 0; n < 4; ++n)
        EXPECT_FALSE(add_restart(restarts, "1", 3, start + duration{n * 500}));
}

// ---- The choice among servers with room ----

namespace {

/// Two racks of three idle servers.
std::vector<fleet::candidate_server>
make_candidates(const std::vector<int>& risks) {
    std::vector<fleet::candidate_server> candidates(risks.size());
    for (std::size_t i = 0; i < risks.size(); ++i) {
        candidates[i].rack_number = i / 3;
        candidates[i].capacity = capacity;
        candidates[i].free = capacity;
        candidates[i].risk_class = risks[i];
    }
    return candidates;
}

fleet::placement place_gang(std::vector<fleet::candidate_server> candidates,
                            int count, bool prefer_low_risk,
                            bool same_rack = true) {
    fleet::placement_request request;
    request.each = half_server;
    request.count = count;
    request.same_rack = same_rack;
    request.prefer_low_risk = prefer_low_risk;
    return place(candidates, request);
}

} // namespace

TEST(placement_by_risk, uses_sound_servers_before_fuller_ones) {
    auto candidates = make_candidates({1, 0, 0, 2, 0, 0});
    candidates[0].free = half_server;
    EXPECT_EQ(place_gang(candidates, 4, true), (fleet::placement{1, 1, 2, 2}));
    EXPECT_EQ(place_gang(candidates, 1, false), fleet::placement{0});
}

TEST(placement_by_risk, uses_the_rack_in_which_the_gang_needs_no_risky_server) {
    auto candidates = make_candidates({1, 0, 0, 0, 0, 0});
    EXPECT_EQ(place_gang(candidates, 6, true),
              (fleet::placement{3, 3, 4, 4, 5, 5}));
    candidates = make_candidates({2, 0, 0, 1, 0, 0});
    EXPECT_EQ(place_gang(candidates, 6, true),
              (fleet::placement{4, 4, 5, 5, 3, 3}));
}

TEST(placement_by_risk, uses_risky_servers_where_nothing_else_has_room) {
    const auto candidates = make_candidates({2, 2, 2, 1, 3, 1});
    EXPECT_EQ(place_gang(candidates, 12, true, false).size(), 12U);
    EXPECT_EQ(place_gang(candidates, 12, false, false).size(), 12U);
}

TEST(placement_by_risk, changes_nothing_for_other_work_or_without_risk) {
    std::mt19937 random(1);
    for (int n = 0; n < 200; ++n) {
        std::vector<int> risks(9);
        std::ranges::generate(risks, [&] { return random() % 4; });
        auto risky = make_candidates(risks);
        auto sound = make_candidates(std::vector<int>(9));
        for (std::size_t i = 0; i < risky.size(); ++i)
            risky[i].free =
                sound[i].free = {128'000, 200'000, std::int64_t(random() % 9)};
        const int count = 1 + static_cast<int>(random() % 6);
        const auto expected = place_gang(sound, count, false);
        EXPECT_EQ(place_gang(risky, count, false), expected);
        EXPECT_EQ(place_gang(sound, count, true), expected);
    }
}

// ---- The owner's decisions ----

namespace {

const std::string first_agent = "agent-0000";

std::vector<std::string> assignments(const fleet::owner& owner) {
    std::vector<std::string> lines;
    for (const auto& [agent, server] : owner.servers)
        for (const auto& [name, assigned] : server.assigned)
            lines.push_back(agent + " " + to_string(name));
    return lines;
}

/// Adds some urgent and batch jobs, gangs and others.
void add_jobs(owner_fixture& fixture) {
    for (int n = 1; n <= 12; ++n) {
        fixture.add_job(job_id(n), n % 3 == 0 ? "urgent" : "normal", 1 + n % 5,
                        n % 2 == 0 ? half_server : one_accelerator, n % 4 != 1,
                        n % 4 == 3);
        fixture.run_for(duration{10});
    }
}

} // namespace

TEST(owner_without_restarts, decides_as_with_the_switch_off) {
    owner_fixture on(32), off(32);
    off.owner.policy.avoid_risky_servers = false;
    add_jobs(on);
    add_jobs(off);
    EXPECT_GT(on.assigned_tasks(), 30);
    EXPECT_EQ(assignments(on.owner), assignments(off.owner));
}

TEST(owner_with_a_risky_server, keeps_only_urgent_gangs_away_from_it) {
    for (const bool is_on : {true, false}) {
        owner_fixture fixture(3);
        fixture.owner.policy.avoid_risky_servers = is_on;
        fixture.owner.policy.keep_rack_for_urgent = false;
        auto& server = fixture.owner.servers.at(first_agent);
        record_restart(server.history, fixture.sim.now);
        fixture.add_job(job_id(1), "normal", 2, one_accelerator, true);
        fixture.add_job(job_id(2), "urgent", 1, quarter_server, false);
        fixture.run_for(duration{10});
        EXPECT_EQ(server.assigned.size(), 3U);
        fixture.add_job(job_id(3), "urgent", 2, quarter_server, true);
        fixture.run_for(duration{10});
        EXPECT_EQ(server.assigned.size(), is_on ? 3U : 5U);
        // Without the risky server it does not fit.
        fixture.add_job(job_id(4), "urgent", 8, quarter_server, true);
        fixture.run_for(duration{10});
        EXPECT_EQ(server.assigned.size(), 5U);
        EXPECT_EQ(fixture.assigned_tasks(), 13);
    }
}

// The cheapest plan used the risky server, whose tasks had run the least.
TEST(owner_with_a_risky_server, preempts_on_another_one) {
    for (const bool is_on : {true, false}) {
        owner_fixture fixture(2);
        fixture.owner.policy.avoid_risky_servers = is_on;
        fixture.owner.policy.keep_rack_for_urgent = false;
        fixture.add_job(job_id(1), "normal", 4, half_server, false);
        fixture.run_for(duration{500});
        fixture.report_all();
        ASSERT_EQ(fixture.assigned_tasks(), 4);
        auto& risky = fixture.owner.servers.at(first_agent);
        record_restart(risky.history, fixture.sim.now);
        for (auto& [name, assigned] : risky.assigned)
            assigned.task_ref->assigned_at = fixture.sim.now;
        fixture.add_job(job_id(2), "urgent", 2, half_server, true);
        fixture.run_for(duration{10});
        const bool stops_there =
            std::ranges::any_of(risky.assigned, [](const auto& entry) {
                return entry.second.task_ref->stopping;
            });
        EXPECT_EQ(stops_there, !is_on);
    }
}

// ---- A fleet with a server that restarts again and again ----

namespace {

constexpr duration short_outage{300};

/// The first server is the first choice where all are equal.
void flap(virtual_fleet& fleet) {
    for (int n = 0; n < 2; ++n) {
        fleet.server(1).crash_for(short_outage);
        fleet.sim.run_for(duration{1500});
    }
}

void submit_urgent(virtual_fleet& fleet, const fleet::Submission& job) {
    fleet.submit_async(job, 1, "kwela-key", "/urgent/");
    fleet.sim.run_for(duration{200});
}

int risk_of(const virtual_fleet& fleet, const fleet::owner& owner, int server) {
    return risk_class(owner.servers.at(fmt::format("agent-{}", server)).history,
                      fleet.sim.now);
}

int count_risky(virtual_fleet& fleet) {
    const auto& owner = fleet.entry(fleet.owner_entry()).owner_state();
    int count = 0;
    for (int n = 1; n <= 6; ++n)
        count += risk_of(fleet, owner, n) > fleet::no_risk ? 1 : 0;
    return count;
}

std::ptrdiff_t count_events(const virtual_fleet& fleet,
                            const std::string& event) {
    return std::ranges::count_if(fleet.sim.log, [&](const auto& line) {
        return line.find("\"" + event + "\"") != line.npos;
    });
}

/// Fails for each invariant violation. FLEET_LOG=1 prints the log.
void expect_no_violations(const virtual_fleet& fleet) {
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
    if (::testing::Test::HasFailure() && std::getenv("FLEET_LOG"))
        for (const auto& line : fleet.sim.log)
            fmt::print("{}\n", line);
}

} // namespace

TEST(server_that_flaps, gets_an_urgent_gang_only_where_no_other_has_room) {
    virtual_fleet fleet;
    flap(fleet);
    EXPECT_EQ(count_risky(fleet), 1);
    EXPECT_EQ(count_events(fleet, "server_at_risk"), 2);
    submit_urgent(fleet, make_gang(job_id(1), "ms=60000", 2, whole_server));
    EXPECT_EQ(fleet.history.running.size(), 2U);
    EXPECT_EQ(fleet.server(1).running_count(), 0U);
    submit_urgent(fleet, make_gang(job_id(2), "ms=60000", 4, whole_server));
    fleet.sim.run_for(duration{14'000}); // While it waits for one rack.
    EXPECT_EQ(fleet.server(1).running_count(), 1U);
    expect_no_violations(fleet);
}

TEST(server_that_flaps, is_sound_again_once_it_stays_up) {
    virtual_fleet fleet;
    flap(fleet);
    fleet.sim.run_for(duration{20'000});
    EXPECT_EQ(count_risky(fleet), 0);
    submit_urgent(fleet, make_gang(job_id(1), "ms=6000", 1, whole_server));
    EXPECT_EQ(fleet.server(1).running_count(), 1U);
}

TEST(server_that_flaps, is_sound_for_a_new_owner) {
    virtual_fleet fleet;
    flap(fleet);
    fleet.kill_entry(fleet.owner_entry());
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.is_settled(); },
                                    duration{10'000}));
    fleet.sim.run_for(duration{1000});
    EXPECT_EQ(count_risky(fleet), 0);
}

TEST(server_that_fails_runs_at_once, is_risky) {
    virtual_fleet fleet;
    fleet.server(1).fails_all_runs = true;
    fleet.submit_async(make_job(job_id(1), "ms=60000", 1, one_accelerator), 1,
                       "kwela-key", "/urgent/");
    fleet.sim.run_for(duration{1000});
    EXPECT_EQ(count_risky(fleet), 1);
}

TEST(server_under_a_stalled_run, is_risky) {
    virtual_fleet fleet;
    fleet.submit_async(make_job(job_id(1), "hang", 1, one_accelerator), 1,
                       "kwela-key", "/urgent/");
    fleet.sim.run_for(duration{2000});
    EXPECT_GE(count_risky(fleet), 1);
}

TEST(fleet_that_loses_power, has_no_risky_server) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.server(n).crash_for(short_outage + duration{n * 300});
    fleet.sim.run_for(duration{4000});
    EXPECT_EQ(count_events(fleet, "server_followed"), 12);
    EXPECT_EQ(count_risky(fleet), 0);
}

// ---- From the end of a member to the next start ----

namespace {

/// When the first line with an event and a text was written.
std::optional<int> time_of(const virtual_fleet& fleet, const std::string& event,
                           const std::string& text) {
    for (const auto& line : fleet.sim.log)
        if (line.find("\"" + event + "\"") != line.npos &&
            line.find(text) != line.npos)
            return std::stoi(line.substr(line.find(':') + 1));
    return std::nullopt;
}

/// Crashes the server of a gang's first member and measures from the loss of
/// the run to the next start of that member.
int measure_restart(virtual_fleet& fleet) {
    const auto member = fleet::to_string({job_id(1), 0, 0, 0});
    submit_urgent(fleet, make_gang(job_id(1), "ms=6000", 3, half_server));
    fleet.sim.run_for(duration{1300});
    const auto& id = fleet.history.running.at(member);
    fleet.server(id.back() - '0').crash_for(short_outage);
    fleet.sim.run_for(duration{5000});
    const auto lost = time_of(fleet, "run_lost", member);
    const auto again = time_of(fleet, "start_sent", member + "\",\"run\":2");
    expect_no_violations(fleet);
    if (!lost || !again)
        return -1;
    fmt::print("the gang starts again after {} ms\n", *again - *lost);
    return *again - *lost;
}

} // namespace

// The record of the ends was written first, and the start waited for two
// writes: 80 ms here.
TEST(gang_that_loses_a_member, waits_for_one_write_only) {
    virtual_fleet fleet;
    fleet.store.one_way_delay = duration{20};
    const int restart_ms = measure_restart(fleet);
    EXPECT_GT(restart_ms, 0);
    EXPECT_LE(restart_ms, 55);
}

// The gang waited 2.5 s for servers without other jobs, since the crash might
// have been its fault.
TEST(gang_that_loses_a_member, starts_again_beside_other_jobs) {
    virtual_fleet fleet;
    auto batch = make_job(job_id(9), "ms=60000", 6, one_accelerator);
    batch.mutable_steps(0)->set_anti_affinity(1);
    fleet.submit_async(batch, 1, "kwela-key", "/normal/");
    fleet.sim.run_for(duration{1500}); // No rack is kept free any more.
    ASSERT_EQ(fleet.history.running.size(), 6U);
    const int restart_ms = measure_restart(fleet);
    EXPECT_GT(restart_ms, 0);
    EXPECT_LE(restart_ms, 20);
}

// The record of the ends waits for the next start. An owner that was lost
// meanwhile must not leave the gang without a run, or with two.
TEST(gang_that_loses_a_member, starts_again_once_if_its_owner_is_lost_too) {
    for (int lost_after = 2; lost_after <= 100; lost_after += 7) {
        virtual_fleet fleet;
        for (int n = 1; n <= 6; ++n)
            fleet.server(n).stop_time = duration{30};
        submit_urgent(fleet, make_gang(job_id(1), "ms=6000", 3, half_server));
        fleet.sim.run_for(duration{1300});
        fleet.server(1).crash_for(short_outage);
        ASSERT_TRUE(fleet.sim.run_until(
            [&] { return count_events(fleet, "run_lost") > 0; },
            duration{2000}));
        fleet.sim.run_for(duration{lost_after});
        fleet.kill_entry(fleet.owner_entry());
        const int other = fleet.has_entry(2) ? 2 : 3;
        EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                         duration{20'000}, other))
            << lost_after;
        expect_no_violations(fleet);
    }
}

// The gang may share servers after its first crash only. Sharing must not make
// it crash more servers than the bound on starts allows, nor fail other jobs.
TEST(urgent_gang_that_crashes_its_servers, is_given_up_and_fails_no_other) {
    for (const int time : {20, 300, 1200}) {
        virtual_fleet fleet;
        for (int n = 1; n <= 6; ++n)
            fleet.submit_async(
                make_job(job_id(n), "ms=6000", 6, one_accelerator), 1,
                "kwela-key", "/normal/");
        fleet.sim.run_for(duration{1000});
        for (int n = 20; n <= 21; ++n)
            fleet.submit_async(make_gang(job_id(n),
                                         fmt::format("crash={} index=1", time),
                                         3, one_accelerator),
                               2, "kwela-key", "/urgent/");
        for (int n = 20; n <= 21; ++n)
            EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_FAILED,
                                             duration{60'000}))
                << time;
        for (int n = 1; n <= 6; ++n)
            EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED,
                                             duration{60'000}))
                << time;
        expect_no_violations(fleet);
    }
}

} // namespace celerylift::test
