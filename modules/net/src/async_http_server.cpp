#include <celerylift/net/async_http_server.hpp>

#include <arpa/inet.h>
#include <microhttpd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <fmt/format.h>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string_view>

namespace celerylift::net {

namespace {

/// How long a server that ends waits until its last responses have been sent.
constexpr duration max_flush_time{150};

/// What a header field occupies apart from its text.
constexpr std::size_t field_bytes = 112;

/// For libmicrohttpd, which accepts no connection at its limit. The budget
/// refuses connections before that.
constexpr unsigned max_connections = 1U << 16;

/// One request from its first line until its response has been sent.
struct open_request {
    std::string target; // Method and path.
    served_request request;
    served_response response;
    bool dispatched = false;
    bool handled = false; // The handler has it and may have acted on it.
    bool answered = false;
};

served_response stopping_response() {
    return {
        503, "the process is stopping; send the request to another one\n", {}};
}

served_response interrupted_response() {
    return {504,
            "the process ended before the outcome was known; send the same "
            "request to another one\n",
            {}};
}

served_response busy_response() {
    return {503,
            "too many requests wait here; send the request again later\n",
            {{"Retry-After", "1"}}};
}

served_response too_large_response(const http_server_limits& limits) {
    return {413,
            fmt::format("the body is larger than {} bytes; send a smaller "
                        "one\n",
                        limits.max_body_bytes),
            {{"Connection", "close"}}};
}

MHD_Result add_query_parameter(void* out, MHD_ValueKind, const char* key,
                               const char* value) {
    static_cast<served_request*>(out)->query[key] = value ? value : "";
    return MHD_YES;
}

MHD_Result add_header(void* out, MHD_ValueKind, const char* key,
                      const char* value) {
    std::string name = key;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    static_cast<served_request*>(out)->headers[name] = value ? value : "";
    return MHD_YES;
}

std::size_t header_bytes(const served_request& request) {
    auto size = request.path.size();
    for (const auto* fields : {&request.headers, &request.query})
        for (const auto& [name, value] : *fields)
            size += name.size() + value.size() + field_bytes;
    return size;
}

bool announces_more_than(const served_request& request, std::size_t bytes) {
    const auto it = request.headers.find("content-length");
    return it != request.headers.end() &&
           std::strtoull(it->second.c_str(), nullptr, 10) > bytes;
}

connection_ref ref_of(MHD_Connection* connection) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<connection_ref*>(info->socket_context);
}

} // namespace

struct async_http_server::shared_state {
    shared_state(control_loop& control, const http_server_limits& allowed,
                 handler call, std::shared_ptr<client_budget> shared_budget)
        : loop(control), limits(allowed), handle(std::move(call)),
          budget(std::move(shared_budget)) {}

    control_loop& loop;
    http_server_limits limits;
    handler handle;
    std::shared_ptr<client_budget> budget;
    std::atomic<bool> closing = false;

    std::mutex mutex;
    MHD_Daemon* daemon = nullptr; // Null after the server is destroyed.
    bool stopping = false;
    std::set<std::pair<MHD_Connection*, open_request*>> suspended;
    int unsent_responses = 0;
    std::condition_variable all_sent;

    MHD_Result answer(MHD_Connection* connection,
                      const served_response& response) const;
    MHD_Result begin(MHD_Connection* connection, open_request& open);
    MHD_Result receive(MHD_Connection* connection, std::string_view part);
    bool begin_serving(MHD_Connection* connection, open_request& open);
    MHD_Result dispatch(MHD_Connection* connection, open_request& open);
    void respond(MHD_Connection* connection, open_request* open,
                 served_response response);

    /// Waits until all responses have been sent, for a limited time.
    void flush();

    static MHD_Result on_accept(void* handle, const sockaddr*, socklen_t);
    static void on_connection(void* handle, MHD_Connection* connection,
                              void** state, MHD_ConnectionNotificationCode);
    static void on_completed(void* handle, MHD_Connection* connection,
                             void** state, MHD_RequestTerminationCode);
    static MHD_Result on_access(void* handle, MHD_Connection* connection,
                                const char* url, const char* method,
                                const char* version, const char* data,
                                std::size_t* size, void** state);
};

