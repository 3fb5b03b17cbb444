#include <celerylift/host/fleet_entry.hpp>

#include <celerylift/adapter/platform.hpp>
#include <celerylift/host/peer_links.hpp>

#include <fmt/format.h>

namespace celerylift::host {

namespace {

/// How long a stopping entry continues to serve: until the platform has noticed
/// that it is not ready, and callers have received their answers.
constexpr duration drain_time{3500};
/// The platform ends a process 6 s after SIGTERM. The rest is for sending the
/// last responses.
constexpr duration max_drain_time{5200};
constexpr duration drain_check_period{50};

fleet::EntryRecord record_of(const fleet_entry_settings& settings) {
    fleet::EntryRecord record;
    record.set_name(settings.name);
    record.set_address(to_string(settings.link));
    record.set_failure_domain(settings.failure_domain);
    record.set_millicores(
        static_cast<std::int64_t>(settings.processor_share * 1000));
    record.set_link_mbps(static_cast<std::int64_t>(settings.link_mbps));
    record.set_incarnation(
        fmt::format("{}-{}", net::wall_now_ms(),
                    net::boottime_now().time_since_epoch().count()));
    return record;
}

fleet::entry_node_settings node_settings(const fleet_entry_settings& settings) {
    fleet::entry_node_settings out{record_of(settings), adapter::config_key,
                                   &adapter::decode_config};
    for (const auto& entry : settings.entries)
        out.seed_entries.push_back(to_string(entry));
    out.policy = settings.policy;
    if (settings.evacuation_bound > duration{0})
        out.evacuation_prefix = adapter::evacuation_prefix;
    out.max_large_bytes = settings.clients.max_bytes / 4;
    out.limits = settings.accepted;
    return out;
}

} // namespace

fleet_entry::fleet_entry(const fleet_entry_settings& settings)
    : settings_(settings), context_(settings.name, settings.clients),
      links_(context_.loop, settings.name,
             [this](const std::string& from, std::string_view bytes) {
                 handle_message(from, bytes);
             }),
      store_(adapter::make_store(context_.client, settings.store)),
      node_(
          context_.run, *store_, node_settings(settings),
          [this](const std::string& agent,
                 const fleet::FleetEnvelope& envelope) {
              links_.send(agent, envelope);
          },
          make_peer_links(links_)) {}

int fleet_entry::run() {
    context_.journal.event("started", {{"address", to_string(settings_.link)}});
    links_.listen(settings_.link);
    maintain_links(context_, links_);
    callers_ = std::make_unique<net::async_http_server>(
        context_.loop, settings_.callers, net::http_server_limits{},
        [this](const net::served_request& request, net::responder respond) {
            adapter::serve_caller(node_.api(), request, context_.run.now(),
                                  std::move(respond));
        },
        context_.clients);
    readiness_ = std::make_unique<net::async_http_server>(
        context_.loop, settings_.readiness, net::http_server_limits{},
        [this](const net::served_request& request,
               const net::responder& respond) {
            serve_readiness(request, respond);
        },
        context_.clients);
    context_.serve_metrics(settings_.metrics);
    node_.start();
    context_.loop.on_termination([this] { stop(); });
    context_.loop.on_reload(
        [this] { context_.journal.event("settings_reloaded", {}); });
    context_.loop.run();
    for (const auto& request : callers_->stop())
        context_.journal.event("request_interrupted", {{"request", request}});
    context_.journal.event("ended", {});
    callers_.reset();
    readiness_.reset();
    return 0;
}

void fleet_entry::handle_message(const std::string& from,
                                 std::string_view bytes) {
    fleet::FleetEnvelope envelope;
    if (envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        node_.on_message(from, envelope);
}

void fleet_entry::serve_readiness(const net::served_request& request,
                                  const net::responder& respond) {
    if (request.path != adapter::readiness_path)
        return respond({404, "only the readiness path is served here\n", {}});
    respond({node_.is_ready() ? 200 : 503, "", {}});
}

void fleet_entry::stop() {
    if (stopping_)
        return;
    stopping_ = true;
    context_.journal.event("stopping", {{"owner", node_.is_owner()}});
    callers_->close_after_responses();
    node_.stop(context_.run.now() + max_drain_time);
    end_at_ = context_.run.now() + drain_time;
    context_.timers.every(context_.run.now(), drain_check_period,
                          [this](time_point) { end_when_idle(); });
}

void fleet_entry::end_when_idle() {
    const auto now = context_.run.now();
    if (now < end_at_)
        return;
    if (callers_->pending_requests() == 0 ||
        now > end_at_ + (max_drain_time - drain_time))
        context_.loop.end();
}

} // namespace celerylift::host
