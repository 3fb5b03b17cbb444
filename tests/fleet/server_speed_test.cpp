// Servers of one label that run at different speeds: what is learned from runs,
// and where urgent and batch work then goes.
#include "owner_fixture.hpp"
#include "virtual_fleet.hpp"

#include <celerylift/fleet/placement.hpp>
#include <celerylift/fleet/server_speed.hpp>

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace celerylift::test {

namespace {

using fleet::speed_estimate;

constexpr double slow = 1.67;
constexpr double fast = 0.6;
constexpr fleet::resources whole_server{100'000, 400'000, 8};
constexpr fleet::resources small{11'000, 33'000, 1};

/// A service whose tasks differ by up to 30 percent and whose declared times
/// are off by up to 20 percent.
struct uneven_service {
    explicit uneven_service(std::vector<double> factors, unsigned seed)
        : slowness(std::move(factors)), random(seed) {}

    /// Runs a step of one task on each of these servers.
    void run_step(const std::vector<std::size_t>& servers, double work_ms) {
        std::uniform_real_distribution<> task(0.85, 1.15);
        std::uniform_real_distribution<> declared(0.8, 1.2);
        for (const auto server : servers)
            samples.push_back(
                {server, steps.size(),
                 std::log(work_ms * task(random) * slowness[server]), 1.0});
        steps.push_back({0, true, std::log(work_ms * declared(random))});
    }

    std::vector<speed_estimate> estimate() const {
        return estimate_speeds(samples, steps,
                               std::vector<speed_estimate>(slowness.size()));
    }

    std::vector<double> slowness;
    std::mt19937 random;
    std::vector<fleet::speed_sample> samples;
    std::vector<fleet::step_work> steps;
};

std::vector<std::size_t> range(std::size_t from, std::size_t to) {
    std::vector<std::size_t> all;
    for (auto i = from; i < to; ++i)
        all.push_back(i);
    return all;
}

const std::vector<double> three_speeds{fast, 1.0, slow, fast, 1.0, slow,
                                       fast, 1.0, slow, fast, 1.0, slow};

fleet::SpeedEstimate kept(double slowness) {
    fleet::SpeedEstimate estimate;
    estimate.set_log_slowness(std::log(slowness));
    estimate.set_weight(6);
    return estimate;
}

/// Twelve servers in one rack: each third is slow, each third fast.
struct uneven_owner : owner_fixture {
    uneven_owner() : owner_fixture(12) {
        for (int n = 0; n < 12; ++n)
            kept_speeds[n] = kept(three_speeds[static_cast<std::size_t>(n)]);
        take_over();
    }
};

bool is_slow(int server) {
    return server % 3 == 2;
}

} // namespace

// ---- Learning the speeds ----

TEST(server_speeds, are_told_apart_after_three_runs_on_each_server) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        uneven_service service(three_speeds, seed);
        for (const double work_ms : {8000, 3000, 12'000})
            service.run_step(range(0, 12), work_ms);
        const auto found = service.estimate();
        const auto cell = distribution_of(found);
        EXPECT_TRUE(cell.is_uneven) << seed;
        for (std::size_t i = 0; i < found.size(); ++i)
            EXPECT_NEAR(found[i].log_slowness, std::log(three_speeds[i]), 0.22)
                << seed << " " << i;
    }
}

TEST(server_speeds, are_compared_between_steps_that_share_no_server) {
    // Slow and fast servers run different steps: only the declared times link
    // them.
    uneven_service service({slow, slow, slow, slow, fast, fast, fast, fast}, 1);
    for (int n = 0; n < 4; ++n) {
        service.run_step(range(0, 4), 8000);
        service.run_step(range(4, 8), 8000);
    }
    const auto found = service.estimate();
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_GT(found[i].log_slowness, found[i + 4].log_slowness + 0.5);
}

TEST(server_speeds, are_not_changed_by_one_run_that_was_slow_for_seconds) {
    uneven_service service(std::vector<double>(8, 1.0), 3);
    for (int n = 0; n < 5; ++n)
        service.run_step(range(0, 8), 6000);
    service.samples.front().log_run_time += std::log(5.0);
    const auto found = service.estimate();
    EXPECT_FALSE(differs(found.front()));
    EXPECT_FALSE(distribution_of(found).is_uneven);
}

TEST(server_speeds, of_servers_that_run_alike_are_not_told_apart) {
    for (unsigned seed = 1; seed <= 50; ++seed) {
        uneven_service service(std::vector<double>(40, 1.0), seed);
        for (int n = 0; n < 6; ++n)
            service.run_step(range(0, 40), 7000);
        const auto found = service.estimate();
        const auto cell = distribution_of(found);
        EXPECT_FALSE(cell.is_uneven) << seed;
        for (const auto& server : found)
            EXPECT_EQ(planned_slowness(server, cell), 1.0);
    }
}

TEST(server_speeds, of_many_servers_and_small_steps_are_not_told_apart) {
    uneven_service service(std::vector<double>(560, 1.0), 5);
    std::uniform_int_distribution<std::size_t> any(0, 559);
    for (int n = 0; n < 1400; ++n)
        service.run_step({any(service.random), any(service.random)}, 7000);
    EXPECT_FALSE(distribution_of(service.estimate()).is_uneven);
}

TEST(server_speeds, of_steps_without_declared_time_come_from_their_runs) {
    uneven_service service(three_speeds, 2);
    for (int n = 0; n < 4; ++n)
        service.run_step(range(0, 12), 5000);
    for (auto& step : service.steps)
        step = {0, false, 0};
    const auto found = service.estimate();
    EXPECT_GT(found[2].log_slowness, found[1].log_slowness + 0.3);
    EXPECT_LT(found[0].log_slowness, found[1].log_slowness - 0.3);
}

TEST(server_speeds, that_are_unknown_rank_between_average_and_slow_ones) {
    const fleet::speed_distribution cell{true, 0.42};
    const auto planned = [&](double slowness, double weight) {
        return planned_slowness({std::log(slowness), weight}, cell);
    };
    EXPECT_LT(planned(fast, 4), planned(1.0, 4));
    EXPECT_LT(planned(1.0, 4), planned(1.0, 0));
    EXPECT_LT(planned(1.0, 0), planned(slow, 4));
}

TEST(server_speeds, that_cannot_be_are_not_believed) {
    EXPECT_TRUE(is_plausible(speed_estimate{0.5, 3}));
    EXPECT_FALSE(is_plausible(speed_estimate{std::nan(""), 3}));
    EXPECT_FALSE(is_plausible(speed_estimate{0.5, -1}));
    EXPECT_FALSE(is_plausible(speed_estimate{40, 3}));
    EXPECT_FALSE(is_plausible(speed_estimate{0.5, 1e9}));
}

// ---- Placing work by them ----

TEST(uneven_servers, keep_slow_ones_out_of_urgent_gangs) {
    uneven_owner cell;
    cell.add_job("urgent", "urgent", 8, whole_server, true, true);
    cell.run_for(duration{200});
    const auto used = cell.servers_of("urgent");
    ASSERT_EQ(used.size(), 8U);
    EXPECT_TRUE(std::ranges::none_of(used, is_slow));
}

TEST(uneven_servers, give_batch_work_the_slow_ones_first) {
    uneven_owner cell;
    cell.add_job("batch", "normal", 4, whole_server, true);
    cell.run_for(duration{200});
    const auto used = cell.servers_of("batch");
    ASSERT_EQ(used.size(), 4U);
    EXPECT_TRUE(std::ranges::all_of(used, is_slow));
}

TEST(uneven_servers, preempt_batch_work_on_fast_ones_for_urgent_gangs) {
    uneven_owner cell;
    cell.owner.policy.keep_rack_for_urgent = false;
    cell.add_job("batch", "normal", 11, whole_server, false);
    cell.run_for(duration{200});
    cell.report_all();
    cell.add_job("urgent", "urgent", 1, whole_server, true);
    cell.run_for(duration{200});
    // The one server that is free is fast, because batch work left it.
    EXPECT_TRUE(std::ranges::none_of(cell.servers_of("urgent"), is_slow));
    cell.add_job("second", "urgent", 1, whole_server, true);
    cell.run_for(duration{50});
    int stopped_on_slow = 0;
    int stopped = 0;
    for (const auto& [agent, orders] : cell.orders)
        if (orders.stops_size() > 0) {
            ++stopped;
            stopped_on_slow += is_slow(std::stoi(agent.substr(6))) ? 1 : 0;
        }
    EXPECT_EQ(stopped, 1);
    EXPECT_EQ(stopped_on_slow, 0);
}

TEST(uneven_servers, serve_urgent_gangs_on_slow_ones_rather_than_never) {
    uneven_owner cell;
    cell.add_job("urgent", "urgent", 12, whole_server, true, true);
    cell.run_for(duration{1500});
    EXPECT_EQ(cell.servers_of("urgent").size(), 12U);
}

TEST(uneven_servers, of_unknown_speed_get_one_task_each_first) {
    std::vector<fleet::candidate_server> candidates(4);
    const std::vector<std::string> labels;
    const std::vector<std::string> names{"a", "b", "c", "d"};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].agent = names[i];
        candidates[i].labels = &labels;
        candidates[i].capacity = candidates[i].free = {128'000, 512'000, 8};
    }
    candidates[2].has_unknown_speed = candidates[3].has_unknown_speed = true;
    fleet::placement_request request;
    request.each = small;
    request.count = 5;
    request.by_speed = fleet::speed_order::slowest_first;
    request.explores_speeds = true;
    const auto chosen = place_up_to(candidates, request);
    EXPECT_EQ(std::ranges::count(chosen, 2U), 1);
    EXPECT_EQ(std::ranges::count(chosen, 3U), 1);
    EXPECT_EQ(chosen.size(), 5U);
}