MHD_Result
async_http_server::shared_state::answer(MHD_Connection* connection,
                                        const served_response& response) const {
    budget->update([&](request_budget& all) {
        begin_sending(all, ref_of(connection), response.body.size(),
                      boottime_now());
    });
    auto* out = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()),
        MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : response.headers)
        MHD_add_response_header(out, name.c_str(), value.c_str());
    if (closing)
        MHD_add_response_header(out, "Connection", "close");
    const auto result = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), out);
    MHD_destroy_response(out);
    return result;
}

void async_http_server::shared_state::respond(MHD_Connection* connection,
                                              open_request* open,
                                              served_response response) {
    const std::lock_guard lock(mutex);
    if (!daemon || !suspended.erase({connection, open}))
        return;
    open->response = std::move(response);
    open->answered = true;
    MHD_resume_connection(connection);
}

MHD_Result async_http_server::shared_state::begin(MHD_Connection* connection,
                                                  open_request& open) {
    const bool is_open = budget->update([&](request_budget& all) {
        return begin_request(all, ref_of(connection),
                             header_bytes(open.request), boottime_now());
    });
    if (!is_open)
        return MHD_NO;
    if (!announces_more_than(open.request, limits.max_body_bytes))
        return MHD_YES;
    budget->update([](request_budget& all) {
        ++all.refused[static_cast<std::size_t>(refusal::too_large)];
    });
    return answer(connection, too_large_response(limits));
}

MHD_Result async_http_server::shared_state::receive(MHD_Connection* connection,
                                                    std::string_view part) {
    return budget->update([&](request_budget& all) {
        return append_body(all, ref_of(connection), part, limits.max_body_bytes)
                   ? MHD_YES
                   : MHD_NO;
    });
}

/// Takes the body out of the budget's buffer, if the request may be served.
bool async_http_server::shared_state::begin_serving(MHD_Connection* connection,
                                                    open_request& open) {
    return budget->update([&](request_budget& all) {
        const auto ref = ref_of(connection);
        if (!net::begin_serving(all, ref, boottime_now()))
            return false;
        open.request.body = std::exchange(ref->body, {});
        return true;
    });
}

MHD_Result async_http_server::shared_state::dispatch(MHD_Connection* connection,
                                                     open_request& open) {
    if (open.answered)
        return answer(connection, open.response);
    if (open.dispatched)
        return MHD_YES;
    open.dispatched = true;
    {
        const std::lock_guard lock(mutex);
        ++unsent_responses;
        // MHD_stop_daemon() requires that no connection is suspended.
        if (stopping)
            return answer(connection, stopping_response());
        if (!begin_serving(connection, open))
            return answer(connection, busy_response());
        suspended.insert({connection, &open});
        MHD_suspend_connection(connection);
    }
    loop.post([this, connection, request = &open] {
        served_request received;
        {
            const std::lock_guard lock(mutex);
            if (!suspended.contains({connection, request}))
                return;
            request->handled = true;
            received = std::move(request->request);
        }
        handle(std::move(received),
               [this, connection, request](served_response response) {
                   respond(connection, request, std::move(response));
               });
    });
    return MHD_YES;
}

MHD_Result async_http_server::shared_state::on_access(
    void* handle, MHD_Connection* connection, const char* url,
    const char* method, const char*, const char* data, std::size_t* size,
    void** state) {
    auto& server = *static_cast<shared_state*>(handle);
    auto* open = static_cast<open_request*>(*state);
    if (!open) {
        open = new open_request;
        *state = open;
        open->target = fmt::format("{} {}", method, url);
        open->request.method = method;
        open->request.path = url;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                  add_query_parameter, &open->request);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, add_header,
                                  &open->request);
        return server.begin(connection, *open);
    }
    if (*size > 0)
        return server.receive(connection, {data, std::exchange(*size, 0)});
    return server.dispatch(connection, *open);
}

