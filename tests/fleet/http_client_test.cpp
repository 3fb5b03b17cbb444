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

namespace celerylift::test {

namespace {

/// Answers the first request, closes the connection on the second one without a
/// response, and answers any other with status 503. Where `ends_on_second` is
/// set, it accepts no connection from the second request on.
class closing_server {
public:
    explicit closing_server(bool ends_on_second = false)
        : ends_on_second_(ends_on_second),
          listener_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address),
                 sizeof address) != 0 ||
            listen(listener_, 4) != 0)
            throw std::runtime_error("cannot listen on loopback");
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
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
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> requests_ = 0;
    std::thread thread_;
};

net::client_response call(net::control_loop& loop, net::http_client& client,
                          const base::address& address) {
    net::client_response result;
    net::client_request request;
    request.method = "POST";
    request.to = address;
    request.path = "/api/kv-txn";
    request.body = "{}";
    client.call(request, [&](const net::client_response& response) {
        result = response;
        loop.end();
    });
    loop.run();
    loop.restart();
    return result;
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
