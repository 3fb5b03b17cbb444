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
constexpr int max_ticks = 1000; // Ten seconds.
constexpr int replies_per_message = 20;

std::uint16_t free_port() {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool bound =
        bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(probe);
    if (!bound)
        throw std::runtime_error("cannot find a free port on loopback");
    return ntohs(address.sin_port);
}

fleet::FleetEnvelope make_envelope(const std::string& sender) {
    fleet::FleetEnvelope envelope;
    envelope.set_from(sender);
    return envelope;
}

/// An entry that answers each message with many messages at once, and a peer
/// that sends it messages until a condition holds.
struct linked_processes {
    net::control_loop loop;
    base::address address{"127.0.0.1", free_port()};
    std::unique_ptr<net::message_node> entry;
    std::unique_ptr<net::message_node> peer;
    std::vector<std::string> received; // By the peer.
    std::function<void()> on_received;
    std::function<bool()> is_finished;
    std::string message = "first";
    int ticks = 0;

    linked_processes() {
        entry = std::make_unique<net::message_node>(
            loop, "entry",
            [this](const std::string& from, std::string_view bytes) {
                fleet::FleetEnvelope received_message;
                received_message.ParseFromArray(bytes.data(),
                                                static_cast<int>(bytes.size()));
                for (int n = 0; n < replies_per_message; ++n)
                    entry->send(from, received_message);
            });
        peer = std::make_unique<net::message_node>(
            loop, "peer", [this](const std::string&, std::string_view bytes) {
                fleet::FleetEnvelope answer;
                answer.ParseFromArray(bytes.data(),
                                      static_cast<int>(bytes.size()));
                received.push_back(answer.from());
                on_received();
            });
        entry->listen(address);
        peer->connect("entry", address);
    }

    void run() {
        loop.every(tick, [this] {
            if (is_finished() || ++ticks > max_ticks)
                return loop.end();
            peer->send("entry", make_envelope(message));
        });
        loop.run();
    }
};

} // namespace

// A message can show that its sender has ended or has another address. The
// process then closes the connection from which it is reading that message.
TEST(link, can_be_closed_and_reopened_while_it_is_read) {
    linked_processes processes;
    processes.on_received = [&processes] {
        if (processes.message == "second")
            return;
        processes.message = "second";
        processes.peer->disconnect("entry");
        processes.peer->connect("entry", processes.address);
    };
    processes.is_finished = [&processes] {
        return processes.received.back() == "second";
    };
    processes.received.emplace_back();
    processes.run();
    EXPECT_EQ(processes.received.back(), "second");
    // Messages that were queued on the closed connection are dropped.
    EXPECT_EQ(std::ranges::count(processes.received, "first"), 1);
}

TEST(link, can_be_closed_for_good_while_it_is_read) {
    linked_processes processes;
    // Messages are dropped while there is no connection.
    std::uint64_t dropped_before = 0;
    processes.on_received = [&] {
        processes.peer->disconnect("entry");
        dropped_before = processes.peer->dropped();
    };
    processes.is_finished = [&] {
        return !processes.received.empty() &&
               processes.peer->dropped() > dropped_before;
    };
    processes.run();
    EXPECT_EQ(processes.received.size(), 1U);
    EXPECT_GT(processes.peer->dropped(), dropped_before);
}

} // namespace celerylift::test
