#pragma once

#include <celerylift/time.hpp>

#include <map>
#include <string>

namespace celerylift::platform {

/// How far a call got: `not_sent` where no connection was made, so that the
/// other side can't have seen it; `lost` where that can't be known.
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
    std::map<std::string, std::string> headers; // Names in lower case.
};

/// Makes one call and waits for it. Safe to use from several threads, each of
/// which keeps its connections.
http_response call_http(const http_request& request);

} // namespace celerylift::platform
