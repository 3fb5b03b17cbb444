#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/net/control_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace celerylift::net {

/// Outcome of a call. `not_sent`: no connection was established, so the server
/// cannot have received the request. `unknown`: the server may have received
/// it.
enum class call_result { answered, not_sent, unknown };

struct client_request {
    std::string method = "GET";
    base::address to;
    std::string path; // With the query, URL-encoded.
    std::map<std::string, std::string> headers;
    std::string body;
    duration timeout{1000};
    /// The timeout counts anew whenever a part of the response arrives. For
    /// responses without a fixed size: how long they take depends on the link.
    bool extend_while_receiving = false;
    /// Opens a new connection, for instance because the existing one may be
    /// broken.
    bool fresh_connection = false;
};

struct client_response {
    call_result result = call_result::unknown;
    int status = 0;
    std::string body;
};

/// Makes concurrent HTTP calls on the control thread's reactor, each with a
/// timeout. All members must be called on that thread.
class http_client {
public:
    using completion = std::function<void(const client_response&)>;

    explicit http_client(control_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void call(const client_request& request, completion done);

    /// Number of calls that have not completed.
    std::size_t open_calls() const;

private:
    class multi;
    std::unique_ptr<multi> multi_;
};

/// Encodes text for use in a URL query.
std::string url_encoded(const std::string& text);

} // namespace celerylift::net
