#pragma once

#include <celerylift/base/settings_reader.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace celerylift::net {

struct served_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    std::map<std::string, std::string> headers; // Names in lower case.
};

struct served_response {
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// Serves HTTP requests. The handler is called on the server's threads, one
/// for each connection.
class http_server {
public:
    using handler = std::function<served_response(const served_request&)>;

    /// Throws std::runtime_error if it cannot listen on the address.
    http_server(const base::address& at, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    struct daemon_deleter {
        void operator()(MHD_Daemon* daemon) const;
    };

    handler handle_;
    std::unique_ptr<MHD_Daemon, daemon_deleter> daemon_;
};

} // namespace celerylift::net
