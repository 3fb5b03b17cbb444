// The limits on what all HTTP clients of a process hold together.
#include <celerylift/net/request_budget.hpp>

#include <gtest/gtest.h>

#include <numeric>
#include <string>
#include <vector>

namespace celerylift::test {

namespace {

constexpr std::size_t max_body = 262'144;

time_point at(int ms) {
    return time_point{duration{ms}};
}

net::request_budget budget_of(std::size_t bytes, unsigned connections) {
    net::request_budget budget;
    budget.limits.max_bytes = bytes;
    budget.limits.max_connections = connections;
    return budget;
}

std::size_t used(const net::request_budget& budget) {
    return std::accumulate(budget.bytes.begin(), budget.bytes.end(),
                           std::size_t{0});
}

std::uint64_t refused(const net::request_budget& budget, net::refusal why) {
    return budget.refused[static_cast<std::size_t>(why)];
}

/// A connection that has sent this much of a body.
net::connection_ref sender(net::request_budget& budget, int socket,
                           std::size_t size) {
    const auto added = add_connection(budget, socket, at(socket));
    begin_request(budget, added, 0, at(socket));
    append_body(budget, added, std::string(size, 'x'), max_body);
    return added;
}

bool is_closed(net::connection_ref connection) {
    return connection->phase == net::connection_phase::closing;
}

} // namespace

// Bodies of legal size, each within its own limit, filled the memory.
TEST(request_budget, many_bodies_stay_within_it_together) {
    auto budget = budget_of(8'000'000, 1000);
    for (int i = 0; i < 500; ++i) {
        sender(budget, i, 250'000);
        ASSERT_LE(used(budget), 8'000'000U);
    }
    EXPECT_GT(refused(budget, net::refusal::memory), 400U);
    EXPECT_EQ(budget.to_close.size(), refused(budget, net::refusal::memory));
}

// A caller would not get in while others hold the budget and send nothing.
TEST(request_budget, the_oldest_incomplete_request_gives_way) {
    auto budget = budget_of(1'000'000, 1000);
    const auto idle = add_connection(budget, 1, at(1));
    const auto first = sender(budget, 2, 250'000);
    const auto second = sender(budget, 3, 250'000);
    const auto third = sender(budget, 4, 250'000);
    const auto late = sender(budget, 5, 260'000);
    EXPECT_TRUE(is_closed(first));
    EXPECT_TRUE(first->body.empty());
    EXPECT_FALSE(is_closed(second) || is_closed(third) || is_closed(late));
    EXPECT_FALSE(is_closed(idle)) << "it makes no room";
    EXPECT_EQ(budget.to_close, std::vector<int>{2});
    EXPECT_FALSE(append_body(budget, first, "x", max_body));
}

// A request that is being served was closed, and its caller did not learn
// whether it took effect.
TEST(request_budget, a_request_that_is_served_does_not_give_way) {
    auto budget = budget_of(4'000'000, 1000);
    const auto served = sender(budget, 1, 250'000);
    ASSERT_TRUE(begin_serving(budget, served, at(10)));
    for (int i = 2; i < 100; ++i)
        sender(budget, i, 250'000);
    EXPECT_FALSE(is_closed(served));
    EXPECT_LE(used(budget), 4'000'000U);
}

// Requests that waited for the store filled the memory.
TEST(request_budget, refuses_what_would_wait_beyond_it) {
    auto budget = budget_of(8'000'000, 1000);
    int served = 0;
    for (int i = 0; i < 100; ++i) {
        const auto request = sender(budget, i, 250'000);
        served += begin_serving(budget, request, at(i)) ? 1 : 0;
        ASSERT_LE(used(budget), 8'000'000U);
    }
    EXPECT_EQ(served, 3);
    EXPECT_EQ(refused(budget, net::refusal::busy), 97U);
    const auto small = sender(budget, 200, 500);
    EXPECT_TRUE(begin_serving(budget, small, at(200)))
        << "small requests still have room";
}

// Connections without a request kept new callers out until they timed out.
TEST(request_budget, the_oldest_connection_without_a_request_gives_way) {
    auto budget = budget_of(8'000'000, 100);
    const auto first = add_connection(budget, 1, at(1));
    const auto second = add_connection(budget, 2, at(2));
    end_request(budget, first, at(3)); // It has just been served.
    for (int i = 3; i <= 101; ++i)
        add_connection(budget, i, at(i));
    EXPECT_TRUE(is_closed(second));
    EXPECT_FALSE(is_closed(first));
    EXPECT_EQ(refused(budget, net::refusal::connections), 1U);
}

// More connections than descriptors were accepted while others were closing.
TEST(request_budget, accepts_a_bounded_number_while_others_close) {
    auto budget = budget_of(8'000'000, 100);
    int accepted = 0;
    for (; accepted < 1000 && may_accept(budget); ++accepted)
        add_connection(budget, accepted, at(accepted));
    EXPECT_LT(accepted, 200);
    EXPECT_GE(accepted, 100);
}

// A client that sends a byte now and then kept its request open for ever.
TEST(request_budget, a_request_must_arrive_in_bounded_time) {
    auto budget = budget_of(8'000'000, 100);
    const auto slow = sender(budget, 0, 10);
    const auto newer = sender(budget, 1000, 10);
    append_body(budget, slow, "x", max_body);
    close_overdue(budget, at(60'000));
    EXPECT_TRUE(is_closed(slow));
    EXPECT_FALSE(is_closed(newer));
    EXPECT_EQ(refused(budget, net::refusal::slow), 1U);
}

// A chunked body was read on for ever once it was over the limit.
TEST(request_budget, a_body_over_the_limit_ends_its_connection) {
    auto budget = budget_of(8'000'000, 100);
    const auto fits = sender(budget, 1, max_body);
    const auto over = sender(budget, 2, max_body + 1);
    EXPECT_FALSE(is_closed(fits));
    EXPECT_TRUE(is_closed(over));
    EXPECT_EQ(refused(budget, net::refusal::too_large), 1U);
}

// Responses that nobody reads filled the memory.
TEST(request_budget, responses_that_are_not_read_give_way) {
    auto budget = budget_of(1'000'000, 1000);
    for (int i = 0; i < 500; ++i) {
        const auto reader = sender(budget, i, 10);
        ASSERT_TRUE(begin_serving(budget, reader, at(i)));
        begin_sending(budget, reader, 20'000, at(i));
        ASSERT_FALSE(is_closed(reader));
        ASSERT_LE(used(budget), 1'000'000U);
    }
}

// What was released was counted twice, or never.
TEST(request_budget, is_empty_again_when_its_clients_have_left) {
    auto budget = budget_of(2'000'000, 50);
    std::vector<net::connection_ref> all;
    for (int i = 0; i < 60; ++i) {
        all.push_back(sender(budget, i, 1000UL * static_cast<unsigned>(i)));
        if (i % 2 == 0 && begin_serving(budget, all.back(), at(i)))
            begin_sending(budget, all.back(), 500, at(i));
        if (i % 4 == 0)
            end_request(budget, all.back(), at(i));
    }
    for (const auto connection : all)
        remove_connection(budget, connection);
    EXPECT_EQ(used(budget), 0U);
    EXPECT_EQ(open_connections(budget), 0U);
}

// The limits left no memory to a small machine, or no descriptors.
TEST(client_limits, leave_most_of_a_machine_to_the_process) {
    const auto entry = net::derive_client_limits(260, 4100);
    EXPECT_EQ(entry.max_bytes, 260UL * 1024 * 1024 / 6);
    EXPECT_EQ(entry.max_connections, 1950U);
    const auto agent = net::derive_client_limits(128, 4096);
    EXPECT_EQ(agent.max_bytes, 128UL * 1024 * 1024 / 6);
    EXPECT_EQ(agent.max_connections, 1024U);
    EXPECT_GE(net::derive_client_limits(1, 1).max_connections, 1U);
}

// A thousand callers at once are within the pages' limits.
TEST(client_limits, a_thousand_small_requests_wait_together) {
    net::request_budget budget;
    budget.limits = net::derive_client_limits(260, 4100);
    for (int i = 0; i < 1000; ++i) {
        const auto request = sender(budget, i, 4000);
        ASSERT_TRUE(begin_serving(budget, request, at(i))) << i;
    }
    EXPECT_TRUE(budget.to_close.empty());
}

} // namespace celerylift::test
