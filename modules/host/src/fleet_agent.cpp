#include <celerylift/host/fleet_agent.hpp>

#include <celerylift/adapter/platform.hpp>

#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <set>

namespace celerylift::host {

namespace {

constexpr duration agent_tick{40};
constexpr duration link_check{200};
/// A connection on which nothing has come for this long is made anew.
constexpr duration longest_link_silence{2500};
constexpr duration owner_silence{1200};
constexpr duration greeting_period{2000};
constexpr duration urgent_greeting_period{400};

std::optional<base::address> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    if (std::from_chars(text.data() + colon + 1, end, port).ptr != end)
        return std::nullopt;
    return base::address{text.substr(0, colon), port};
}

} // namespace

fleet_agent::fleet_agent(const fleet_agent_settings& settings)
    : settings_(settings), frame_(settings.name),
      links_(frame_.loop, settings.name,
             [this](const std::string& from, std::string_view bytes) {
                 take_message(from, bytes);
             }),
      server_(
          adapter::make_backend_server(frame_.client, settings.backend_server)),
      agent_{
          frame_.run, *server_, settings.failure_domain,
          [this](const fleet::AgentReport& report) { send_report(report); }} {}

int fleet_agent::run() {
    frame_.journal.event("started", {});
    heartbeats_ = std::make_unique<net::http_front>(
        frame_.loop, settings_.heartbeats, net::front_limits{},
        [this](const net::served_request& request,
               const net::responder& respond) {
            serve_backend_server(request, respond);
        });
    frame_.serve_metrics(settings_.metrics);
    for (const auto& entry : settings_.entries)
        connect(entry, true);
    const auto now = frame_.run.now();
    frame_.timers.every(now, agent_tick,
                        [this](time_point) { fleet::on_tick(agent_); });
    frame_.timers.every(now, link_check,
                        [this](time_point) { look_after_links(); });
    frame_.loop.on_termination([this] {
        frame_.journal.event("stopping", {});
        frame_.loop.end();
    });
    frame_.loop.on_reload(
        [this] { frame_.journal.event("settings_reloaded", {}); });
    frame_.loop.run();
    frame_.journal.event("ended", {});
    heartbeats_.reset();
    return 0;
}

void fleet_agent::connect(const base::address& at, bool is_seed) {
    const auto name = to_string(at);
    auto [it, added] = known_.try_emplace(name);
    it->second.is_seed = it->second.is_seed || is_seed;
    if (!added)
        return;
    it->second.at = at;
    it->second.connected_at = frame_.run.now();
    links_.connect(name, at);
    greet(name, it->second);
}

void fleet_agent::greet(const std::string& address, link& to) {
    fleet::FleetEnvelope envelope;
    envelope.set_from(settings_.name);
    envelope.mutable_hello()->set_failure_domain(settings_.failure_domain);
    to.greeted_at = frame_.run.now();
    links_.send(address, envelope);
}

void fleet_agent::look_after_links() {
    const auto now = frame_.run.now();
    const bool urgent = now > owner_heard_at_ + owner_silence;
    const auto period = urgent ? urgent_greeting_period : greeting_period;
    for (auto& [address, to] : known_) {
        if (now >
            std::max(to.connected_at, to.heard_at) + longest_link_silence) {
            links_.disconnect(address);
            links_.connect(address, to.at);
            to.connected_at = now;
        }
        if (now >= to.greeted_at + period)
            greet(address, to);
    }
}

void fleet_agent::take_message(const std::string& from,
                               std::string_view bytes) {
    fleet::FleetEnvelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    const auto now = frame_.run.now();
    if (auto it = known_.find(from); it != known_.end())
        it->second.heard_at = now;
    if (envelope.has_welcome())
        take_welcome(envelope.welcome());
    if (!envelope.has_orders() || envelope.orders().epoch() < owner_epoch_)
        return;
    owner_heard_at_ = now;
    owner_epoch_ = envelope.orders().epoch();
    owner_address_ = from;
    fleet::on_orders(agent_, envelope.orders());
}

void fleet_agent::take_welcome(const fleet::Welcome& welcome) {
    std::set<std::string> listed;
    for (const auto& entry : welcome.entries()) {
        listed.insert(entry.address());
        if (const auto at = parse_address(entry.address()))
            connect(*at, false);
    }
    // An entry that is neither listed nor heard of has been replaced.
    const auto now = frame_.run.now();
    for (auto it = known_.begin(); it != known_.end();) {
        const bool gone = !it->second.is_seed && !listed.contains(it->first) &&
                          now > it->second.heard_at + longest_link_silence;
        if (gone)
            links_.disconnect(it->first);
        it = gone ? known_.erase(it) : std::next(it);
    }
    if (welcome.epoch() <= owner_epoch_ || welcome.owner_address().empty())
        return;
    owner_epoch_ = welcome.epoch();
    owner_address_ = welcome.owner_address();
    frame_.journal.event(
        "owner_named", {{"address", owner_address_}, {"epoch", owner_epoch_}});
    fleet::report_now(agent_);
}

void fleet_agent::send_report(const fleet::AgentReport& report) {
    if (!known_.contains(owner_address_))
        return;
    fleet::FleetEnvelope envelope;
    envelope.set_from(settings_.name);
    *envelope.mutable_report() = report;
    links_.send(owner_address_, envelope);
}

void fleet_agent::serve_backend_server(const net::served_request& request,
                                       const net::responder& respond) {
    const auto call = adapter::decode_server_call(request);
    if (call.what == adapter::server_call::kind::departure) {
        fleet::on_departure(agent_, call.id);
        return respond({200, "{}", {{"Content-Type", "application/json"}}});
    }
    if (call.what != adapter::server_call::kind::heartbeat)
        return respond({404, "backend servers send heartbeats here\n", {}});
    const auto heartbeat = adapter::decode_heartbeat(call.id, request.body);
    if (const auto* failure = error_of(heartbeat)) {
        frame_.journal.event("heartbeat_unreadable",
                             {{"id", call.id}, {"why", failure->message}});
        return respond({400, failure->message, {}});
    }
    const bool taken = fleet::on_heartbeat(
        agent_, std::get<fleet::server_heartbeat>(heartbeat));
    if (!taken)
        frame_.journal.event("heartbeat_late", {{"id", call.id}});
    respond({200, "{}", {{"Content-Type", "application/json"}}});
}

} // namespace celerylift::host
