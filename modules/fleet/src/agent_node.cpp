#include <celerylift/fleet/agent_node.hpp>

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>

namespace celerylift::fleet {

namespace {

constexpr duration tick_period{40};
/// A connection without messages for this long is established again.
constexpr duration link_timeout{2500};
/// After this long without orders, the agent searches for the owner.
constexpr duration owner_timeout{1200};
constexpr duration hello_period{2000};
constexpr duration search_hello_period{400};
/// A Hello is dropped while its connection is being established, so it is sent
/// this often on a new link until the entry answers. The period is short
/// because after a power failure no work starts before the agents know the
/// owner.
constexpr duration initial_hello_period{80};
constexpr duration initial_hello_duration{1000};

/// Links besides the one to the owner: enough that some entry names a new owner
/// after hosts or a whole failure domain are lost.
constexpr std::size_t links_in_domain = 2;
constexpr std::size_t links_outside_domain = 2;

/// While the owner is unresponsive, two links inside and two outside the
/// failure domain are added at this interval.
constexpr duration fallback_period{800};
constexpr std::size_t links_per_fallback = 2;

/// A newly named owner gets a report at each tick until it answers, for at most
/// this long: reports are dropped while the connection is being established.
constexpr duration first_report_duration{1000};

} // namespace

agent_node::agent_node(runtime& run, backend_server& server, std::string name,
                       std::string failure_domain, peer_links links)
    : run_(run), links_(std::move(links)),
      name_(std::move(name)), agent_{run, server, std::move(failure_domain),
                                     [this](const AgentReport& report) {
                                         send_report(report);
                                     }} {}

void agent_node::start(const std::vector<std::string>& entries) {
    seeds_ = entries;
    last_owner_message_at_ = run_.now();
    update_links();
    run_.timers.every(run_.now(), tick_period, [this](time_point) {
        on_tick(agent_);
        repeat_first_report();
        maintain_links();
    });
}

void agent_node::connect(const std::string& address) {
    auto [it, added] = link_states_.try_emplace(address);
    if (!added)
        return;
    it->second.connected_at = run_.now();
    links_.connect(address);
    send_hello(address, it->second);
}

void agent_node::send_hello(const std::string& address, link_state& peer) {
    FleetEnvelope envelope;
    auto* hello = envelope.mutable_hello();
    hello->set_failure_domain(agent_.failure_domain);
    hello->set_entries_version(entries_version_);
    peer.last_hello_at = run_.now();
    links_.send(address, envelope);
}

void agent_node::maintain_links() {
    const auto now = run_.now();
    const bool is_searching = now > last_owner_message_at_ + owner_timeout;
    if (is_searching)
        add_fallback_links();
    const auto regular_period =
        is_searching ? search_hello_period : hello_period;
    for (auto& [address, peer] : link_states_) {
        const bool is_new = peer.last_message_at < peer.connected_at &&
                            now < peer.connected_at + initial_hello_duration;
        const auto period = is_new ? initial_hello_period : regular_period;
        if (now >
            std::max(peer.connected_at, peer.last_message_at) + link_timeout) {
            links_.disconnect(address);
            links_.connect(address);
            peer.connected_at = now;
        }
        if (now >= peer.last_hello_at + period)
            send_hello(address, peer);
    }
}

void agent_node::add_fallback_links() {
    if (run_.now() < fallback_added_at_ + fallback_period)
        return;
    fallback_added_at_ = run_.now();
    fallback_links_ =
        std::min(fallback_links_ + links_per_fallback, entries_.size());
    update_links();
}

/// The owner and the entries with the highest capacity inside and outside this
/// failure domain; the seed entries too while no others are known or the owner
/// is unresponsive.
std::set<std::string> agent_node::wanted_links() const {
    std::set<std::string> wanted;
    if (!owner_address_.empty())
        wanted.insert(owner_address_);
    if (entries_.empty() || fallback_links_ > 0)
        wanted.insert(seeds_.begin(), seeds_.end());
    const auto order = [this](const EntryRecord& entry) {
        return std::tuple{-entry.millicores(),
                          std::hash<std::string>{}(entry.address() + name_)};
    };
    auto sorted = entries_;
    std::ranges::sort(sorted, {}, order);
    std::size_t local = links_in_domain + fallback_links_;
    std::size_t remote = links_outside_domain + fallback_links_;
    for (const auto& entry : sorted) {
        const bool is_local = entry.failure_domain() == agent_.failure_domain;
        auto& remaining = is_local ? local : remote;
        if (remaining == 0)
            continue;
        --remaining;
        wanted.insert(entry.address());
    }
    return wanted;
}

void agent_node::update_links() {
    const auto wanted = wanted_links();
    for (auto it = link_states_.begin(); it != link_states_.end();) {
        const bool keep = wanted.contains(it->first);
        if (!keep)
            links_.disconnect(it->first);
        it = keep ? std::next(it) : link_states_.erase(it);
    }
    for (const auto& address : wanted)
        connect(address);
}

void agent_node::repeat_first_report() {
    const auto now = run_.now();
    if (last_owner_message_at_ < owner_named_at_ &&
        now < owner_named_at_ + first_report_duration)
        report_now(agent_);
}

void agent_node::on_message(const std::string& address,
                            const FleetEnvelope& envelope) {
    const auto now = run_.now();
    if (auto it = link_states_.find(address); it != link_states_.end())
        it->second.last_message_at = now;
    if (envelope.has_welcome())
        handle_welcome(envelope.welcome());
    if (!envelope.has_orders() || envelope.orders().epoch() < owner_epoch_)
        return;
    last_owner_message_at_ = now;
    owner_epoch_ = envelope.orders().epoch();
    owner_address_ = address;
    if (std::exchange(fallback_links_, 0) > 0)
        update_links();
    on_orders(agent_, envelope.orders());
}

void agent_node::handle_welcome(const Welcome& welcome) {
    on_evacuations(agent_, {welcome.evacuations_as_of(),
                            {welcome.evacuated_domains().begin(),
                             welcome.evacuated_domains().end()}});
    const bool has_new_owner =
        welcome.epoch() > owner_epoch_ && !welcome.owner_address().empty();
    if (has_new_owner) {
        owner_epoch_ = welcome.epoch();
        owner_address_ = welcome.owner_address();
        owner_named_at_ = run_.now();
        run_.journal.event("owner_named", {{"address", owner_address_},
                                           {"epoch", owner_epoch_}});
    }
    if (welcome.entries_size() > 0) {
        entries_.assign(welcome.entries().begin(), welcome.entries().end());
        entries_version_ = welcome.entries_version();
    }
    if (has_new_owner || welcome.entries_size() > 0)
        update_links();
    if (has_new_owner)
        report_now(agent_);
}

void agent_node::send_report(const AgentReport& report) {
    if (!link_states_.contains(owner_address_))
        return;
    FleetEnvelope envelope;
    *envelope.mutable_report() = report;
    links_.send(owner_address_, envelope);
}

} // namespace celerylift::fleet
