#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/net/control_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace celerylift::net {

/// How far a call got: `not_sent` where no connection was made, so that the
/// other side can't have seen it; `unknown` where that can't be known.
enum class call_result { answered, not_sent, unknown };

struct client_request {
    std::string method = "GET";
    base::address to;
    std::string path; // With its query, encoded.
    std::map<std::string, std::string> headers;
    std::string body;
    duration timeout{1000};
    /// Uses a connection of its own, for instance beside a doubtful one.
    bool fresh_connection = false;
};

struct client_response {
    call_result result = call_result::unknown;
    int status = 0;
    std::string body;
};

/// Makes HTTP calls on the control thread's reactor, many at a time, each with
/// a deadline. All calls are made on that thread.
class http_client {
public:
    using completion = std::function<void(const client_response&)>;

    explicit http_client(control_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void call(const client_request& request, completion done);

    /// Calls that have not ended.
    std::size_t open_calls() const;

private:
    class multi;
    std::unique_ptr<multi> multi_;
};

/// Encodes text for use in a query.
std::string url_encoded(const std::string& text);

} // namespace celerylift::net
