// The HTTP server that stops while its callers still send requests, and whose
// clients send more than it may hold.
#include <celerylift/net/async_http_server.hpp>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

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

/// Reads what arrives until the server closes the connection.
std::string read_all(int connection) {
    std::string text;
    std::array<char, 4096> buffer{};
    for (;;) {
        const auto size = recv(connection, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return text;
        text.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

/// A server with a small budget, whose control thread runs when told to.
struct small_server {
    std::uint16_t port = free_port();
    net::control_loop loop;
    int served = 0;
    std::size_t body_bytes = 0;
    net::async_http_server server{
        loop, base::address{"127.0.0.1", port}, net::http_server_limits{},
        [this](const net::served_request& request,
               const net::responder& respond) {
            ++served;
            body_bytes = request.body.size();
            respond({200, "", {{"Connection", "close"}}});
            loop.end();
        },
        std::make_shared<net::client_budget>(
            net::client_limits{4'000'000, 16, duration{60'000}})};

    int send(const std::string& header, std::size_t body) const {
        const int connection = connect_to(port);
        const auto text = "POST /open HTTP/1.1\r\nHost: test\r\n" + header +
                          "\r\n\r\n" + std::string(body, 'x');
        ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        return connection;
    }
};

std::string announce(std::size_t bytes) {
    return "Content-Length: " + std::to_string(bytes);
}

} // namespace

// The limit over all clients refused one that is inside its own limits.
TEST(crowded_server, serves_a_single_body_of_the_largest_size) {
    small_server small;
    const auto size = net::http_server_limits{}.max_body_bytes;
    const int connection = small.send(announce(size), size);
    small.loop.run();
    EXPECT_NE(read_all(connection).find(" 200 "), std::string::npos);
    EXPECT_EQ(small.body_bytes, size);
    close(connection);
}

// Complete bodies piled up while the control thread was busy.
TEST(crowded_server, refuses_bodies_beyond_its_budget_before_they_are_handled) {
    small_server small;
    const auto header = announce(250'000) + "\r\nConnection: close";
    const int first = small.send(header, 250'000);
    for (int i = 0; i < 1000 && small.server.pending_requests() == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    for (int i = 0; i < 8; ++i) {
        const int connection = small.send(header, 250'000);
        const auto answer = read_all(connection);
        EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
        EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
        close(connection);
    }
    small.loop.run();
    EXPECT_NE(read_all(first).find(" 200 "), std::string::npos);
    EXPECT_EQ(small.served, 1);
    close(first);
}

// A body over the limit was read to its end before it was rejected.
TEST(crowded_server, rejects_a_body_that_is_announced_too_large_unread) {
    small_server small;
    const int connection = small.send(announce(5'000'000), 0);
    EXPECT_NE(read_all(connection).find(" 413 "), std::string::npos);
    EXPECT_EQ(small.served, 0);
    close(connection);
}

// Chunks without end were read for ever.
TEST(crowded_server, cuts_off_chunks_over_the_limit) {
    small_server small;
    const int connection = small.send("Transfer-Encoding: chunked", 0);
    const auto chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
    int chunks = 0;
    while (chunks < 1000 &&
           send(connection, chunk.data(), chunk.size(), MSG_NOSIGNAL) > 0)
        ++chunks;
    EXPECT_LT(chunks, 1000);
    EXPECT_EQ(small.served, 0);
    close(connection);
}

// Connections that sent nothing kept a caller out.
TEST(crowded_server, serves_a_caller_beside_connections_that_send_nothing) {
    small_server small;
    std::vector<int> silent(100);
    for (auto& connection : silent)
        connection = connect_to(small.port);
    const int connection = small.send(announce(3), 3);
    small.loop.run();
    EXPECT_NE(read_all(connection).find(" 200 "), std::string::npos);
    for (const auto each : silent)
        close(each);
    close(connection);
}

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

// A stopping entry told callers that their jobs had been rejected, although the
// writes of these jobs were on their way to the store.
TEST(stopping_server, does_not_reject_a_request_that_may_have_taken_effect) {
    constexpr int rounds = 100;
    for (int round = 0; round < rounds; ++round) {
        const auto port = free_port();
        net::control_loop loop;
        std::vector<net::responder> open;
        net::async_http_server server(
            loop, base::address{"127.0.0.1", port}, net::http_server_limits{},
            [&](const net::served_request&, const net::responder& respond) {
                open.push_back(respond);
                loop.end();
            });
        const int connection = connect_to(port);
        send_requests(connection, 1);
        loop.run();
        EXPECT_EQ(server.stop(), std::vector<std::string>{"GET /open"});
        const auto answer = read_all(connection);
        EXPECT_EQ(answer.find(" 503 "), std::string::npos) << answer;
        EXPECT_NE(answer.find(" 504 "), std::string::npos) << "no answer";
        close(connection);
    }
}

// The process ended while the answer was still on its way to the I/O thread.
TEST(stopping_server, delivers_an_answer_that_was_given_just_before) {
    constexpr int rounds = 100;
    for (int round = 0; round < rounds; ++round) {
        const auto port = free_port();
        net::control_loop loop;
        net::async_http_server server(
            loop, base::address{"127.0.0.1", port}, net::http_server_limits{},
            [&](const net::served_request&, const net::responder& respond) {
                respond({200, "stored", {}});
                loop.end();
            });
        const int connection = connect_to(port);
        send_requests(connection, 1);
        loop.run();
        EXPECT_EQ(server.stop(), std::vector<std::string>{});
        EXPECT_NE(read_all(connection).find("stored"), std::string::npos);
        close(connection);
    }
}

} // namespace celerylift::test