TEST(even_servers, are_used_as_they_are_without_learned_speeds) {
    std::vector<std::vector<int>> used;
    for (const bool learns : {true, false}) {
        owner_fixture cell(24);
        cell.owner.policy.use_server_speeds = learns;
        for (int n = 0; n < 24; ++n)
            cell.kept_speeds[n] = kept(n % 2 == 0 ? 1.05 : 0.95);
        cell.take_over();
        cell.add_job("gang", "urgent", 5, whole_server, true, true);
        cell.add_job("batch", "normal", 8, small, false);
        cell.add_job("wide", "normal", 2, whole_server, true);
        cell.run_for(duration{300});
        for (const auto* job : {"gang", "batch", "wide"})
            used.push_back(cell.servers_of(job));
    }
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_FALSE(used[i].empty());
        EXPECT_EQ(used[i], used[i + 3]);
    }
}

// ---- What outlives an owner ----

TEST(kept_speeds, are_used_by_the_first_pass_of_a_new_owner) {
    uneven_owner cell;
    cell.run_for(duration{1000});
    cell.take_over();
    cell.add_job("urgent", "urgent", 8, whole_server, true, true);
    cell.run_for(duration{100});
    const auto used = cell.servers_of("urgent");
    ASSERT_EQ(used.size(), 8U);
    EXPECT_TRUE(std::ranges::none_of(used, is_slow));
}

TEST(kept_speeds, end_with_the_incarnation_of_the_server) {
    virtual_fleet fleet;
    fleet.configure(1);
    fleet.sim.run_for(duration{3000});
    auto& agent = fleet.agent(1);
    fleet::OwnerOrders orders;
    orders.set_epoch(agent.epoch);
    orders.set_incarnation(agent.incarnation);
    *orders.mutable_speed() = kept(slow);
    on_orders(agent, orders);
    ASSERT_TRUE(agent.speed.has_value());
    fleet.server(1).restart();
    fleet.sim.run_for(duration{4000});
    EXPECT_FALSE(fleet.agent(1).speed.has_value());
}

} // namespace celerylift::test
