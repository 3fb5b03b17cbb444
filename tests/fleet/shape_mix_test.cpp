// The shapes in recent demand, and the packing of tasks so that room for them
// remains, on services that run out of memory before accelerators.
#include "owner_fixture.hpp"

#include <celerylift/fleet/placement.hpp>
#include <celerylift/fleet/shape_mix.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <string>
#include <vector>

namespace celerylift::test {

namespace {

/// An owner with the switches on that are off by default.
struct scarcity_owner : owner_fixture {
    explicit scarcity_owner(int servers) : owner_fixture(servers) {
        owner.policy.share_by_scarcity = true;
        owner.policy.pack_by_mix = true;
    }
};

using fleet::resources;
using fleet::shape_mix;

constexpr resources idle_server{128'000, 512'000, 8};
constexpr resources small{11'000, 33'000, 1};
constexpr resources medium{15'000, 79'000, 0};
constexpr std::int64_t now = 1'000'000;

resources large(std::int64_t accelerators) {
    return {52'000, 270'000, accelerators};
}

/// A mix of small and medium tasks and of large ones with 1 to 8 accelerators,
/// some of which it leaves out.
shape_mix memory_bound_mix() {
    shape_mix mix;
    add_demand(mix, small, 40, now);
    add_demand(mix, medium, 30, now);
    for (const int accelerators : {1, 2, 4, 8})
        add_demand(mix, large(accelerators), 5, now);
    return mix;
}

std::vector<fleet::candidate_server> idle_servers(int count) {
    std::vector<fleet::candidate_server> servers(
        static_cast<std::size_t>(count));
    for (auto& server : servers) {
        server.agent = "agent";
        server.capacity = idle_server;
        server.free = idle_server;
    }
    return servers;
}

/// Places tasks of one shape one by one. Returns how many fit.
int place_tasks(std::vector<fleet::candidate_server>& servers,
                const resources& each, int count,
                const fleet::shape_costs* costs) {
    fleet::placement_request request;
    request.each = each;
    request.packing = costs;
    int placed = 0;
    for (int n = 0; n < count; ++n)
        placed += static_cast<int>(place_up_to(servers, request).size());
    return placed;
}

/// How many large tasks fit into ten servers in which small and medium tasks
/// are placed before them and among them.
int large_tasks_that_fit(unsigned seed, const fleet::shape_costs* costs) {
    std::mt19937 random(seed);
    auto servers = idle_servers(10);
    int fitting = 0;
    for (int n = 0; n < 60; ++n) {
        const auto kind = random() % 10;
        if (kind < 4)
            place_tasks(servers, small, 1, costs);
        else if (kind < 7)
            place_tasks(servers, medium, 1, costs);
        else
            fitting += place_tasks(
                servers, large(static_cast<std::int64_t>(random() % 4 + 1)), 1,
                costs);
    }
    return fitting;
}

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

} // namespace

// ---- The mix ----

TEST(shape_mix, forgets_old_demand) {
    shape_mix mix;
    add_demand(mix, small, 8, now);
    add_demand(mix, medium, 3, now + fleet::shape_half_life_ms);
    EXPECT_EQ(mix.shapes, (std::vector<fleet::weighted_shape>{{small, 4.0},
                                                              {medium, 3.0}}));
    add_demand(mix, small, 1, now + 100 * fleet::shape_half_life_ms);
    EXPECT_EQ(mix.shapes, (std::vector<fleet::weighted_shape>{{small, 1.0}}));
}

TEST(shape_mix, does_not_depend_on_the_order_of_calls) {
    shape_mix later_first;
    add_demand(later_first, medium, 3, now + fleet::shape_half_life_ms);
    add_demand(later_first, small, 8, now);
    EXPECT_EQ(later_first.shapes, (std::vector<fleet::weighted_shape>{
                                      {medium, 3.0}, {small, 4.0}}));
}

// Many small tasks displaced the large ones, whose room is the scarcest.
TEST(shape_mix, keeps_the_large_shapes_of_many) {
    shape_mix mix;
    add_demand(mix, large(8), 3, now);
    for (std::int64_t n = 100; n <= 2000; n += 100)
        add_demand(mix, {n, 1000, 0}, 20, now);
    EXPECT_EQ(mix.shapes.size(), fleet::max_shapes);
    EXPECT_EQ(mix.shapes.front().each, large(8));
}

TEST(shape_mix, tells_whether_memory_or_cores_are_the_limit) {
    using fleet::host_resource;
    EXPECT_EQ(limiting_resource(large(4), idle_server), host_resource::memory);
    EXPECT_EQ(limiting_resource({60'000, 50'000, 2}, idle_server),
              host_resource::cores);
    EXPECT_EQ(limiting_resource(large(8), idle_server), std::nullopt);
    EXPECT_EQ(limiting_resource(small, idle_server), std::nullopt);
    {
        SCOPED_TRACE("which matters once over half of it is in use");
        const auto mix = memory_bound_mix();
        const resources total{1'280'000, 5'120'000, 80};
        EXPECT_FALSE(is_limited_by_host(mix, idle_server,
                                        {900'000, 2'560'000, 80}, total));
        EXPECT_TRUE(
            is_limited_by_host(mix, idle_server, {0, 2'570'000, 0}, total));
        shape_mix accelerator_bound;
        add_demand(accelerator_bound, small, 10, now);
        EXPECT_FALSE(
            is_limited_by_host(accelerator_bound, idle_server, total, total));
    }
}

// ---- Packing ----

TEST(packing, places_small_tasks_beside_large_ones) {
    const auto costs = costs_of(memory_bound_mix(), idle_server);
    auto servers = idle_servers(4);
    EXPECT_EQ(place_tasks(servers, large(2), 2, &costs), 2);
    EXPECT_EQ(place_tasks(servers, small, 6, &costs), 6);
    EXPECT_EQ(std::ranges::count(servers, idle_server,
                                 &fleet::candidate_server::free),
              2);
    EXPECT_EQ(place_tasks(servers, medium, 2, &costs), 2);
    {
        SCOPED_TRACE("so that the largest still fit");
        EXPECT_EQ(place_tasks(servers, large(8), 3, &costs), 2);
    }
}

// Servers were filled one after the other, with eight small tasks or six medium
// ones each, and no large one fitted beside them.
TEST(packing, leaves_room_for_large_tasks) {
    int before = 0;
    int after = 0;
    const auto costs = costs_of(memory_bound_mix(), idle_server);
    for (unsigned seed = 1; seed <= 50; ++seed) {
        before += large_tasks_that_fit(seed, nullptr);
        after += large_tasks_that_fit(seed, &costs);
    }
    RecordProperty("large_tasks_before", before);
    RecordProperty("large_tasks_after", after);
    EXPECT_GT(after, before);
}

TEST(packing, places_all_tasks_of_one_request_as_one_by_one) {
    const auto costs = costs_of(memory_bound_mix(), idle_server);
    fleet::placement_request request;
    request.each = small;
    request.count = 20;
    request.packing = &costs;
    auto together = idle_servers(5);
    auto one_by_one = together;
    EXPECT_EQ(place(together, request).size(), 20U);
    EXPECT_EQ(place_tasks(one_by_one, small, 20, &costs), 20);
    for (std::size_t n = 0; n < together.size(); ++n)
        EXPECT_EQ(together[n].free, one_by_one[n].free) << n;
}

// ---- By an owner ----

/// Lets one task wait for room on eight servers, and then ends all.
void make_work_wait_for_room(owner_fixture& fixture) {
    fixture.add_job(job_id(9), "normal", 9, large(1), false);
    fixture.run_for(duration{50});
    EXPECT_EQ(fixture.assigned_tasks(), 8);
    fixture.report_all();
    for (int server = 0; server < 8; ++server)
        fixture.complete(server, 1);
    fixture.run_for(duration{50});
    for (int server = 0; server < 8; ++server)
        if (fixture.servers_of(job_id(9)) == std::vector<int>{server}) {
            fixture.report(server);
            fixture.complete(server, 1);
        }
    fixture.run_for(duration{50});
    EXPECT_EQ(fixture.assigned_tasks(), 0);
}

// Each server took six medium tasks, and only four large ones had room.
TEST(owner_packing, leaves_room_for_large_tasks_once_work_has_waited) {
    for (const bool pack : {false, true}) {
        SCOPED_TRACE(pack);
        scarcity_owner fixture(8);
        fixture.owner.policy.keep_rack_for_urgent = false;
        fixture.owner.policy.pack_by_mix = pack;
        make_work_wait_for_room(fixture);
        fixture.add_job(job_id(1), "normal", 1, large(1), false);
        fixture.run_for(duration{50});
        fixture.add_job(job_id(2), "normal", 24, medium, false);
        fixture.run_for(duration{50});
        EXPECT_EQ(fixture.assigned_tasks(), 25);
        fixture.add_job(job_id(3), "normal", 7, large(1), false);
        fixture.run_for(duration{50});
        EXPECT_EQ(fixture.assigned_tasks(), 25 + (pack ? 7 : 4));
        EXPECT_EQ(
            fixture.process.metrics.counter("passes_packed_by_mix_total") > 0,
            pack);
    }
}

// With room for all, placement is the same as without the mix, however much is
// in use.
TEST(owner_packing, changes_nothing_before_work_waits_for_room) {
    std::vector<std::vector<int>> used;
    for (const bool pack : {false, true}) {
        scarcity_owner fixture(8);
        fixture.owner.policy.keep_rack_for_urgent = false;
        fixture.owner.policy.pack_by_mix = pack;
        fixture.add_job(job_id(1), "normal", 1, large(1), false);
        fixture.run_for(duration{50});
        fixture.add_job(job_id(2), "normal", 24, medium, false);
        fixture.run_for(duration{50});
        used.push_back(fixture.servers_of(job_id(1)));
        used.push_back(fixture.servers_of(job_id(2)));
        EXPECT_EQ(fixture.process.metrics.counter("passes_packed_by_mix_total"),
                  0);
    }
    EXPECT_EQ(used[0], used[2]);
    EXPECT_EQ(used[1], used[3]);
}

TEST(owner_packing, rebuilds_the_mix_after_a_takeover) {
    scarcity_owner fixture(4);
    fixture.add_job(job_id(1), "normal", 4, large(2), false);
    fixture.run_for(duration{5000});
    fixture.add_job(job_id(2), "urgent", 7, small, false);
    fixture.run_for(duration{5000});
    fixture.add_job(job_id(3), "normal", 9, medium, false);
    const auto mix = fixture.owner.demand.at("order-desk").mix;
    ASSERT_EQ(mix.shapes.size(), 3U);
    fleet::job_index index;
    for (const auto& [id, job] : fixture.owner.jobs)
        index.jobs[id].submission = job.submission;
    deactivate(fixture.owner);
    EXPECT_TRUE(fixture.owner.demand.empty());
    activate(fixture.owner, 2, index, {});
    EXPECT_EQ(fixture.owner.demand.at("order-desk").mix, mix);
    {
        SCOPED_TRACE("and with another configuration");
        on_config(fixture.owner, fixture.owner.config);
        EXPECT_EQ(fixture.owner.demand.at("order-desk").mix, mix);
    }
}

} // namespace celerylift::test
