#include <celerylift/net/http_client.hpp>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <curl/curl.h>

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace celerylift::net {

namespace {

/// Timeout for establishing a connection. It exceeds a round trip between
/// failure domains plus the retransmission of a lost SYN.
constexpr long connect_timeout_ms = 700;
constexpr long max_idle_connections = 16;

/// Whether any part of the request was sent. The library connects again by
/// itself when a connection that it has reused ends without a response.
bool has_sent_bytes(CURL* easy) {
    long size = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &size);
    return size > 0;
}

/// One call and the part of its response that has arrived.
struct transfer {
    client_request request;
    http_client::completion done;
    client_response response;
    curl_slist* headers = nullptr;
    std::size_t sent = 0; // Bytes of the body.
    time_point received_at = monotonic_now();
    long stall_timer = -1;

    ~transfer() { curl_slist_free_all(headers); }
};

std::size_t append_body(char* data, std::size_t size, std::size_t count,
                        void* call) {
    auto& t = *static_cast<transfer*>(call);
    t.response.body.append(data, size * count);
    t.received_at = monotonic_now();
    return size * count;
}

std::size_t read_body(char* out, std::size_t size, std::size_t count,
                      void* call) {
    auto& t = *static_cast<transfer*>(call);
    const auto bytes = std::min(size * count, t.request.body.size() - t.sent);
    t.request.body.copy(out, bytes, t.sent);
    t.sent += bytes;
    return bytes;
}

/// By default curl resends a request when a reused connection closes without
/// a response. The server may have executed the first request, so the call
/// must fail with an unknown outcome instead.
int reject_resend(void*, curl_off_t, int) {
    return CURL_SEEKFUNC_FAIL;
}

} // namespace

/// Drives curl's multi interface from the reactor. One handler serves all of
/// curl's sockets and its timer.
class http_client::multi : public ACE_Event_Handler {
public:
    explicit multi(control_loop& loop) : loop_(loop) {
        curl_global_init(CURL_GLOBAL_ALL);
        handle_ = curl_multi_init();
        curl_multi_setopt(handle_, CURLMOPT_SOCKETFUNCTION, &on_socket);
        curl_multi_setopt(handle_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(handle_, CURLMOPT_TIMERFUNCTION, &on_timer);
        curl_multi_setopt(handle_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(handle_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    }

    ~multi() override {
        for (auto& [easy, call] : transfers_) {
            cancel_stall_timer(*call);
            curl_multi_remove_handle(handle_, easy);
            curl_easy_cleanup(easy);
        }
        transfers_.clear();
        curl_multi_cleanup(handle_);
        loop_.ace_reactor().cancel_timer(this);
    }

    void call(const client_request& request, completion done);
    std::size_t open_calls() const { return transfers_.size(); }

    int handle_input(ACE_HANDLE handle) override {
        return run_socket_action(handle, CURL_CSELECT_IN);
    }
    int handle_output(ACE_HANDLE handle) override {
        return run_socket_action(handle, CURL_CSELECT_OUT);
    }
    int handle_timeout(const ACE_Time_Value&, const void* easy) override {
        if (easy)
            return handle_stall_timer(const_cast<CURL*>(easy));
        timer_ = -1;
        return run_socket_action(CURL_SOCKET_TIMEOUT, 0);
    }
    int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

private:
    int run_socket_action(curl_socket_t socket, int events) {
        int running = 0;
        curl_multi_socket_action(handle_, socket, events, &running);
        finish_transfers();
        return 0;
    }

    void finish_transfers();
    std::unique_ptr<transfer> take_transfer(CURL* easy);
    void start_stall_timer(CURL* easy, transfer& call, duration delay);
    void cancel_stall_timer(transfer& call);
    int handle_stall_timer(CURL* easy);
    void set_interest(curl_socket_t socket, int what);
    void set_timer(long after_ms);

    static int on_socket(CURL*, curl_socket_t socket, int what, void* self,
                         void*) {
        static_cast<multi*>(self)->set_interest(socket, what);
        return 0;
    }
    static int on_timer(CURLM*, long after_ms, void* self) {
        static_cast<multi*>(self)->set_timer(after_ms);
        return 0;
    }

    control_loop& loop_;
    CURLM* handle_ = nullptr;
    long timer_ = -1;
    std::map<CURL*, std::unique_ptr<transfer>> transfers_;
};

void http_client::multi::set_interest(curl_socket_t socket, int what) {
    auto& reactor = loop_.ace_reactor();
    constexpr ACE_Reactor_Mask both =
        ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK;
    reactor.remove_handler(socket, both | ACE_Event_Handler::DONT_CALL);
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
        mask |= ACE_Event_Handler::READ_MASK;
    if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
        mask |= ACE_Event_Handler::WRITE_MASK;
    if (mask != ACE_Event_Handler::NULL_MASK)
        reactor.register_handler(socket, this, mask);
}

void http_client::multi::set_timer(long after_ms) {
    auto& reactor = loop_.ace_reactor();
    if (timer_ >= 0)
        reactor.cancel_timer(timer_);
    timer_ = -1;
    if (after_ms < 0)
        return;
    const ACE_Time_Value delay(after_ms / 1000, after_ms % 1000 * 1000);
    timer_ = reactor.schedule_timer(this, nullptr, delay);
}

void http_client::multi::call(const client_request& request, completion done) {
    auto call = std::make_unique<transfer>();
    call->request = request;
    call->done = std::move(done);
    for (const auto& [name, value] : request.headers)
        call->headers = curl_slist_append(
            call->headers, fmt::format("{}: {}", name, value).c_str());
    call->headers = curl_slist_append(call->headers, "Expect:");
    auto* easy = curl_easy_init();
    const auto url =
        fmt::format("http://{}{}", to_string(request.to), request.path);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    if (request.extend_while_receiving)
        start_stall_timer(easy, *call, request.timeout);
    else
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call.get());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
    if (request.fresh_connection)
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    if (request.method != "GET" && request.method != "DELETE") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(call->request.body.size()));
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
        curl_easy_setopt(easy, CURLOPT_READDATA, call.get());
        curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, reject_resend);
    }
    transfers_.emplace(easy, std::move(call));
    curl_multi_add_handle(handle_, easy);
}

