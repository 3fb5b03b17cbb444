#pragma once

#include <celerylift/time.hpp>

#include <map>
#include <string>

namespace celerylift::platform {

/// The result of a call. `not_sent`: no connection was made, so the server
/// cannot have received the request. `lost`: the call failed in another way, so
/// it is unknown whether the server received it.
enum class http_result { answered, not_sent, lost };

struct http_request {
    std::string method = "GET";
    std::string url;
    std::string body;
    duration timeout{1000};
};

struct http_response {
    http_result result = http_result::lost;
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers; // Names are in lower case.
};

/// Makes one call and waits for its result. Thread-safe: each thread has its
/// own connections and reuses them.
http_response call_http(const http_request& request);

} // namespace celerylift::platform
