// Links between celerylift processes, on loopback.
#include <celerylift/net/message_node.hpp>

#include <fleet.pb.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace celerylift::test {

namespace {

constexpr duration tick{10};
constexpr int most_ticks = 1000; // Ten seconds.
constexpr int answers_to_a_greeting = 20;

std::uint16_t free_port() {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    const bool bound =
        bind(probe, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
        getsockname(probe, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    close(probe);
    if (!bound)
        throw std::runtime_error("cannot find a free port on loopback");
    return ntohs(at.sin_port);
}

fleet::FleetEnvelope text(const std::string& what) {
    fleet::FleetEnvelope envelope;
    envelope.set_from(what);
    return envelope;
}

/// An entry that answers each message with many messages at once, and a peer
/// that sends it messages until a condition holds.
struct two_processes {
    net::control_loop loop;
    base::address at{"127.0.0.1", free_port()};
    std::unique_ptr<net::message_node> entry;
    std::unique_ptr<net::message_node> peer;
    std::vector<std::string> heard; // By the peer.
    std::function<void()> on_heard;
    std::function<bool()> satisfied;
    std::string greeting = "first";
    int ticks = 0;

    two_processes() {
        entry = std::make_unique<net::message_node>(
            loop, "entry", [this](const std::string& from, std::string_view b) {
                fleet::FleetEnvelope greeted;
                greeted.ParseFromArray(b.data(), static_cast<int>(b.size()));
                for (int n = 0; n < answers_to_a_greeting; ++n)
                    entry->send(from, greeted);
            });
        peer = std::make_unique<net::message_node>(
            loop, "peer", [this](const std::string&, std::string_view b) {
                fleet::FleetEnvelope answer;
                answer.ParseFromArray(b.data(), static_cast<int>(b.size()));
                heard.push_back(answer.from());
                on_heard();
            });
        entry->listen(at);
        peer->connect("entry", at);
    }

    void run() {
        loop.every(tick, [this] {
            if (satisfied() || ++ticks > most_ticks)
                return loop.end();
            peer->send("entry", text(greeting));
        });
        loop.run();
    }
};

} // namespace

// A message can show that its sender has ended or has another address. The
// process then closes the connection from which it is reading that message.
TEST(link, can_be_closed_and_reopened_while_it_is_read) {
    two_processes p;
    p.on_heard = [&p] {
        if (p.greeting == "second")
            return;
        p.greeting = "second";
        p.peer->disconnect("entry");
        p.peer->connect("entry", p.at);
    };
    p.satisfied = [&p] { return p.heard.back() == "second"; };
    p.heard.emplace_back();
    p.run();
    EXPECT_EQ(p.heard.back(), "second");
    // Messages that were queued on the closed connection are dropped.
    EXPECT_EQ(std::ranges::count(p.heard, "first"), 1);
}

TEST(link, can_be_closed_for_good_while_it_is_read) {
    two_processes p;
    // Messages are dropped before the connection is made and after it is
    // closed.
    std::uint64_t dropped_before = 0;
    p.on_heard = [&] {
        p.peer->disconnect("entry");
        dropped_before = p.peer->dropped();
    };
    p.satisfied = [&] {
        return !p.heard.empty() && p.peer->dropped() > dropped_before;
    };
    p.run();
    EXPECT_EQ(p.heard.size(), 1U);
    EXPECT_GT(p.peer->dropped(), dropped_before);
}

} // namespace celerylift::test
