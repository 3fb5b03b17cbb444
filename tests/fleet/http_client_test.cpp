// The HTTP client with a server that closes a connection without a response.
#include <celerylift/net/http_client.hpp>
#include <celerylift/platform/http_client.hpp>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <thread>
#include <tuple>
#include <utility>

namespace celerylift::test {

namespace {

/// Listens on a free port of loopback. Returns the descriptor and the port.
std::pair<int, std::uint16_t> listen_on_loopback() {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        listen(listener, 4) != 0)
        throw std::runtime_error("cannot listen on loopback");
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    return {listener, ntohs(address.sin_port)};
}

/// Answers one request with a body of ten bytes, of which the first `parts`
/// come one every 100 ms. The others never come.
class slow_server {
public:
    explicit slow_server(int parts) : parts_(parts) {
        std::tie(listener_, port_) = listen_on_loopback();
        thread_ = std::thread([this] { serve(); });
    }
    ~slow_server() {
        ended_ = true;
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }

    base::address at() const { return {"127.0.0.1", port_}; }

private:
    void serve() {
        const int connection = accept(listener_, nullptr, nullptr);
        if (connection < 0)
            return;
        std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
        send(connection, head.data(), head.size(), MSG_NOSIGNAL);
        for (int i = 0; i < parts_ && !ended_; ++i) {
            std::this_thread::sleep_for(duration{100});
            send(connection, "x", 1, MSG_NOSIGNAL);
        }
        while (!ended_)
            std::this_thread::sleep_for(duration{10});
        close(connection);
    }

    int parts_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> ended_ = false;
    std::thread thread_;
};

/// Answers the first request, closes the connection on the second one without a
/// response, and answers any other with status 503. Where `ends_on_second` is
/// set, it accepts no connection from the second request on.
class closing_server {
public:
    explicit closing_server(bool ends_on_second = false)
        : ends_on_second_(ends_on_second) {
        std::tie(listener_, port_) = listen_on_loopback();
        thread_ = std::thread([this] { serve(); });
    }
    ~closing_server() {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }

    base::address at() const { return {"127.0.0.1", port_}; }
    int requests() const { return requests_; }

private:
    void serve() {
        for (int connection = accept(listener_, nullptr, nullptr);
             connection >= 0;
             connection = accept(listener_, nullptr, nullptr)) {
            while (read_request(connection) && answer(connection)) {
            }
            close(connection);
        }
    }

    /// Reads until the end of the body "{}". Returns false if the connection
    /// ends before that.
    static bool read_request(int connection) {
        std::string text;
        char buffer[1024];
        while (!text.ends_with("{}")) {
            const auto size = recv(connection, buffer, sizeof buffer, 0);
            if (size <= 0)
                return false;
            text.append(buffer, static_cast<std::size_t>(size));
        }
        return true;
    }

    bool answer(int connection) {
        const int number = ++requests_;
        if (number == 2 && ends_on_second_)
            shutdown(listener_, SHUT_RDWR);
        if (number == 2)
            return false;
        const std::string text =
            number == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                        : "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}";
        return send(connection, text.data(), text.size(), MSG_NOSIGNAL) > 0;
    }

    bool ends_on_second_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<int> requests_ = 0;
    std::thread thread_;
};

net::client_response call(net::control_loop& loop, net::http_client& client,
                          const net::client_request& request) {
    net::client_response result;
    client.call(request, [&](const net::client_response& response) {
        result = response;
        loop.end();
    });
    loop.run();
    loop.restart();
    return result;
}

net::client_response call(net::control_loop& loop, net::http_client& client,
                          const base::address& address) {
    net::client_request request;
    request.method = "POST";
    request.to = address;
    request.path = "/api/kv-txn";
    request.body = "{}";
    return call(loop, client, request);
}

/// Reads from a server with a timeout of 400 ms.
net::client_response read(const base::address& address) {
    net::control_loop loop;
    net::http_client client(loop);
    net::client_request request;
    request.to = address;
    request.path = "/api/kv-range";
    request.timeout = duration{400};
    request.extend_while_receiving = true;
    return call(loop, client, request);
}

} // namespace

// The client library sent a write again that the store had already done. The
// second one was refused, and the caller was told that the job would never run.
TEST(http_client, never_resends_a_request_by_itself) {
    closing_server server;
    net::control_loop loop;
    net::http_client client(loop);
    EXPECT_EQ(call(loop, client, server.at()).status, 200);
    const auto second = call(loop, client, server.at());
    EXPECT_EQ(second.result, net::call_result::unknown);
    EXPECT_EQ(server.requests(), 2);
}

// A server crashed under a request. The client library connected again in vain,
// and the caller was told that the request had never been sent.
TEST(http_client, reports_a_request_under_which_its_server_ends_as_unknown) {
    closing_server server(true);
    net::control_loop loop;
    net::http_client client(loop);
    EXPECT_EQ(call(loop, client, server.at()).status, 200);
    EXPECT_EQ(call(loop, client, server.at()).result,
              net::call_result::unknown);
    EXPECT_EQ(call(loop, client, server.at()).result,
              net::call_result::not_sent);
}

// A page that took longer than its timeout over a narrow link was given up
// while it was arriving, and asked for again for ever.
TEST(http_client, waits_for_a_response_that_is_still_arriving) {
    slow_server server(10);
    const auto response = read(server.at());
    EXPECT_EQ(response.result, net::call_result::answered);
    EXPECT_EQ(response.body.size(), 10U);
}

TEST(http_client, gives_up_a_response_that_stops_arriving) {
    slow_server server(3);
    const auto began = net::monotonic_now();
    const auto response = read(server.at());
    EXPECT_EQ(response.result, net::call_result::unknown);
    EXPECT_TRUE(response.body.empty());
    EXPECT_GE(net::monotonic_now() - began, duration{700 - 50});
    EXPECT_LE(net::monotonic_now() - began, duration{1500});
}

// The gang scheduler's client sends a call again that its server may have done.
// The second one is rejected, and the call counts as without effect.
TEST(gang_http_client, never_resends_a_request_by_itself) {
    closing_server server;
    platform::http_request request;
    request.method = "POST";
    request.url = "http://" + to_string(server.at()) + "/v1/requests/1";
    request.body = "{}";
    EXPECT_EQ(platform::call_http(request).status, 200);
    EXPECT_EQ(platform::call_http(request).result, platform::http_result::lost);
    EXPECT_EQ(server.requests(), 2);
}

} // namespace celerylift::test