void http_client::multi::finish_transfers() {
    int left = 0;
    std::vector<std::unique_ptr<transfer>> ended;
    while (auto* message = curl_multi_info_read(handle_, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        auto* easy = message->easy_handle;
        const auto code = message->data.result;
        auto& response = transfers_.at(easy)->response;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        response.status = static_cast<int>(status);
        if (code == CURLE_OK)
            response.result = call_result::answered;
        else if (code == CURLE_COULDNT_CONNECT && !has_sent_bytes(easy))
            response.result = call_result::not_sent;
        ended.push_back(take_transfer(easy));
    }
    for (const auto& call : ended)
        call->done(call->response);
}

std::unique_ptr<transfer> http_client::multi::take_transfer(CURL* easy) {
    auto call = std::move(transfers_.at(easy));
    transfers_.erase(easy);
    cancel_stall_timer(*call);
    curl_multi_remove_handle(handle_, easy);
    curl_easy_cleanup(easy);
    return call;
}

void http_client::multi::start_stall_timer(CURL* easy, transfer& call,
                                           duration delay) {
    const ACE_Time_Value after(delay.count() / 1000,
                               delay.count() % 1000 * 1000);
    call.stall_timer = loop_.ace_reactor().schedule_timer(this, easy, after);
}

void http_client::multi::cancel_stall_timer(transfer& call) {
    if (call.stall_timer >= 0)
        loop_.ace_reactor().cancel_timer(call.stall_timer);
    call.stall_timer = -1;
}

int http_client::multi::handle_stall_timer(CURL* easy) {
    auto& call = *transfers_.at(easy);
    call.stall_timer = -1;
    const auto left = call.received_at + call.request.timeout - monotonic_now();
    if (left > duration{0}) {
        start_stall_timer(easy, call, left);
        return 0;
    }
    const auto ended = take_transfer(easy);
    ended->response = {};
    ended->done(ended->response);
    return 0;
}

http_client::http_client(control_loop& loop)
    : multi_(std::make_unique<multi>(loop)) {}

http_client::~http_client() = default;

void http_client::call(const client_request& request, completion done) {
    multi_->call(request, std::move(done));
}

std::size_t http_client::open_calls() const {
    return multi_->open_calls();
}

std::string url_encoded(const std::string& text) {
    char* encoded =
        curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size()));
    std::string result = encoded ? encoded : "";
    curl_free(encoded);
    return result;
}

} // namespace celerylift::net
