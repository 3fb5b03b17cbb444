#include <celerylift/platform/http_client.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace celerylift::platform {

namespace {

constexpr long connect_timeout_ms = 500;

std::size_t append_body(char* data, std::size_t size, std::size_t count,
                        void* out) {
    static_cast<std::string*>(out)->append(data, size * count);
    return size * count;
}

std::size_t append_header(char* data, std::size_t size, std::size_t count,
                          void* out) {
    const std::string line(data, size * count);
    const auto colon = line.find(':');
    if (colon == std::string::npos)
        return size * count;
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r\n ") + 1);
    (*static_cast<std::map<std::string, std::string>*>(out))[name] = value;
    return size * count;
}

/// The part of a request's body that has been sent.
struct body_reader {
    const std::string& body;
    std::size_t sent = 0;
};

std::size_t read_body(char* out, std::size_t size, std::size_t count,
                      void* reader) {
    auto& r = *static_cast<body_reader*>(reader);
    const auto bytes = std::min(size * count, r.body.size() - r.sent);
    r.body.copy(out, bytes, r.sent);
    r.sent += bytes;
    return bytes;
}

/// By default curl resends a request when a reused connection closes without
/// a response, and the server may have executed the first one.
int reject_resend(void*, curl_off_t, int) {
    return CURL_SEEKFUNC_FAIL;
}

struct curl_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

CURL* handle_of_thread() {
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
    if (initialised != CURLE_OK)
        return nullptr;
    thread_local const std::unique_ptr<CURL, curl_deleter> handle(
        curl_easy_init());
    return handle.get();
}

void prepare(CURL* handle, const http_request& request, body_reader& body,
             http_response& response) {
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, append_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &response.headers);
    if (request.method == "GET" || request.method == "DELETE")
        return;
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_READFUNCTION, read_body);
    curl_easy_setopt(handle, CURLOPT_READDATA, &body);
    curl_easy_setopt(handle, CURLOPT_SEEKFUNCTION, reject_resend);
}

} // namespace

http_response call_http(const http_request& request) {
    http_response response;
    auto* handle = handle_of_thread();
    if (!handle)
        return response;
    body_reader body{request.body};
    prepare(handle, request, body, response);
    // An empty Expect header stops curl from waiting for 100 Continue before
    // it sends a large body. Bodies may hold any bytes.
    auto* headers = curl_slist_append(nullptr, "Expect:");
    headers =
        curl_slist_append(headers, "Content-Type: application/octet-stream");
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    const auto code = curl_easy_perform(handle);
    curl_slist_free_all(headers);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    // The library connects again by itself when a connection that it has reused
    // ends without a response.
    long sent_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    if (code == CURLE_OK)
        response.result = http_result::answered;
    else if (code == CURLE_COULDNT_CONNECT && sent_bytes == 0)
        response.result = http_result::not_sent;
    return response;
}

} // namespace celerylift::platform
