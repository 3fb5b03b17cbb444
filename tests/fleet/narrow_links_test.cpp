// Messages between celerylift processes over a link of limited bandwidth.
#include <celerylift/net/message_node.hpp>

#include <fleet.pb.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <iterator>
#include <list>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace celerylift::test {

namespace {

constexpr duration tick{10};
constexpr int max_ticks = 1200;         // Twelve seconds.
constexpr int two_mbps = 2'000'000 / 8; // In bytes a second.

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// A listening descriptor on a free port of loopback, and the port.
std::pair<int, std::uint16_t> listen_on_loopback() {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(listener, 4) != 0 ||
        getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
            0)
        throw std::runtime_error("cannot listen on loopback");
    return {listener, ntohs(address.sin_port)};
}

std::uint16_t free_port() {
    const auto [listener, port] = listen_on_loopback();
    close(listener);
    return port;
}

/// Passes connections on to a port, with a bandwidth in each direction.
class narrow_link {
public:
    narrow_link(std::uint16_t to, int bytes_per_s)
        : to_(to), bytes_per_s_(bytes_per_s) {
        std::tie(listener_, port_) = listen_on_loopback();
        threads_.emplace_back([this] { accept_all(); });
    }
    ~narrow_link() {
        ended_ = true;
        shutdown(listener_, SHUT_RDWR);
        threads_.front().join();
        for (const int end : ends_)
            shutdown(end, SHUT_RDWR);
        for (auto it = std::next(threads_.begin()); it != threads_.end(); ++it)
            it->join();
        for (const int end : ends_)
            close(end);
        close(listener_);
    }

    base::address at() const { return {"127.0.0.1", port_}; }

private:
    void accept_all() {
        for (int near = accept(listener_, nullptr, nullptr); near >= 0;
             near = accept(listener_, nullptr, nullptr)) {
            const int far = socket(AF_INET, SOCK_STREAM, 0);
            const auto address = loopback(to_);
            ends_.insert(ends_.end(), {near, far});
            if (ended_ ||
                connect(far, reinterpret_cast<const sockaddr*>(&address),
                        sizeof address) != 0)
                continue;
            threads_.emplace_back([=, this] { pass(near, far); });
            threads_.emplace_back([=, this] { pass(far, near); });
        }
    }

    void pass(int from, int to) const {
        char buffer[4096];
        for (auto size = recv(from, buffer, sizeof buffer, 0); size > 0;
             size = recv(from, buffer, sizeof buffer, 0)) {
            std::this_thread::sleep_for(
                std::chrono::microseconds(size * 1'000'000 / bytes_per_s_));
            if (send(to, buffer, static_cast<std::size_t>(size),
                     MSG_NOSIGNAL) <= 0)
                break;
        }
        shutdown(from, SHUT_RDWR);
        shutdown(to, SHUT_RDWR);
    }

    std::uint16_t to_;
    int bytes_per_s_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> ended_ = false;
    std::list<std::thread> threads_;
    std::vector<int> ends_;
};

/// Sends one message of some length from an entry to a peer over a link.
/// Returns whether it has arrived.
bool arrives(std::size_t bytes, int bytes_per_s) {
    net::control_loop loop;
    const base::address address{"127.0.0.1", free_port()};
    narrow_link link(address.port, bytes_per_s);
    bool sent = false;
    bool received = false;
    net::message_node entry(loop, "entry",
                            [&](const std::string& from, std::string_view) {
                                if (std::exchange(sent, true))
                                    return;
                                fleet::FleetEnvelope envelope;
                                envelope.set_from(std::string(bytes, 'x'));
                                entry.send(from, envelope);
                            });
    net::message_node peer(loop, "peer",
                           [&](const std::string&, std::string_view message) {
                               received = message.size() >= bytes;
                           });
    entry.listen(address);
    peer.connect("entry", link.at());
    int ticks = 0;
    loop.every(tick, [&] {
        if (received || ++ticks > max_ticks)
            return loop.end();
        fleet::FleetEnvelope hello;
        hello.set_from("peer");
        peer.send("entry", hello);
    });
    loop.run();
    return received;
}

} // namespace

// Relayed reads are cut to a length that passes such a link.
TEST(narrow_link, delivers_a_message_of_the_length_of_a_relayed_read) {
    EXPECT_TRUE(arrives(200'000, two_mbps));
}

// While a message arrives, nothing else shows that the connection is alive, and
// its heartbeat's timeout resets it.
TEST(narrow_link, delivers_a_message_that_takes_longer_than_a_heartbeat) {
    EXPECT_TRUE(arrives(1'000'000, two_mbps));
}

} // namespace celerylift::test