MHD_Result async_http_server::shared_state::on_accept(void* handle,
                                                      const sockaddr*,
                                                      socklen_t) {
    auto& server = *static_cast<shared_state*>(handle);
    return server.budget->update([](request_budget& all) {
        if (may_accept(all))
            return MHD_YES;
        ++all.refused[static_cast<std::size_t>(refusal::connections)];
        return MHD_NO;
    });
}

/// libmicrohttpd calls it before it closes the socket.
void async_http_server::shared_state::on_connection(
    void* handle, MHD_Connection* connection, void** state,
    MHD_ConnectionNotificationCode code) {
    auto& server = *static_cast<shared_state*>(handle);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const auto* info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *state = server.budget->update([&](request_budget& all) {
            return new connection_ref(
                add_connection(all, info->connect_fd, boottime_now()));
        });
        return;
    }
    const std::unique_ptr<connection_ref> ref(
        static_cast<connection_ref*>(std::exchange(*state, nullptr)));
    server.budget->update(
        [&](request_budget& all) { remove_connection(all, *ref); });
}

void async_http_server::shared_state::on_completed(void* handle,
                                                   MHD_Connection* connection,
                                                   void** state,
                                                   MHD_RequestTerminationCode) {
    auto& server = *static_cast<shared_state*>(handle);
    const std::unique_ptr<open_request> open(
        static_cast<open_request*>(std::exchange(*state, nullptr)));
    server.budget->update([&](request_budget& all) {
        end_request(all, ref_of(connection), boottime_now());
    });
    if (!open || !open->dispatched)
        return;
    const std::lock_guard lock(server.mutex);
    if (--server.unsent_responses == 0)
        server.all_sent.notify_all();
}

void async_http_server::shared_state::flush() {
    std::unique_lock lock(mutex);
    all_sent.wait_for(lock, max_flush_time,
                      [this] { return unsent_responses == 0; });
}

async_http_server::async_http_server(control_loop& loop,
                                     const base::address& at,
                                     const http_server_limits& limits,
                                     handler handle,
                                     std::shared_ptr<client_budget> budget)
    : shared_(std::make_shared<shared_state>(
          loop, limits, std::move(handle),
          budget ? std::move(budget)
                 : std::make_shared<client_budget>(client_limits{}))) {
    sockaddr_in listen{};
    listen.sin_family = AF_INET;
    listen.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &listen.sin_addr);
    // The memory of a connection holds the header block and a read buffer of
    // the same size.
    auto* daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        at.port, &shared_state::on_accept, shared_.get(),
        &shared_state::on_access, shared_.get(), MHD_OPTION_SOCK_ADDR, &listen,
        MHD_OPTION_CONNECTION_LIMIT, max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(limits.idle_timeout.count() / 1000),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits.max_header_bytes * 2,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        &shared_state::on_completed, shared_.get(),
        MHD_OPTION_NOTIFY_CONNECTION, &shared_state::on_connection,
        shared_.get(), MHD_OPTION_END);
    if (!daemon)
        throw std::runtime_error(fmt::format(
            "cannot listen on {}; check whether another process uses it",
            to_string(at)));
    shared_->daemon = daemon;
}

async_http_server::~async_http_server() {
    stop();
}

std::vector<std::string> async_http_server::stop() {
    std::vector<std::string> interrupted;
    MHD_Daemon* daemon = nullptr;
    {
        const std::lock_guard lock(shared_->mutex);
        shared_->stopping = true;
        daemon = std::exchange(shared_->daemon, nullptr);
        for (const auto& [connection, open] : shared_->suspended) {
            open->response =
                open->handled ? interrupted_response() : stopping_response();
            open->answered = true;
            if (open->handled)
                interrupted.push_back(open->target);
            MHD_resume_connection(connection);
        }
        shared_->suspended.clear();
    }
    if (!daemon)
        return {};
    close_after_responses();
    shared_->flush();
    MHD_stop_daemon(daemon);
    // Work that is still posted on the loop refers to the shared state.
    shared_->loop.post([state = shared_] {});
    return interrupted;
}

void async_http_server::close_after_responses() {
    shared_->closing = true;
}

int async_http_server::pending_requests() const {
    const std::lock_guard lock(shared_->mutex);
    return static_cast<int>(shared_->suspended.size());
}

} // namespace celerylift::net
