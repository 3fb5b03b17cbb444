// Links between celerylift processes whose connections are cut, reset, replaced
// or delayed.
#include "raw_peer.hpp"

#include <celerylift/net/message_node.hpp>

#include <fleet.pb.h>
#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace celerylift::test {

namespace {

constexpr duration tick{10};
/// Longer than the period of ZeroMQ's heartbeats would be.
constexpr duration heartbeat_wait{1500};
constexpr duration soon{300};
/// Until a silent connection has been replaced: 2.5 s, and some time to
/// connect.
constexpr duration replacement_wait{4000};
constexpr int max_attempts = 10;
constexpr int queue_limit = 10'000; // Of earlier versions, in messages.

void wait(duration time) {
    std::this_thread::sleep_for(time);
}

std::string message_from(const std::string& sender) {
    fleet::FleetEnvelope envelope;
    envelope.set_from(sender);
    return envelope.SerializeAsString();
}

std::string sender_of(std::string_view bytes) {
    fleet::FleetEnvelope envelope;
    envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    return envelope.from();
}

/// A process with links, and a script that plays its peers in another thread.
struct process {
    net::control_loop loop;
    std::vector<std::string> received; // "peer: message", in order.
    net::message_node node{loop, "process",
                           [this](const std::string& from, std::string_view b) {
                               received.push_back(from + ": " + sender_of(b));
                               if (answers) {
                                   fleet::FleetEnvelope answer;
                                   answer.set_from("answer to " + sender_of(b));
                                   node.send(from, answer);
                               }
                           }};
    bool answers = false;
    std::string sends_to; // A message at each tick, unless empty.
    std::atomic<bool> is_blocked = false;
    base::timer_service timers;
    bool has_timers = false; // They alone call drain().

    void run(const std::function<void()>& script) {
        std::atomic<bool> is_over = false;
        std::exception_ptr failure;
        std::thread peers([&] {
            try {
                script();
            } catch (...) {
                failure = std::current_exception();
            }
            is_over = true;
        });
        loop.every(tick, [&] {
            if (is_over)
                return loop.end();
            while (is_blocked && !is_over)
                wait(tick);
            if (!sends_to.empty()) {
                fleet::FleetEnvelope message;
                message.set_from("process");
                node.send(sends_to, message);
            }
            has_timers ? timers.advance(net::boottime_now()) : node.drain();
        });
        loop.run();
        peers.join();
        if (failure)
            std::rethrow_exception(failure);
    }

    bool has_received(const std::string& line) const {
        return std::ranges::find(received, line) != received.end();
    }
};

/// A process that listens.
struct listener : process {
    std::uint16_t port = find_free_port();

    listener() { node.listen({"127.0.0.1", port}); }

    std::unique_ptr<raw_peer> join(const std::string& routing_id) const {
        auto peer = std::make_unique<raw_peer>(port, routing_id);
        peer->shake_hands();
        return peer;
    }
};

/// A process that is linked to "entry", which the script plays.
struct connector : process {
    raw_listener entry = listen_on_loopback();

    connector() { node.connect("entry", {"127.0.0.1", entry.port}); }
    ~connector() { close(entry.descriptor); }

    std::unique_ptr<raw_peer> accept() const {
        for (int attempts = 1;; ++attempts) {
            auto peer = std::make_unique<raw_peer>(accept_connection(entry));
            try {
                peer->shake_hands();
                return peer;
            } catch (const std::runtime_error&) {
                // The process has given this attempt up.
                if (attempts == max_attempts)
                    throw;
            }
        }
    }
    /// Accepts a connection and returns its first probe.
    std::unique_ptr<raw_peer> accept_and_confirm() const {
        auto peer = accept();
        if (!peer->receive_message().empty())
            throw std::runtime_error("the first message is no probe");
        peer->send_message("");
        return peer;
    }
};

} // namespace

// A host that was cut off opens a new connection under the routing id of the
// old one, on which bytes and a reset arrive late. libzmq aborted the process
// at the old connection's next heartbeat. Processes of earlier versions still
// use one routing id for all connections.
TEST(listener, survives_late_bytes_and_a_reset_on_a_replaced_connection) {
    listener process;
    process.run([&] {
        const auto old = process.join("agent");
        old->send_message(message_from("old"));
        wait(soon);
        const auto replacement = process.join("agent");
        replacement->send_message(message_from("new"));
        wait(soon);
        old->send_message(message_from("late"));
        wait(soon);
        old->reset();
        wait(heartbeat_wait);
        replacement->send_message(message_from("newer"));
        wait(soon);
    });
    EXPECT_TRUE(process.has_received("agent: new"));
    EXPECT_TRUE(process.has_received("agent: newer"));
    EXPECT_FALSE(process.has_received("agent: late"));
}

