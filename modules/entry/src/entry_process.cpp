#include "entry_process.hpp"

#include "rpc_server.hpp"

#include <celerylift/base/log.hpp>
#include <celerylift/net/common_pages.hpp>
#include <celerylift/platform/platform_client.hpp>
#include <celerylift/protocol/timing.hpp>

#include <fmt/format.h>
#include <random>

namespace celerylift::entry {

namespace {

constexpr int store_thread_count = 8;
constexpr std::size_t store_queue_limit = 2000;
constexpr duration watch_timeout{2000};
constexpr duration watch_retry_delay{200};

protocol::entry_settings settings_of(const entry_config& config) {
    protocol::entry_settings settings;
    settings.name = config.name;
    settings.cell = config.cell;
    for (const auto& [peer, address] : config.peers)
        settings.peers.push_back(peer);
    return settings;
}

std::uint64_t random_seed() {
    std::random_device device;
    return device() | 1U;
}

} // namespace

entry_process::entry_process(entry_config config)
    : config_(std::move(config)),
      state_(protocol::make_entry(settings_of(config_), random_seed(),
                                  net::monotonic_now())),
      node_(loop_, config_.name,
            [this](const std::string&, std::string_view bytes) {
                wire::Envelope envelope;
                if (!envelope.ParseFromArray(bytes.data(),
                                             static_cast<int>(bytes.size())))
                    return;
                step([&](const protocol::entry_context& c) {
                    protocol::on_message(c, envelope);
                });
            }),
      store_threads_(store_thread_count, store_queue_limit),
      watch_thread_(1, 1) {
    node_.listen(config_.control);
    for (const auto& [peer, address] : config_.peers)
        node_.connect(peer, address);
    http_ = std::make_unique<net::http_server>(
        config_.http, [this](const net::served_request& request) {
            return serve_http(request);
        });
    rpc_ = std::make_unique<rpc_server>(*this, config_.rpc);
}

entry_process::~entry_process() = default;

template <class Step>
void entry_process::step(Step step) {
    protocol::outbox out;
    step(protocol::entry_context{state_, out, net::monotonic_now(),
                                 net::wall_now_ms()});
    perform(std::move(out));
}

void entry_process::perform(protocol::outbox out) {
    for (auto& message : out.messages) {
        message.envelope.set_from(config_.name);
        message.envelope.set_clock(++state_.log.clock);
        node_.send(message.to, message.envelope);
    }
    for (const auto& request : out.store)
        call_store(request);
    for (const auto& reply : out.replies) {
        auto it = completions_.find(reply.id());
        if (it == completions_.end())
            continue;
        auto done = std::move(it->second);
        completions_.erase(it);
        done(reply);
    }
}

void entry_process::call(wire::ApiCall call, duration timeout,
                         completion done) {
    loop_.post([this, call = std::move(call), timeout,
                done = std::move(done)]() mutable {
        metrics_.count("calls_total");
        const auto begin = net::monotonic_now();
        step([&](const protocol::entry_context& c) {
            const auto id =
                protocol::on_local_call(c, std::move(call), timeout);
            completions_[id] = [this, begin, done = std::move(done)](
                                   const wire::ApiReply& reply) {
                metrics_.observe("call_ms",
                                 static_cast<double>(
                                     (net::monotonic_now() - begin).count()));
                if (reply.has_error())
                    metrics_.count("calls_refused_total");
                done(reply);
            };
        });
    });
}

void entry_process::call_store(const protocol::store_request& request) {
    metrics_.count("store_calls_total");
    const auto begin = net::monotonic_now();
    const bool queued = store_threads_.submit([this, request, begin] {
        const auto reply = platform::call_store(config_.store, request);
        loop_.post([this, reply, begin] {
            metrics_.observe(
                "store_call_ms",
                static_cast<double>((net::monotonic_now() - begin).count()));
            step([&](const protocol::entry_context& c) {
                protocol::on_store_reply(c, reply);
            });
        });
    });
    if (queued)
        return;
    protocol::store_reply rejected;
    rejected.id = request.id;
    loop_.post([this, rejected] {
        step([&](const protocol::entry_context& c) {
            protocol::on_store_reply(c, rejected);
        });
    });
}

void entry_process::watch_store() {
    const auto prefix = protocol::control_prefix(config_.cell);
    std::int64_t revision = -1;
    while (!stopping_) {
        const auto result = platform::watch_store(config_.store, prefix,
                                                  revision, watch_timeout);
        if (!result) {
            std::unique_lock lock(watch_mutex_);
            watch_changed_.wait_for(lock, watch_retry_delay,
                                    [&] { return stopping_.load(); });
            continue;
        }
        const bool first = revision < 0;
        revision = result->revision;
        loop_.post([this, events = result->events, first, revision] {
            bool owner_seen = false;
            for (const auto& event : events) {
                owner_seen = owner_seen ||
                             event.key == protocol::owner_key(config_.cell);
                step([&](const protocol::entry_context& c) {
                    protocol::on_watch(c, event);
                });
            }
            if (!first || owner_seen)
                return;
            const protocol::watch_event no_owner{
                protocol::owner_key(config_.cell), {}, revision, true};
            step([&](const protocol::entry_context& c) {
                protocol::on_watch(c, no_owner);
            });
        });
    }
}

void entry_process::log_role_change() {
    const auto role =
        state_.owner
            ? fmt::format("owner of {} epoch {}: {}", config_.cell,
                          state_.owner->epoch, name_of(state_.owner->phase))
            : fmt::format("follows '{}'", state_.owner_name);
    if (role == reported_role_)
        return;
    reported_role_ = role;
    if (state_.owner && state_.owner->phase == protocol::owner_phase::active)
        base::log_formatted(config_.name, "{}; takeover took {} ms", role,
                            state_.owner->takeover_ms);
    else
        base::log_line(config_.name, role);
}

void entry_process::tick() {
    node_.drain();
    step([](const protocol::entry_context& c) { protocol::on_tick(c); });
    log_role_change();
    if (state_.leaving && protocol::is_idle(state_))
        loop_.end();
}

void entry_process::stop() {
    base::log_line(config_.name, "stopping: accepts no new calls");
    step([](const protocol::entry_context& c) { protocol::begin_leaving(c); });
}

int entry_process::run() {
    loop_.on_termination([this] { stop(); });
    loop_.every(protocol::tick_period, [this] { tick(); });
    watch_thread_.submit([this] { watch_store(); });
    base::log_formatted(config_.name, "serves callers on {}, cell {}",
                        to_string(config_.rpc), config_.cell);
    loop_.run();
    rpc_->shut_down();
    {
        const std::lock_guard lock(watch_mutex_);
        stopping_ = true;
    }
    watch_changed_.notify_all();
    http_.reset();
    watch_thread_.stop();
    store_threads_.stop();
    base::log_line(config_.name, "stopped");
    return 0;
}

net::served_response
entry_process::serve_http(const net::served_request& request) {
    return net::serve_common_page(request, loop_, metrics_, state_.log);
}

} // namespace celerylift::entry
