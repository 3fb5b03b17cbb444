#pragma once

#include <celerylift/net/client_budget.hpp>
#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/http_server.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace celerylift::net {

/// Limits that the server applies to each of its clients.
struct http_server_limits {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 256UL * 1024;
    /// Idle connections are closed after this time.
    duration idle_timeout{15'000};

    bool operator==(const http_server_limits&) const = default;
};

/// Gives the answer to one request. May be called once, on any thread, also
/// after the server has been destroyed.
using responder = std::function<void(served_response)>;

/// Serves HTTP on its own I/O thread and passes each request to the control
/// thread. A request that waits for its response occupies no thread.
class async_http_server {
public:
    using handler = std::function<void(served_request, responder)>;

    /// `budget` is what the clients of all servers that share it may hold;
    /// without one, the server has its own. Throws std::runtime_error if it
    /// cannot listen on the address.
    async_http_server(control_loop& loop, const base::address& at,
                      const http_server_limits& limits, handler handle,
                      std::shared_ptr<client_budget> budget = nullptr);
    ~async_http_server();
    async_http_server(const async_http_server&) = delete;
    async_http_server& operator=(const async_http_server&) = delete;

    /// Ends the server. A request that the handler has not received is rejected
    /// with status 503; one that it has received and not answered gets 504,
    /// because it may have taken effect. Returns method and path of the latter.
    std::vector<std::string> stop();

    /// Makes each later response close its connection.
    void close_after_responses();

    /// Requests that wait for their answer.
    int pending_requests() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> shared_;
};

} // namespace celerylift::net
