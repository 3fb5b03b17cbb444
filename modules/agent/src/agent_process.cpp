#include "agent_process.hpp"

#include <celerylift/base/log.hpp>
#include <celerylift/net/common_pages.hpp>
#include <celerylift/platform/platform_client.hpp>
#include <celerylift/protocol/timing.hpp>

#include <arpa/inet.h>

#include <cstdlib>
#include <random>

namespace celerylift::agent {

namespace {

constexpr int worker_thread_count = 2;

/// Maximum number of concurrent requests to backend servers. Each one occupies
/// a slot of its backend server.
constexpr int backend_thread_count = 16;
constexpr std::size_t queue_limit = 1000;

/// How long a graceful stop waits for running work.
constexpr duration drain_timeout{60'000};
constexpr duration max_announcement_ttl{60'000};
constexpr int max_slots = 1024;
const std::string backends_path = "/v1/backends/";

protocol::agent_settings settings_of(const agent_config& config) {
    protocol::agent_settings settings;
    settings.name = config.name;
    settings.worker = config.worker;
    for (const auto& [entry, address] : config.entries)
        settings.entries.push_back(entry);
    return settings;
}

std::uint64_t new_incarnation() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device() | 1U;
}

std::string query(const net::served_request& request, const char* key) {
    auto it = request.query.find(key);
    return it == request.query.end() ? std::string{} : it->second;
}

std::optional<base::address> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const auto host = text.substr(0, colon);
    const int port = std::atoi(text.c_str() + colon + 1);
    in_addr buffer{};
    if (inet_pton(AF_INET, host.c_str(), &buffer) != 1 || port < 1 ||
        port > 65535)
        return std::nullopt;
    return base::address{host, static_cast<std::uint16_t>(port)};
}

} // namespace

agent_process::agent_process(agent_config config)
    : config_(std::move(config)),
      state_(protocol::make_agent(settings_of(config_), new_incarnation(),
                                  net::monotonic_now())),
      node_(loop_, config_.name,
            [this](const std::string&, std::string_view bytes) {
                wire::Envelope envelope;
                if (!envelope.ParseFromArray(bytes.data(),
                                             static_cast<int>(bytes.size())))
                    return;
                step([&](const protocol::agent_context& c) {
                    protocol::on_message(c, envelope);
                });
            }),
      worker_threads_(worker_thread_count, queue_limit),
      backend_threads_(backend_thread_count, queue_limit) {
    log_.process = config_.name;
    for (const auto& [entry, address] : config_.entries)
        node_.connect(entry, address);
    http_ = std::make_unique<net::http_server>(
        config_.http, [this](const net::served_request& request) {
            return serve_http(request);
        });
}

agent_process::~agent_process() = default;

template <class Step>
void agent_process::step(Step step) {
    protocol::outbox out;
    step(protocol::agent_context{state_, log_, out, net::monotonic_now(),
                                 net::wall_now_ms()});
    perform(std::move(out));
}

void agent_process::perform(protocol::outbox out) {
    for (auto& message : out.messages) {
        message.envelope.set_from(config_.name);
        message.envelope.set_clock(++log_.clock);
        node_.send(message.to, message.envelope);
    }
    for (const auto& request : out.worker)
        call_worker(request);
    for (const auto& request : out.backend)
        call_backend(request);
}

void agent_process::call_worker(const protocol::worker_request& request) {
    metrics_.count("worker_calls_total");
    const auto finish = [this](const protocol::worker_reply& reply) {
        loop_.post([this, reply] {
            step([&](const protocol::agent_context& c) {
                protocol::on_worker_reply(c, reply);
            });
        });
    };
    const bool queued = worker_threads_.submit([this, request, finish] {
        finish(platform::call_worker(*config_.worker_address, request));
    });
    protocol::worker_reply rejected;
    rejected.id = request.id;
    if (!queued)
        finish(rejected);
}

void agent_process::call_backend(const protocol::backend_request& request) {
    metrics_.count("requests_total");
    const auto finish = [this](const protocol::backend_reply& reply) {
        loop_.post([this, reply] {
            step([&](const protocol::agent_context& c) {
                protocol::on_backend_reply(c, reply);
            });
        });
    };
    const auto address = backend_addresses_.at(request.backend);
    const bool queued = backend_threads_.submit([request, address, finish] {
        finish(platform::call_backend(address, request));
    });
    if (!queued)
        finish({request.id, protocol::backend_status::not_started,
                "the agent's queue is full"});
}

void agent_process::log_epoch_change() {
    if (state_.epoch == reported_epoch_)
        return;
    reported_epoch_ = state_.epoch;
    base::log_formatted(config_.name, "follows {} epoch {}", state_.owner,
                        state_.epoch);
}

void agent_process::tick() {
    node_.drain();
    step([](const protocol::agent_context& c) { protocol::on_tick(c); });
    log_epoch_change();
    if (!state_.leaving)
        return;
    const bool timed_out = net::monotonic_now() >= stop_deadline_;
    if (protocol::is_idle(state_) || timed_out)
        loop_.end();
}

void agent_process::stop() {
    base::log_line(config_.name, "stopping: accepts no new work");
    stop_deadline_ = net::monotonic_now() + drain_timeout;
    step([](const protocol::agent_context& c) { protocol::begin_leaving(c); });
}

int agent_process::run() {
    loop_.on_termination([this] { stop(); });
    loop_.every(protocol::tick_period, [this] { tick(); });
    base::log_formatted(config_.name, "serves worker '{}'", config_.worker.id);
    loop_.run();
    http_.reset();
    worker_threads_.stop();
    const bool idle = protocol::is_idle(state_);
    base::log_line(config_.name,
                   idle ? "stopped" : "stopped with work still running");
    return idle ? 0 : 1;
}

net::served_response agent_process::announce(const net::served_request& request,
                                             const std::string& id) {
    protocol::announced_backend backend;
    backend.id = id;
    backend.service = query(request, "service");
    backend.slots = std::atoi(query(request, "slots").c_str());
    const duration ttl{std::atoll(query(request, "ttl_ms").c_str())};
    const auto address = parse_address(query(request, "address"));
    const bool is_valid = !backend.service.empty() && backend.slots >= 1 &&
                          backend.slots <= max_slots && address &&
                          ttl.count() > 0 && ttl <= max_announcement_ttl;
    if (!is_valid)
        return {400,
                "an announcement needs service, slots (1 to 1024), ttl_ms (1 "
                "to 60000) and address (an IPv4 address and a port)\n",
                {}};
    loop_.post([this, backend, address, ttl]() mutable {
        backend.announced_until = net::monotonic_now() + ttl;
        backend_addresses_[backend.id] = *address;
        step([&](const protocol::agent_context& c) {
            protocol::on_announcement(c, backend);
        });
    });
    return {200, "announced\n", {}};
}

net::served_response
agent_process::serve_backend(const net::served_request& request,
                             const std::string& id) {
    if (request.method == "POST")
        return announce(request, id);
    if (request.method != "DELETE")
        return {405, "use POST to announce and DELETE to withdraw\n", {}};
    loop_.post([this, id] {
        step([&](const protocol::agent_context& c) {
            protocol::on_backend_leaving(c, id);
        });
    });
    return {200, "leaving\n", {}};
}

net::served_response
agent_process::serve_http(const net::served_request& request) {
    if (request.path.starts_with(backends_path))
        return serve_backend(request,
                             request.path.substr(backends_path.size()));
    return net::serve_common_page(request, loop_, metrics_, log_);
}

} // namespace celerylift::agent
