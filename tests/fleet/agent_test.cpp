// One agent with a backend server whose replies the test chooses.
#include "simulation.hpp"

#include <celerylift/fleet/agent.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <fmt/format.h>
#include <functional>

namespace celerylift::test {

namespace {

struct scripted_server : fleet::backend_server {
    std::vector<fleet::start_call> starts;
    std::vector<fleet::stop_call> stops;
    std::deque<std::pair<fleet::poll_call,
                         std::function<void(const fleet::poll_reply&)>>>
        polls;
    std::string last_polled_id;
    std::deque<std::function<void(const fleet::server_reply&)>> start_replies;
    std::function<void(const fleet::server_reply&)> last_start;
    std::function<void(const fleet::server_reply&)> last_stop;

    void start(const std::string&, const fleet::start_call& call,
               std::function<void(const fleet::server_reply&)> done) override {
        starts.push_back(call);
        start_replies.push_back(done);
        last_start = std::move(done);
    }
    void stop(const std::string&, const fleet::stop_call& call,
              std::function<void(const fleet::server_reply&)> done) override {
        stops.push_back(call);
        last_stop = std::move(done);
    }
    void
    poll_runs(const std::string& id, const fleet::poll_call& call,
              std::function<void(const fleet::poll_reply&)> done) override {
        last_polled_id = id;
        polls.emplace_back(call, std::move(done));
    }

    /// Answers the newest poll as a server with another id does.
    void disown() {
        fleet::poll_reply reply;
        reply.status = fleet::server_status::other_incarnation;
        auto call = polls.back();
        polls.pop_back();
        call.second(reply);
    }

    /// Leaves the newest poll without an answer.
    void time_out() { fail(fleet::server_status::unknown); }

    void fail(fleet::server_status status) {
        fleet::poll_reply reply;
        reply.status = status;
        auto call = polls.back();
        polls.pop_back();
        call.second(reply);
    }

    /// Answers the oldest or the newest poll of the runs.
    void answer(bool oldest, std::int64_t clock_ms,
                const std::vector<std::string>& running) {
        fleet::poll_reply reply;
        reply.status = fleet::server_status::ok;
        reply.clock_ms = clock_ms;
        for (const auto& task : running) {
            fleet::RunningTask listed;
            listed.mutable_name()->set_task(task);
            listed.mutable_name()->set_run(1);
            reply.running.push_back(listed);
        }
        auto call = oldest ? polls.front() : polls.back();
        oldest ? polls.pop_front() : polls.pop_back();
        call.second(reply);
    }
};

struct agent_fixture {
    simulation sim;
    virtual_process process{"agent", sim.now, sim.log};
    scripted_server server;
    fleet::AgentReport report;
    fleet::agent agent{
        process.runtime, server, "za-north-a",
        [this](const fleet::AgentReport& latest) { report = latest; }};

    agent_fixture() {
        fleet::server_heartbeat heartbeat;
        heartbeat.id = "i-1";
        heartbeat.started_unix_ms = 5;
        heartbeat.sequence = 1;
        heartbeat.capacity = {16'000, 16'000, 2};
        fleet::on_heartbeat(agent, heartbeat);
        server.answer(true, 100, {});
    }

    fleet::OwnerOrders orders(bool seen, std::int64_t accelerators = 1,
                              const std::string& task = "j.0.0.0") {
        fleet::OwnerOrders issued;
        issued.set_epoch(4);
        issued.set_answered_sent_at_ms(sim.now.time_since_epoch().count());
        issued.set_grant_ms(5000);
        issued.set_incarnation(agent.incarnation);
        auto* start = issued.add_assigned();
        start->mutable_name()->set_task(task);
        start->mutable_name()->set_run(1);
        start->mutable_each()->set_accelerators(accelerators);
        start->set_payload(seen ? "" : "text");
        start->set_seen(seen);
        return issued;
    }

