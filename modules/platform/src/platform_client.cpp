#include <celerylift/platform/platform_client.hpp>

#include <celerylift/platform/http_client.hpp>
#include <celerylift/protocol/timing.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace celerylift::platform {

using namespace protocol;

namespace {

constexpr duration worker_timeout{1000};
constexpr duration backend_timeout{3'600'000};
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;

std::int64_t number_in(const http_response& response, const char* header) {
    auto it = response.headers.find(header);
    return it == response.headers.end() ? 0 : std::atoll(it->second.c_str());
}

http_request store_http(const base::address& store,
                        const store_request& request) {
    const auto base = fmt::format("http://{}/v1", to_string(store));
    http_request http;
    http.timeout = store_timeout;
    switch (request.op) {
    case store_op::get:
        http.url = fmt::format("{}/keys/{}", base, request.key);
        break;
    case store_op::put:
        http.method = "PUT";
        http.url =
            fmt::format("{}/keys/{}?revision={}&lease={}", base, request.key,
                        request.expected_revision, request.lease);
        http.body = request.value;
        break;
    case store_op::remove:
        http.method = "DELETE";
        http.url = fmt::format("{}/keys/{}?revision={}", base, request.key,
                               request.expected_revision);
        break;
    case store_op::grant_lease:
        http.method = "POST";
        http.url =
            fmt::format("{}/leases?ttl_ms={}", base, request.ttl.count());
        break;
    case store_op::renew_lease:
        http.method = "PUT";
        http.url = fmt::format("{}/leases/{}", base, request.lease);
        break;
    case store_op::revoke_lease:
        http.method = "DELETE";
        http.url = fmt::format("{}/leases/{}", base, request.lease);
        break;
    }
    return http;
}

store_status status_of(const http_response& response) {
    if (response.result != http_result::answered)
        return store_status::unavailable;
    switch (response.status) {
    case http_ok:
        return store_status::ok;
    case http_not_found:
        return store_status::not_found;
    case http_conflict:
        return store_status::conflict;
    default:
        return store_status::unavailable;
    }
}

task_state state_named(const std::string& name) {
    if (name == "succeeded")
        return task_state::succeeded;
    if (name == "failed")
        return task_state::failed;
    return name == "stopped" ? task_state::stopped : task_state::running;
}

http_request worker_http(const base::address& worker,
                         const worker_request& request) {
    const auto base = fmt::format("http://{}/v1", to_string(worker));
    http_request http;
    http.timeout = worker_timeout;
    http.method = "POST";
    http.body = request.payload;
    switch (request.op) {
    case worker_op::start:
        http.method = "PUT";
        http.url = fmt::format("{}/tasks/{}?accelerators={}&lease_ms={}", base,
                               request.task, request.accelerators,
                               request.lease.count());
        break;
    case worker_op::renew:
        http.url = base + "/renew";
        break;
    case worker_op::checkpoint:
        http.url = fmt::format("{}/tasks/{}/checkpoint", base, request.task);
        break;
    case worker_op::throttle:
        http.url = fmt::format("{}/tasks/{}/throttle", base, request.task);
        break;
    case worker_op::stop:
        http.method = "DELETE";
        http.url = fmt::format("{}/tasks/{}", base, request.task);
        break;
    case worker_op::list:
        http.method = "GET";
        http.url = base + "/tasks";
        break;
    }
    return http;
}

} // namespace

store_reply call_store(const base::address& store,
                       const store_request& request) {
    const auto response = call_http(store_http(store, request));
    store_reply reply;
    reply.id = request.id;
    reply.status = status_of(response);
    reply.value = response.body;
    reply.revision = number_in(response, "x-revision");
    reply.lease = number_in(response, "x-lease");
    return reply;
}

std::optional<watch_result> watch_store(const base::address& store,
                                        const std::string& prefix,
                                        std::int64_t revision, duration wait) {
    http_request http;
    http.url = fmt::format("http://{}/v1/watch?prefix={}&after={}&wait_ms={}",
                           to_string(store), prefix, revision, wait.count());
    http.timeout = wait + store_timeout;
    const auto response = call_http(http);
    if (status_of(response) != store_status::ok)
        return std::nullopt;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    watch_result result;
    result.revision = body.value("revision", std::int64_t{0});
    for (const auto& change : body.value("events", nlohmann::json::array())) {
        watch_event event;
        event.key = change.value("key", "");
        event.revision = change.value("revision", std::int64_t{0});
        event.removed = change.value("removed", false);
        if (!event.removed) {
            store_request get;
            get.key = event.key;
            const auto value = call_store(store, get);
            if (value.status == store_status::unavailable)
                return std::nullopt;
            event.value = value.value;
            event.removed = value.status == store_status::not_found;
            event.revision = std::max(event.revision, value.revision);
        }
        result.events.push_back(std::move(event));
    }
    return result;
}

worker_reply call_worker(const base::address& worker,
                         const worker_request& request) {
    const auto response = call_http(worker_http(worker, request));
    worker_reply reply;
    reply.id = request.id;
    reply.detail = response.body;
    if (response.result != http_result::answered)
        return reply;
    reply.status =
        response.status == http_ok ? worker_status::ok : worker_status::refused;
    if (request.op != worker_op::list)
        return reply;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_array())
        return reply;
    for (const auto& task : body)
        reply.tasks.push_back(
            {task.value("task", ""), state_named(task.value("state", ""))});
    return reply;
}

backend_reply call_backend(const base::address& backend,
                           const backend_request& request) {
    http_request http;
    http.method = "POST";
    http.url = fmt::format("http://{}/v1/requests/{}?attempt={}",
                           to_string(backend), request.job, request.attempt);
    http.body = request.payload;
    http.timeout = backend_timeout;
    const auto response = call_http(http);
    backend_reply reply;
    reply.id = request.id;
    reply.answer = response.body;
    if (response.result == http_result::not_sent)
        reply.status = backend_status::not_started;
    else if (response.result == http_result::answered)
        reply.status = response.status == http_ok ? backend_status::done
                                                  : backend_status::failed;
    return reply;
}

} // namespace celerylift::platform
