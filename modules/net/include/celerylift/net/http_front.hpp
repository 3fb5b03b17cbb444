#pragma once

#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/http_server.hpp>

#include <functional>
#include <memory>

namespace celerylift::net {

/// What a front allows its callers.
struct front_limits {
    std::size_t most_header_bytes = 16UL * 1024;
    std::size_t most_body_bytes = 256UL * 1024;
    /// Idle connections are closed after this time.
    duration idle{15'000};
    unsigned most_connections = 2000;

    bool operator==(const front_limits&) const = default;
};

/// Gives the answer to one request. May be called once, on any thread, also
/// after the front has gone.
using responder = std::function<void(served_response)>;

/// Serves HTTP on a traffic thread of its own and hands each request to the
/// control thread. Requests wait there for their answer without a thread.
class http_front {
public:
    using handler = std::function<void(served_request, responder)>;

    /// Throws std::runtime_error where the address can't be listened on.
    http_front(control_loop& loop, const base::address& at,
               const front_limits& limits, handler handle);
    ~http_front();
    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    /// From now on each answer also closes its connection.
    void close_after_answers();

    /// Requests that wait for their answer.
    int waiting() const;

private:
    struct shared;
    std::shared_ptr<shared> shared_;
};

} // namespace celerylift::net