    void confirm_start() {
        server.last_start({fleet::server_status::ok, 110, ""});
    }
};

} // namespace

TEST(single_agent, starts_the_runs_it_is_ordered_to) {
    agent_fixture fixture;
    fleet::on_orders(fixture.agent, fixture.orders(false));
    ASSERT_EQ(fixture.server.starts.size(), 1U);
    EXPECT_EQ(fixture.server.starts[0].payload, "text");
    EXPECT_EQ(fixture.server.starts[0].fencing_token, 4);
}

// An agent sent thousands of starts at once. Its server answered none of them
// in time, and all were given up.
TEST(single_agent, sends_a_bounded_number_of_starts_at_a_time) {
    agent_fixture fixture;
    auto orders = fixture.orders(false, 0);
    for (int n = 1; n < 100; ++n)
        *orders.add_assigned() =
            fixture.orders(false, 0, fmt::format("j.0.0.{}", n)).assigned(0);
    fleet::on_orders(fixture.agent, orders);
    ASSERT_EQ(fixture.server.starts.size(), 32U);
    // The others wait for calls for longer than they may wait for capacity.
    for (int n = 0; n < 50; ++n) {
        fixture.sim.run_for(duration{40});
        fleet::on_tick(fixture.agent);
    }
    EXPECT_EQ(fixture.server.starts.size(), 32U);
    EXPECT_TRUE(fixture.server.stops.empty());
    for (std::size_t n = 0; n < fixture.server.starts.size(); ++n)
        fixture.server.start_replies[n]({fleet::server_status::ok, 110, ""});
    EXPECT_EQ(fixture.server.starts.size(), 100U);
}

TEST(single_agent, starts_runs_that_share_the_payload_of_their_job) {
    agent_fixture fixture;
    auto orders = fixture.orders(false);
    auto* start = orders.mutable_assigned(0);
    start->clear_payload();
    *orders.add_assigned_sharing_payloads() = *start;
    orders.clear_assigned();
    (*orders.mutable_payloads())["j"] = "shared text";
    fleet::on_orders(fixture.agent, orders);
    ASSERT_EQ(fixture.server.starts.size(), 1U);
    EXPECT_EQ(fixture.server.starts[0].payload, "shared text");
}

// A newer poll reply overtook an older one. The run that the older reply did
// not list was started again, with the empty payload of a run that has been
// seen.
TEST(single_agent, ignores_a_poll_reply_that_was_overtaken) {
    agent_fixture fixture;
    fleet::on_orders(fixture.agent, fixture.orders(false));
    fixture.confirm_start();
    ASSERT_GE(fixture.server.polls.size(), 2U);
    fixture.server.answer(false, 120, {"j.0.0.0"});
    fixture.server.answer(true, 105, {});
    fleet::on_orders(fixture.agent, fixture.orders(true));
    EXPECT_EQ(fixture.server.starts.size(), 1U);
}

TEST(single_agent, never_starts_a_run_that_has_been_seen) {
    agent_fixture fixture;
    fleet::on_orders(fixture.agent, fixture.orders(true));
    EXPECT_TRUE(fixture.server.starts.empty());
}

TEST(single_agent, does_not_exceed_the_capacity_of_its_server) {
    agent_fixture fixture;
    auto orders = fixture.orders(false, 2, "j.0.0.0");
    *orders.add_assigned() = fixture.orders(false, 1, "j.0.0.1").assigned(0);
    fleet::on_orders(fixture.agent, orders);
    EXPECT_EQ(fixture.server.starts.size(), 1U);
}

TEST(single_agent, does_not_exceed_a_capacity_that_has_shrunk) {
    agent_fixture fixture;
    auto smaller = fixture.agent.last_heartbeat;
    ++smaller.sequence;
    smaller.capacity.accelerators = 1;
    fleet::on_heartbeat(fixture.agent, smaller);
    fleet::on_orders(fixture.agent, fixture.orders(false, 2));
    EXPECT_TRUE(fixture.server.starts.empty());
}

TEST(single_agent, counts_a_run_that_is_being_stopped) {
    agent_fixture fixture;
    fleet::on_orders(fixture.agent, fixture.orders(false, 2));
    fixture.confirm_start();
    fixture.server.answer(false, 120, {"j.0.0.0"});
    auto orders = fixture.orders(false, 2, "j.0.0.1");
    auto* stop = orders.add_stops();
    stop->set_task("j.0.0.0");
    stop->set_run(1);
    fleet::on_orders(fixture.agent, orders);
    fixture.server.last_stop({fleet::server_status::ok, 130, ""});
    fixture.server.answer(false, 140, {"j.0.0.0"});
    EXPECT_EQ(fixture.server.starts.size(), 1U);
}

TEST(single_agent, starts_nothing_for_an_owner_that_was_replaced) {
    agent_fixture fixture;
    auto newer = fixture.orders(false);
    newer.set_epoch(9);
    newer.clear_assigned();
    fleet::on_orders(fixture.agent, newer);
    fleet::on_orders(fixture.agent, fixture.orders(false));
    EXPECT_TRUE(fixture.server.starts.empty());
}

TEST(single_agent, starts_nothing_on_a_grant_that_is_about_to_expire) {
    agent_fixture fixture;
    auto orders = fixture.orders(false);
    orders.set_grant_ms(200);
    fleet::on_orders(fixture.agent, orders);
    EXPECT_TRUE(fixture.server.starts.empty());
}

// Orders that answered a report from before a loss of power granted a lease of
// hours: the clock of the host had started anew.
TEST(single_agent, takes_no_grant_for_a_report_of_an_earlier_process) {
    agent_fixture fixture;
    for (const int sent_ago_ms : {-3'600'000, 4000}) {
        auto orders = fixture.orders(false);
        orders.set_answered_sent_at_ms(orders.answered_sent_at_ms() -
                                       sent_ago_ms);
        fleet::on_orders(fixture.agent, orders);
        EXPECT_TRUE(fixture.server.starts.empty()) << sent_ago_ms;
    }
}

TEST(single_agent, fences_a_start_without_an_answer_before_it_abandons_it) {
    agent_fixture fixture;
    fleet::on_orders(fixture.agent, fixture.orders(false));
    fixture.server.last_start({fleet::server_status::unknown, {}, "no answer"});
    fixture.sim.run_for(duration{500});
    fleet::on_tick(fixture.agent);
    ASSERT_FALSE(fixture.server.polls.empty());
    // Answers the poll that was sent while the outcome was unknown.
    fixture.server.answer(false, 600, {});
    fixture.sim.run_for(duration{500});
    fleet::on_tick(fixture.agent);
    fixture.server.answer(false, 1100, {});
    fleet::on_tick(fixture.agent);
    ASSERT_EQ(fixture.server.stops.size(), 1U);
    EXPECT_EQ(fixture.report.gone_size(), 0);
    fixture.server.last_stop({fleet::server_status::ok, 1110, ""});
    fixture.sim.run_for(duration{500});
    fleet::on_tick(fixture.agent);
    fixture.server.answer(false, 1600, {});
    fixture.sim.run_for(duration{500});
    fleet::on_tick(fixture.agent);
    fixture.server.answer(false, 2100, {});
    EXPECT_EQ(fixture.report.gone_size(), 1);
}

// The owner starts the tasks of a server that has departed elsewhere. A start
// that was still queued took effect when the server answered again.
TEST(single_agent, starts_nothing_that_was_queued_when_its_server_departed) {
    agent_fixture fixture;
    auto idle = fixture.orders(false);
    idle.clear_assigned();
    fleet::on_orders(fixture.agent, idle);
    const auto tick = [&](int count) {
        for (int i = 0; i < count; ++i) {
            fixture.sim.run_for(duration{100});
            fleet::on_tick(fixture.agent);
            if (!fixture.server.polls.empty())
                fixture.server.time_out();
        }
    };
    tick(40);
    // The owner has seen nothing but reports without a departure.
    fleet::on_orders(fixture.agent, idle);
    for (int i = 0; i < 60 && !fixture.report.server().departed(); ++i) {
        auto issued = fixture.orders(false, 1, "j.0.0." + std::to_string(i));
        fleet::on_orders(fixture.agent, issued);
        tick(1);
    }
    ASSERT_TRUE(fixture.report.server().departed());
    ASSERT_TRUE(fixture.server.starts.empty());
    fixture.sim.run_for(duration{100});
    fleet::on_tick(fixture.agent);
    ASSERT_FALSE(fixture.server.polls.empty());
    fixture.server.answer(false, 10'000, {});
    EXPECT_TRUE(fixture.server.starts.empty());
}

// A delayed heartbeat reset the remaining time of a draining server to a value
// that was out of date.
TEST(single_agent, takes_the_remaining_time_from_the_newest_heartbeat) {
    agent_fixture fixture;
    auto draining = fixture.agent.last_heartbeat;
    draining.sequence = 3;
    draining.draining = true;
    draining.remaining = duration{2000};
    fleet::on_heartbeat(fixture.agent, draining);
    fixture.sim.run_for(duration{1500});
    auto delayed = draining;
    delayed.sequence = 2;
    fleet::on_heartbeat(fixture.agent, delayed);
    fleet::report_now(fixture.agent);
    EXPECT_EQ(fixture.report.server().remaining_ms(), 500);
}

// A heartbeat that was held up, or another writer's, displaced the server. Its
// tasks were started elsewhere while they ran.
TEST(single_agent, follows_no_incarnation_that_the_server_does_not_answer_for) {
    agent_fixture fixture;
    const auto followed = fixture.agent.incarnation;
    auto foreign = fixture.agent.last_heartbeat;
    foreign.id = "i-0";
    foreign.started_unix_ms = 9;
    fleet::on_heartbeat(fixture.agent, foreign);
    ASSERT_EQ(fixture.server.last_polled_id, "i-0");
    fixture.server.disown();
    fleet::report_now(fixture.agent);
    EXPECT_EQ(fixture.report.server().incarnation(), followed);
    EXPECT_FALSE(fixture.report.server().departed());
}

TEST(single_agent, follows_another_incarnation_once_the_server_answers_for_it) {
    agent_fixture fixture;
    auto next = fixture.agent.last_heartbeat;
    next.id = "i-2";
    next.started_unix_ms = 9;
    fleet::on_heartbeat(fixture.agent, next);
    fixture.server.answer(false, 40, {});
    fleet::report_now(fixture.agent);
    EXPECT_EQ(fixture.report.server().incarnation(), "i-2@9");
}

// The agent polled without a pause, and reported each reply to the owner.
TEST(single_agent, polls_a_server_that_was_replaced_at_intervals) {
    agent_fixture fixture;
    fixture.server.disown();
    ASSERT_TRUE(fixture.report.server().departed());
    EXPECT_TRUE(fixture.server.polls.empty());
    fixture.sim.now += duration{120};
    fleet::on_tick(fixture.agent);
    EXPECT_EQ(fixture.server.polls.size(), 1U);
}

// Refused connections alone don't show that a server has ended.
TEST(single_agent, takes_a_server_for_departed_once_its_announced_end_shows) {
    agent_fixture fixture;
    fleet::on_orders(fixture.agent, fixture.orders(false));
    fixture.confirm_start();
    fixture.server.fail(fleet::server_status::unreachable);
    fleet::report_now(fixture.agent);
    EXPECT_FALSE(fixture.report.server().departed());
    fleet::on_departure(fixture.agent, "i-1");
    EXPECT_FALSE(fixture.report.server().departed());
    EXPECT_TRUE(fixture.report.server().draining());
    fixture.server.time_out();
    EXPECT_FALSE(fixture.report.server().departed());
    fixture.sim.now += duration{40};
    fleet::on_tick(fixture.agent);
    fixture.server.fail(fleet::server_status::unreachable);
    EXPECT_TRUE(fixture.report.server().departed());
}

// The clock of a host went back before its server started again. The agent
// took each heartbeat of the new life for a late one of an earlier life.
TEST(single_agent, follows_a_server_that_starts_after_its_clock_went_back) {
    agent_fixture fixture;
    fixture.sim.run_for(duration{1000});
    fleet::on_tick(fixture.agent);
    ASSERT_FALSE(fixture.server.polls.empty());
    fixture.server.disown(); // The followed life has ended.
    ASSERT_TRUE(fixture.report.server().departed());
    auto next = fixture.agent.last_heartbeat;
    next.id = "i-2";
    next.started_unix_ms = 4;
    fleet::on_heartbeat(fixture.agent, next);
    EXPECT_EQ(fixture.server.last_polled_id, "i-2");
    if (!fixture.server.polls.empty())
        fixture.server.answer(false, 40, {});
    fleet::report_now(fixture.agent);
    EXPECT_EQ(fixture.report.server().incarnation(), "i-2@4");
}

} // namespace celerylift::test
