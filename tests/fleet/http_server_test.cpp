// The HTTP server that stops while its callers still send requests.
#include <celerylift/net/async_http_server.hpp>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

namespace celerylift::test {

namespace {

std::uint16_t free_port() {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool bound =
        bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    close(probe);
    if (!bound)
        throw std::runtime_error("cannot bind a port on loopback");
    return ntohs(address.sin_port);
}

int connect_to(std::uint16_t port) {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (connect(connection, reinterpret_cast<sockaddr*>(&address),
                sizeof address) != 0)
        throw std::runtime_error("cannot connect on loopback");
    return connection;
}

/// Sends this many requests without waiting for their answers, and then no
/// more.
void send_requests(int connection, int count) {
    std::string text;
    for (int i = 0; i < count; ++i)
        text += "GET /open HTTP/1.1\r\nHost: test\r\n\r\n";
    send(connection, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

} // namespace

// A request that the I/O thread reads after the server has released all open
// ones must not be left open: libmicrohttpd ends the process then.
TEST(stopping_server, leaves_no_request_open_that_arrives_while_it_stops) {
    constexpr int rounds = 100;
    constexpr int requests_before_stop = 100;
    for (int round = 0; round < rounds; ++round) {
        const auto port = free_port();
        net::control_loop loop;
        std::atomic<int> received = 0;
        auto server = std::make_unique<net::async_http_server>(
            loop, base::address{"127.0.0.1", port}, net::http_server_limits{},
            [&](const net::served_request&, const net::responder& respond) {
                respond({200, "", {}});
                if (++received == requests_before_stop)
                    loop.end();
            });
        std::array<int, 32> connections{};
        for (auto& connection : connections) {
            connection = connect_to(port);
            send_requests(connection, 40);
        }
        loop.run();
        server.reset();
        EXPECT_GE(received, requests_before_stop);
        for (const auto connection : connections)
            close(connection);
    }
}

} // namespace celerylift::test
