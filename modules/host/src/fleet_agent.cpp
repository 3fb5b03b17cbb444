#include <celerylift/host/fleet_agent.hpp>

#include <celerylift/adapter/platform.hpp>
#include <celerylift/host/peer_links.hpp>

#include <vector>

namespace celerylift::host {

fleet_agent::fleet_agent(const fleet_agent_settings& settings)
    : settings_(settings), context_(settings.name, settings.clients),
      links_(context_.loop, settings.name,
             [this](const std::string& from, std::string_view bytes) {
                 handle_message(from, bytes);
             }),
      server_(adapter::make_backend_server(context_.client,
                                           settings.backend_server)),
      node_(context_.run, *server_, settings.name, settings.failure_domain,
            make_peer_links(links_)) {}

int fleet_agent::run() {
    context_.journal.event(
        "started", {{"backend_server", to_string(settings_.backend_server)}});
    heartbeats_ = std::make_unique<net::async_http_server>(
        context_.loop, settings_.heartbeats, net::http_server_limits{},
        [this](const net::served_request& request,
               const net::responder& respond) {
            serve_heartbeat_port(request, respond);
        },
        context_.clients);
    context_.serve_metrics(settings_.metrics);
    maintain_links(context_, links_);
    std::vector<std::string> entries;
    for (const auto& entry : settings_.entries)
        entries.push_back(to_string(entry));
    node_.start(entries);
    // The backend server continues; the next agent takes over its runs.
    context_.loop.on_termination([this] {
        context_.journal.event("stopping", {});
        context_.loop.end();
    });
    context_.loop.on_reload(
        [this] { context_.journal.event("settings_reloaded", {}); });
    context_.loop.run();
    context_.journal.event("ended", {});
    heartbeats_.reset();
    return 0;
}

void fleet_agent::handle_message(const std::string& from,
                                 std::string_view bytes) {
    fleet::FleetEnvelope envelope;
    if (envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        node_.on_message(from, envelope);
}

void fleet_agent::serve_heartbeat_port(const net::served_request& request,
                                       const net::responder& respond) {
    const net::served_response accepted{
        200, "{}", {{"Content-Type", "application/json"}}};
    const auto call = adapter::decode_server_call(request);
    if (call.type == adapter::server_call::kind::departure) {
        fleet::on_departure(node_.state(), call.id);
        return respond(accepted);
    }
    if (call.type != adapter::server_call::kind::heartbeat)
        return respond(
            {404, "only calls of backend servers are served here\n", {}});
    const auto heartbeat = adapter::decode_heartbeat(call.id, request.body);
    if (const auto* failure = error_of(heartbeat)) {
        context_.journal.event("heartbeat_unreadable",
                               {{"id", call.id}, {"why", failure->message}});
        return respond({400, failure->message, {}});
    }
    if (!fleet::on_heartbeat(node_.state(),
                             std::get<fleet::server_heartbeat>(heartbeat)))
        context_.journal.event("heartbeat_late", {{"id", call.id}});
    respond(accepted);
}

} // namespace celerylift::host
