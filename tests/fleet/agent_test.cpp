// One agent with a backend server whose replies the test chooses.
#include "simulation.hpp"

#include <celerylift/fleet/agent.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <functional>

namespace celerylift::test {

namespace {

struct scripted_server : fleet::backend_server {
    std::vector<fleet::start_call> starts;
    std::vector<fleet::stop_call> stops;
    std::deque<std::pair<fleet::poll_call,
                         std::function<void(const fleet::poll_reply&)>>>
        holds;
    std::function<void(const fleet::server_reply&)> last_start;
    std::function<void(const fleet::server_reply&)> last_stop;

    void start(const std::string&, const fleet::start_call& call,
               std::function<void(const fleet::server_reply&)> done) override {
        starts.push_back(call);
        last_start = std::move(done);
    }
    void stop(const std::string&, const fleet::stop_call& call,
              std::function<void(const fleet::server_reply&)> done) override {
        stops.push_back(call);
        last_stop = std::move(done);
    }
    void
    poll_runs(const std::string&, const fleet::poll_call& call,
              std::function<void(const fleet::poll_reply&)> done) override {
        holds.emplace_back(call, std::move(done));
    }

    /// Answers the oldest or the newest poll of the runs.
    void answer(bool oldest, std::int64_t clock_ms,
                const std::vector<std::string>& running) {
        fleet::poll_reply reply;
        reply.status = fleet::server_status::ok;
        reply.clock_ms = clock_ms;
        for (const auto& task : running) {
            fleet::RunningTask t;
            t.mutable_name()->set_task(task);
            t.mutable_name()->set_run(1);
            reply.running.push_back(t);
        }
        auto call = oldest ? holds.front() : holds.back();
        oldest ? holds.pop_front() : holds.pop_back();
        call.second(reply);
    }
};

struct agent_alone {
    simulation sim;
    virtual_process process{"agent", sim.now, sim.log};
    scripted_server server;
    fleet::AgentReport report;
    fleet::agent agent{process.runtime, server, "za-north-a",
                       [this](const fleet::AgentReport& r) { report = r; }};

    agent_alone() {
        fleet::server_heartbeat h;
        h.id = "i-1";
        h.started_unix_ms = 5;
        h.sequence = 1;
        h.capacity = {16'000, 16'000, 2};
        fleet::on_heartbeat(agent, h);
        server.answer(true, 100, {});
    }

    fleet::OwnerOrders orders(bool seen, std::int64_t accelerators = 1,
                              const std::string& task = "j.0.0.0") {
        fleet::OwnerOrders o;
        o.set_epoch(4);
        o.set_answered_sent_at_ms(sim.now.time_since_epoch().count());
        o.set_grant_ms(5000);
        o.set_incarnation(agent.incarnation);
        auto* start = o.add_assigned();
        start->mutable_name()->set_task(task);
        start->mutable_name()->set_run(1);
        start->mutable_each()->set_accelerators(accelerators);
        start->set_payload(seen ? "" : "text");
        start->set_seen(seen);
        return o;
    }

    void confirm_start() {
        server.last_start({fleet::server_status::ok, 110, ""});
    }
};

} // namespace

TEST(single_agent, starts_the_runs_it_is_ordered_to) {
    agent_alone a;
    fleet::on_orders(a.agent, a.orders(false));
    ASSERT_EQ(a.server.starts.size(), 1U);
    EXPECT_EQ(a.server.starts[0].payload, "text");
    EXPECT_EQ(a.server.starts[0].fencing_token, 4);
}

// A newer poll reply overtook an older one. The run that the older reply did
// not list was started again, with the empty payload of a run that has been
// seen.
TEST(single_agent, ignores_a_poll_reply_that_was_overtaken) {
    agent_alone a;
    fleet::on_orders(a.agent, a.orders(false));
    a.confirm_start();
    ASSERT_GE(a.server.holds.size(), 2U);
    a.server.answer(false, 120, {"j.0.0.0"});
    a.server.answer(true, 105, {});
    fleet::on_orders(a.agent, a.orders(true));
    EXPECT_EQ(a.server.starts.size(), 1U);
}

TEST(single_agent, never_starts_a_run_that_has_been_seen) {
    agent_alone a;
    fleet::on_orders(a.agent, a.orders(true));
    EXPECT_TRUE(a.server.starts.empty());
}

TEST(single_agent, does_not_exceed_the_capacity_of_its_server) {
    agent_alone a;
    auto orders = a.orders(false, 2, "j.0.0.0");
    *orders.add_assigned() = a.orders(false, 1, "j.0.0.1").assigned(0);
    fleet::on_orders(a.agent, orders);
    EXPECT_EQ(a.server.starts.size(), 1U);
}

TEST(single_agent, starts_nothing_for_an_owner_that_was_replaced) {
    agent_alone a;
    auto newer = a.orders(false);
    newer.set_epoch(9);
    newer.clear_assigned();
    fleet::on_orders(a.agent, newer);
    fleet::on_orders(a.agent, a.orders(false));
    EXPECT_TRUE(a.server.starts.empty());
}

TEST(single_agent, starts_nothing_on_a_grant_that_is_about_to_expire) {
    agent_alone a;
    auto orders = a.orders(false);
    orders.set_grant_ms(200);
    fleet::on_orders(a.agent, orders);
    EXPECT_TRUE(a.server.starts.empty());
}

TEST(single_agent, fences_a_start_without_an_answer_before_it_abandons_it) {
    agent_alone a;
    fleet::on_orders(a.agent, a.orders(false));
    a.server.last_start({fleet::server_status::unknown, {}, "no answer"});
    a.sim.run_for(duration{500});
    fleet::on_tick(a.agent);
    ASSERT_FALSE(a.server.holds.empty());
    a.server.answer(false, 600, {}); // Polled while the outcome was unknown.
    a.sim.run_for(duration{500});
    fleet::on_tick(a.agent);
    a.server.answer(false, 1100, {});
    fleet::on_tick(a.agent);
    ASSERT_EQ(a.server.stops.size(), 1U);
    EXPECT_EQ(a.report.gone_size(), 0);
    a.server.last_stop({fleet::server_status::ok, 1110, ""});
    a.sim.run_for(duration{500});
    fleet::on_tick(a.agent);
    a.server.answer(false, 1600, {});
    a.sim.run_for(duration{500});
    fleet::on_tick(a.agent);
    a.server.answer(false, 2100, {});
    EXPECT_EQ(a.report.gone_size(), 1);
}

// A delayed heartbeat reset the remaining time of a draining server to a value
// that was out of date.
TEST(single_agent, takes_the_remaining_time_from_the_newest_heartbeat) {
    agent_alone a;
    auto leaving = a.agent.last_heartbeat;
    leaving.sequence = 3;
    leaving.draining = true;
    leaving.remaining = duration{2000};
    fleet::on_heartbeat(a.agent, leaving);
    a.sim.run_for(duration{1500});
    auto late = leaving;
    late.sequence = 2;
    fleet::on_heartbeat(a.agent, late);
    fleet::report_now(a.agent);
    EXPECT_EQ(a.report.server().remaining_ms(), 500);
}

} // namespace celerylift::test