// The second way into the same abort: the receive queue is full, so that input
// has stopped when the connection is reset. A heartbeat of libzmq is due then,
// or one of the peer's is read later.
TEST(listener, survives_a_reset_while_its_receive_queue_is_full) {
    listener process;
    process.run([&] {
        const auto peer = process.join("agent");
        process.is_blocked = true;
        wait(soon);
        EXPECT_TRUE(peer->flood(message_from("flood"), 40 * queue_limit));
        peer->reset();
        wait(heartbeat_wait);
        process.is_blocked = false;
        wait(soon);
    });
    EXPECT_TRUE(process.has_received("agent: flood"));
}

TEST(link, survives_a_reset_while_its_receive_queue_is_full) {
    connector process;
    process.run([&] {
        const auto entry = process.accept_and_confirm();
        entry->send_message(message_from("first"));
        wait(soon);
        process.is_blocked = true;
        wait(soon);
        EXPECT_TRUE(entry->flood(message_from("flood"), 40 * queue_limit));
        entry->reset();
        wait(heartbeat_wait);
        process.is_blocked = false;
        wait(soon);
        // What was not read is lost with its connection.
        const auto next = process.accept_and_confirm();
        next->send_message(message_from("next"));
        wait(soon);
    });
    EXPECT_TRUE(process.has_received("entry: first"));
    EXPECT_TRUE(process.has_received("entry: next"));
}

// What an older connection still brings was sent before what the newer one has
// brought, and would be believed.
TEST(listener, reads_and_answers_the_newest_connection_of_a_process_only) {
    listener process;
    process.answers = true;
    std::string answer;
    process.run([&] {
        const auto old = process.join("agent#1700000000000.1");
        old->send_message("");
        EXPECT_EQ(old->receive_message(), "");
        old->send_message(message_from("old"));
        EXPECT_EQ(sender_of(old->receive_message()), "answer to old");
        const auto replacement = process.join("agent#1700000000000.2");
        replacement->send_message(message_from("new"));
        EXPECT_EQ(sender_of(replacement->receive_message()), "answer to new");
        old->send_message(message_from("late"));
        old->send_message("");
        wait(soon);
        old->reset();
        wait(heartbeat_wait);
        replacement->send_message(message_from("newer"));
        EXPECT_EQ(sender_of(replacement->receive_message()), "answer to newer");
    });
    EXPECT_FALSE(process.has_received("agent: late"));
    EXPECT_EQ(process.node.superseded(), 2U);
}

// An older connection may also be established only after a newer one.
TEST(listener, does_not_read_an_older_connection_that_is_established_later) {
    listener process;
    process.run([&] {
        const auto replacement = process.join("agent#1700000000000.2");
        replacement->send_message(message_from("new"));
        wait(soon);
        const auto old = process.join("agent#1700000000000.1");
        old->send_message(message_from("late"));
        wait(soon);
    });
    EXPECT_EQ(process.received, std::vector<std::string>{"agent: new"});
}

// Each cut of a host leaves a connection behind.
TEST(listener, keeps_no_descriptor_of_connections_that_were_replaced) {
    constexpr int replacements = 200;
    listener process;
    int before = 0;
    int after = 0;
    process.run([&] {
        auto current = process.join("agent#1700000000000.1");
        current->send_message(message_from("first"));
        wait(soon);
        before = count_descriptors();
        for (int n = 2; n < 2 + replacements; ++n) {
            auto replacement =
                process.join("agent#1700000000000." + std::to_string(n));
            replacement->send_message("");
            replacement->receive_message();
            current->send_message(message_from("late"));
            n % 2 == 0 ? current->reset() : current->close();
            current = std::move(replacement);
        }
        wait(soon);
        after = count_descriptors();
    });
    EXPECT_LE(after, before + 2);
    EXPECT_EQ(process.received.size(), 1U);
}

