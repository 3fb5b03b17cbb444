// Which connection of a process a listener reads and answers.
#include <celerylift/net/peer_connections.hpp>

#include <gtest/gtest.h>

namespace celerylift::test {

namespace {

using net::accept_message;
using net::connection_id;
using net::known_processes;
using net::parse_connection_id;

constexpr std::int64_t started = 1'700'000'000'000;
constexpr std::int64_t restarted = started + 60'000;

const connection_id first{"agent-1", started, 1};
const connection_id second{"agent-1", started, 2};
const connection_id after_restart{"agent-1", restarted, 1};
const connection_id of_earlier_version{"agent-1", 0, 0};

time_point at(int ms) {
    return time_point{duration{ms}};
}

} // namespace

TEST(connection_id, is_read_from_its_routing_id) {
    for (const auto& id : {first, second, of_earlier_version})
        EXPECT_EQ(parse_connection_id(to_string(id)), id);
}

TEST(connection_id, is_the_name_of_a_process_where_it_has_no_valid_numbers) {
    for (const char* name :
         {"", "agent-1", "agent#1", "agent#1.x", "agent#.2", "agent#0.2",
          "agent#-1.2", "agent#1.2 ", "10.1.0.19:8526", "agent.1#2"}) {
        const auto id = parse_connection_id(name);
        EXPECT_EQ(id.process, name);
        EXPECT_FALSE(is_numbered(id)) << name;
    }
}

// A connection that was held up delivers its messages after a newer one has.
TEST(newest_connection, is_the_only_one_that_is_read) {
    known_processes known;
    EXPECT_TRUE(accept_message(known, first, at(0)));
    EXPECT_TRUE(accept_message(known, second, at(10)));
    EXPECT_FALSE(accept_message(known, first, at(20)));
    EXPECT_EQ(known.at("agent-1").newest, second);
    // However long the newer one has been silent.
    EXPECT_FALSE(accept_message(known, first, at(100'000)));
    EXPECT_TRUE(accept_message(known, second, at(100'010)));
}

TEST(newest_connection, is_known_for_each_process) {
    known_processes known;
    const connection_id other{"agent-2", started, 1};
    EXPECT_TRUE(accept_message(known, second, at(0)));
    EXPECT_TRUE(accept_message(known, other, at(1)));
    EXPECT_FALSE(accept_message(known, first, at(2)));
}

TEST(newest_connection, is_that_of_the_process_that_started_last) {
    known_processes known;
    EXPECT_TRUE(accept_message(known, second, at(0)));
    EXPECT_TRUE(accept_message(known, after_restart, at(1)));
    EXPECT_FALSE(accept_message(known, second, at(2)));
    EXPECT_FALSE(accept_message(known, second, at(100'000)));
}

// The clock of a host may be set back while its process restarts.
TEST(restarted_process, is_read_after_a_silence_where_its_clock_was_set_back) {
    known_processes known;
    EXPECT_TRUE(accept_message(known, after_restart, at(0)));
    EXPECT_FALSE(accept_message(known, first, at(2000)));
    EXPECT_TRUE(accept_message(known, first, at(2600)));
    // What the earlier process had sent may still arrive.
    EXPECT_FALSE(accept_message(known, after_restart, at(2700)));
    EXPECT_FALSE(accept_message(known, after_restart, at(60'000)));
    EXPECT_TRUE(accept_message(known, second, at(60'010)));
}

TEST(process_of_an_earlier_version, gives_way_to_a_later_one_and_can_return) {
    known_processes known;
    EXPECT_TRUE(accept_message(known, of_earlier_version, at(0)));
    EXPECT_TRUE(accept_message(known, of_earlier_version, at(1)));
    EXPECT_TRUE(accept_message(known, first, at(2)));
    EXPECT_FALSE(accept_message(known, of_earlier_version, at(3)));
    EXPECT_TRUE(accept_message(known, of_earlier_version, at(2600)));
    EXPECT_TRUE(accept_message(known, after_restart, at(2601)));
    // A later process that finds no answer to its probes goes by its name.
    EXPECT_TRUE(accept_message(known, of_earlier_version, at(6000)));
    EXPECT_TRUE(accept_message(known, {"agent-1", restarted, 7}, at(6001)));
}

TEST(silent_process, is_forgotten_after_some_minutes) {
    known_processes known;
    accept_message(known, second, at(0));
    forget_silent_processes(known, at(300'000));
    EXPECT_EQ(known.size(), 1U);
    accept_message(known, {"agent-2", started, 1}, at(300'000));
    forget_silent_processes(known, at(700'000));
    EXPECT_EQ(known.size(), 1U);
    EXPECT_TRUE(known.contains("agent-2"));
}

} // namespace celerylift::test
