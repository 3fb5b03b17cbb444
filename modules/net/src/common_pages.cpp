#include <celerylift/net/common_pages.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <memory>

namespace celerylift::net {

namespace {

constexpr std::chrono::seconds time_line_timeout{2};

std::string to_json(const base::event_log& log) {
    auto list = nlohmann::json::array();
    for (const auto& e : log.events)
        list.push_back({{"process", e.process},
                        {"clock", e.clock},
                        {"wall_ms", e.wall_ms},
                        {"kind", e.kind},
                        {"subject", e.subject},
                        {"detail", e.detail}});
    return list.dump(1) + "\n";
}

served_response serve_time_line(control_loop& loop,
                                const base::event_log& log) {
    auto promise = std::make_shared<std::promise<std::string>>();
    auto future = promise->get_future();
    loop.post([&log, promise] { promise->set_value(to_json(log)); });
    if (future.wait_for(time_line_timeout) != std::future_status::ready)
        return {503, "the control thread is busy; retry later\n", {}};
    return {200, future.get(), {{"Content-Type", "application/json"}}};
}

} // namespace

served_response serve_common_page(const served_request& request,
                                  control_loop& loop,
                                  const base::metrics& metrics,
                                  const base::event_log& log) {
    if (request.path == "/healthz")
        return {200, "ok\n", {}};
    if (request.path == "/metrics")
        return {200, metrics.text(), {{"Content-Type", "text/plain"}}};
    if (request.path == "/timeline")
        return serve_time_line(loop, log);
    return {404, "no such page; use /healthz, /metrics or /timeline\n", {}};
}

} // namespace celerylift::net