TEST(link, is_replaced_under_a_new_routing_id_when_it_was_reset) {
    connector process;
    process.sends_to = "entry";
    process.run([&] {
        const auto first = process.accept_and_confirm();
        EXPECT_EQ(sender_of(first->receive_message()), "process");
        first->reset();
        const auto second = process.accept_and_confirm();
        EXPECT_EQ(sender_of(second->receive_message()), "process");
        EXPECT_NE(first->routing_id(), second->routing_id());
        const auto id = net::parse_connection_id(second->routing_id());
        EXPECT_EQ(id.process, "process");
        EXPECT_LT(net::parse_connection_id(first->routing_id()), id);
    });
}

// A connection can go silent for good without a reset. Between entries, nothing
// but the probes shows it.
TEST(link, is_replaced_when_its_peer_goes_silent) {
    connector process;
    process.run([&] {
        const auto silent = process.accept_and_confirm();
        const auto since = std::chrono::steady_clock::now();
        process.accept_and_confirm()->close();
        EXPECT_LT(std::chrono::steady_clock::now() - since, replacement_wait);
    });
    EXPECT_GE(process.node.lost(), 1U);
}

TEST(link, is_opened_and_replaced_by_timers) {
    connector process;
    process.has_timers = true;
    process.node.use_timers(process.timers);
    process.run([&] {
        const auto silent = process.accept_and_confirm();
        const auto second = process.accept_and_confirm();
        second->reset();
        // Nobody listens for a while.
        wait(soon);
        const auto third = process.accept_and_confirm();
        EXPECT_EQ(third->receive_message(), "");
    });
    EXPECT_GE(process.node.lost(), 2U);
}

TEST(link, stays_while_its_peer_returns_the_probes) {
    connector process;
    std::unique_ptr<raw_peer> entry;
    process.run([&] {
        entry = process.accept_and_confirm();
        for (int probes = 0; probes < 4; ++probes) {
            EXPECT_EQ(entry->receive_message(), "");
            entry->send_message("");
        }
    });
    EXPECT_EQ(process.node.lost(), 0U);
}

TEST(link, carries_no_message_before_its_peer_has_returned_a_probe) {
    connector process;
    process.sends_to = "entry";
    process.run([&] {
        const auto entry = process.accept();
        EXPECT_EQ(entry->receive_message(), "");
        wait(soon);
        entry->send_message("");
        EXPECT_EQ(sender_of(entry->receive_message()), "process");
    });
    EXPECT_GT(process.node.dropped(), 10U);
}

// During a rolling restart, an entry of an earlier version takes the routing id
// for the name of an agent, and would count its server twice.
TEST(link, gives_its_name_alone_to_a_listener_of_an_earlier_version) {
    connector process;
    process.sends_to = "entry";
    process.run([&] {
        const auto first = process.accept();
        EXPECT_EQ(first->receive_message(), "");
        first->send_message(message_from("welcome"));
        const auto second = process.accept();
        EXPECT_EQ(second->routing_id(), "process");
        EXPECT_EQ(sender_of(second->receive_message()), "process");
        second->send_message(message_from("orders"));
        wait(soon);
        // The entry restarts with a later version.
        second->reset();
        EXPECT_EQ(sender_of(process.accept_and_confirm()->receive_message()),
                  "process");
    });
    EXPECT_EQ(process.received, std::vector<std::string>{"entry: orders"});
}

TEST(link, gives_its_name_alone_where_no_probe_is_answered) {
    connector process;
    process.sends_to = "entry";
    process.run([&] {
        std::vector<std::unique_ptr<raw_peer>> silent;
        for (int n = 0; n < 3; ++n) {
            silent.push_back(process.accept());
            EXPECT_NE(silent.back()->routing_id(), "process");
        }
        EXPECT_EQ(process.accept()->routing_id(), "process");
    });
}

// Processes of both versions, and of one name, one after the other.
TEST(listener, reads_a_process_before_and_after_its_change_of_version) {
    listener process;
    process.answers = true;
    process.run([&] {
        const auto earlier = process.join("agent");
        earlier->send_message(message_from("earlier"));
        EXPECT_EQ(sender_of(earlier->receive_message()), "answer to earlier");
        const auto later = process.join("agent#1700000000000.1");
        later->send_message("");
        EXPECT_EQ(later->receive_message(), "");
        later->send_message(message_from("later"));
        EXPECT_EQ(sender_of(later->receive_message()), "answer to later");
    });
    EXPECT_EQ(process.received,
              (std::vector<std::string>{"agent: earlier", "agent: later"}));
}

} // namespace celerylift::test
