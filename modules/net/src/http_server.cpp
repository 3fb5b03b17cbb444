#include <celerylift/net/http_server.hpp>

#include <arpa/inet.h>
#include <microhttpd.h>

#include <fmt/format.h>
#include <stdexcept>

namespace celerylift::net {

namespace {

constexpr std::size_t max_body_bytes = 2UL * 1024 * 1024;
constexpr unsigned max_connections = 256;
constexpr unsigned connection_timeout_s = 60;

/// The part of one request that has arrived.
struct open_request {
    served_request request;
    bool too_large = false;
};

MHD_Result add_query_parameter(void* out, MHD_ValueKind, const char* key,
                               const char* value) {
    static_cast<served_request*>(out)->query[key] = value ? value : "";
    return MHD_YES;
}

MHD_Result queue_response(MHD_Connection* connection,
                          const served_response& response) {
    auto* out = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()),
        MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : response.headers)
        MHD_add_response_header(out, name.c_str(), value.c_str());
    const auto result = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), out);
    MHD_destroy_response(out);
    return result;
}

MHD_Result on_access(void* handle, MHD_Connection* connection, const char* url,
                     const char* method, const char*, const char* data,
                     std::size_t* size, void** state) {
    auto* open = static_cast<open_request*>(*state);
    if (!open) {
        open = new open_request;
        open->request.method = method;
        open->request.path = url;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                  add_query_parameter, &open->request);
        *state = open;
        return MHD_YES;
    }
    if (*size > 0) {
        open->too_large = open->request.body.size() + *size > max_body_bytes;
        if (!open->too_large)
            open->request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (open->too_large)
        return queue_response(
            connection,
            {413, "the body is too large; send a smaller one\n", {}});
    return queue_response(connection, (*static_cast<http_server::handler*>(
                                          handle))(open->request));
}

void on_completed(void*, MHD_Connection*, void** state,
                  MHD_RequestTerminationCode) {
    delete static_cast<open_request*>(*state);
    *state = nullptr;
}

} // namespace

void http_server::daemon_deleter::operator()(MHD_Daemon* daemon) const {
    MHD_stop_daemon(daemon);
}

http_server::http_server(const base::address& at, handler handle)
    : handle_(std::move(handle)) {
    sockaddr_in listen{};
    listen.sin_family = AF_INET;
    listen.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &listen.sin_addr);
    daemon_.reset(MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
        at.port, nullptr, nullptr, &on_access, &handle_, MHD_OPTION_SOCK_ADDR,
        &listen, MHD_OPTION_CONNECTION_LIMIT, max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, connection_timeout_s,
        MHD_OPTION_NOTIFY_COMPLETED, &on_completed, nullptr, MHD_OPTION_END));
    if (!daemon_)
        throw std::runtime_error(fmt::format(
            "cannot listen on {}; check whether another process uses it",
            to_string(at)));
}

http_server::~http_server() = default;

} // namespace celerylift::net
