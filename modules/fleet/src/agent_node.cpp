#include <celerylift/fleet/agent_node.hpp>

#include <algorithm>
#include <set>

namespace celerylift::fleet {

namespace {

constexpr duration agent_tick{40};
constexpr duration link_check{200};
/// A connection on which nothing has come for this long is made anew.
constexpr duration longest_link_silence{2500};
constexpr duration owner_silence{1200};
constexpr duration greeting_period{2000};
constexpr duration urgent_greeting_period{400};

} // namespace

agent_node::agent_node(runtime& run, backend_server& server,
                       std::string failure_domain, peer_links links)
    : run_(run),
      links_(std::move(links)), agent_{run, server, std::move(failure_domain),
                                       [this](const AgentReport& report) {
                                           send_report(report);
                                       }} {}

void agent_node::start(const std::vector<std::string>& entries) {
    for (const auto& entry : entries)
        connect(entry, true);
    run_.timers.every(run_.now(), agent_tick,
                      [this](time_point) { on_tick(agent_); });
    run_.timers.every(run_.now(), link_check,
                      [this](time_point) { look_after_links(); });
}

void agent_node::connect(const std::string& address, bool is_seed) {
    auto [it, added] = known_.try_emplace(address);
    it->second.is_seed = it->second.is_seed || is_seed;
    if (!added)
        return;
    it->second.connected_at = run_.now();
    links_.connect(address);
    greet(address, it->second);
}

void agent_node::greet(const std::string& address, link& to) {
    FleetEnvelope envelope;
    envelope.mutable_hello()->set_failure_domain(agent_.failure_domain);
    to.greeted_at = run_.now();
    links_.send(address, envelope);
}

void agent_node::look_after_links() {
    const auto now = run_.now();
    const bool urgent = now > owner_heard_at_ + owner_silence;
    const auto period = urgent ? urgent_greeting_period : greeting_period;
    for (auto& [address, to] : known_) {
        if (now >
            std::max(to.connected_at, to.heard_at) + longest_link_silence) {
            links_.disconnect(address);
            links_.connect(address);
            to.connected_at = now;
        }
        if (now >= to.greeted_at + period)
            greet(address, to);
    }
}

void agent_node::on_message(const std::string& address,
                            const FleetEnvelope& envelope) {
    const auto now = run_.now();
    if (auto it = known_.find(address); it != known_.end())
        it->second.heard_at = now;
    if (envelope.has_welcome())
        take_welcome(envelope.welcome());
    if (!envelope.has_orders() || envelope.orders().epoch() < owner_epoch_)
        return;
    owner_heard_at_ = now;
    owner_epoch_ = envelope.orders().epoch();
    owner_address_ = address;
    on_orders(agent_, envelope.orders());
}

void agent_node::take_welcome(const Welcome& welcome) {
    std::set<std::string> listed;
    for (const auto& entry : welcome.entries()) {
        listed.insert(entry.address());
        connect(entry.address(), false);
    }
    // An entry that is neither listed nor heard of has been replaced.
    for (auto it = known_.begin(); it != known_.end();) {
        const auto& [address, to] = *it;
        const bool gone = !to.is_seed && !listed.contains(address) &&
                          run_.now() > std::max(to.heard_at, to.connected_at) +
                                           longest_link_silence;
        if (gone)
            links_.disconnect(address);
        it = gone ? known_.erase(it) : std::next(it);
    }
    if (welcome.epoch() <= owner_epoch_ || welcome.owner_address().empty())
        return;
    owner_epoch_ = welcome.epoch();
    owner_address_ = welcome.owner_address();
    run_.journal.event("owner_named",
                       {{"address", owner_address_}, {"epoch", owner_epoch_}});
    report_now(agent_);
}

void agent_node::send_report(const AgentReport& report) {
    if (!known_.contains(owner_address_))
        return;
    FleetEnvelope envelope;
    *envelope.mutable_report() = report;
    links_.send(owner_address_, envelope);
}

} // namespace celerylift::fleet
