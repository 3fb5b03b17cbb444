#include <celerylift/fleet/agent_node.hpp>

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>

namespace celerylift::fleet {

namespace {

constexpr duration agent_tick{40};
/// A connection on which nothing has come for this long is made anew.
constexpr duration longest_link_silence{2500};
constexpr duration owner_silence{1200};
constexpr duration greeting_period{2000};
constexpr duration urgent_greeting_period{400};
/// A greeting is dropped while its connection is being made, so a new link is
/// greeted this often until the entry answers. After a loss of power each
/// moment counts: all work waits for agents that know the owner.
constexpr duration first_greeting_period{80};
constexpr duration first_greetings{1000};

/// Links beside that to the owner: enough that some entry names a new owner
/// when hosts or a whole failure domain are lost.
constexpr std::size_t links_at_home = 2;
constexpr std::size_t links_away = 2;

/// While no owner is heard, two more entries are asked this often.
constexpr duration widening_period{800};
constexpr std::size_t links_per_widening = 2;

/// An owner that has been named gets a report at each tick until it answers,
/// for this long: the connection to it may just be being made.
constexpr duration first_reports{1000};

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
    owner_heard_at_ = run_.now();
    choose_links();
    run_.timers.every(run_.now(), agent_tick, [this](time_point) {
        on_tick(agent_);
        find_owner();
        look_after_links();
    });
}

void agent_node::connect(const std::string& address) {
    auto [it, added] = linked_.try_emplace(address);
    if (!added)
        return;
    it->second.connected_at = run_.now();
    links_.connect(address);
    greet(address, it->second);
}

void agent_node::greet(const std::string& address, link& to) {
    FleetEnvelope envelope;
    auto* hello = envelope.mutable_hello();
    hello->set_failure_domain(agent_.failure_domain);
    hello->set_entries_version(entries_version_);
    to.greeted_at = run_.now();
    links_.send(address, envelope);
}

void agent_node::look_after_links() {
    const auto now = run_.now();
    const bool urgent = now > owner_heard_at_ + owner_silence;
    if (urgent)
        widen_search();
    const auto usual = urgent ? urgent_greeting_period : greeting_period;
    for (auto& [address, to] : linked_) {
        const bool is_new = to.heard_at < to.connected_at &&
                            now < to.connected_at + first_greetings;
        const auto period = is_new ? first_greeting_period : usual;
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

void agent_node::widen_search() {
    if (run_.now() < widened_at_ + widening_period)
        return;
    widened_at_ = run_.now();
    wider_ = std::min(wider_ + links_per_widening, entries_.size());
    choose_links();
}

/// The owner, the strongest entries of this failure domain, some elsewhere;
/// those to ask first while no others are known.
std::set<std::string> agent_node::wanted_links() const {
    std::set<std::string> wanted;
    if (!owner_address_.empty())
        wanted.insert(owner_address_);
    if (entries_.empty() || wider_ > 0)
        wanted.insert(seeds_.begin(), seeds_.end());
    const auto order = [this](const EntryRecord& e) {
        return std::tuple{-e.millicores(),
                          std::hash<std::string>{}(e.address() + name_)};
    };
    auto sorted = entries_;
    std::ranges::sort(sorted, {}, order);
    std::size_t home = links_at_home + wider_;
    std::size_t away = links_away + wider_;
    for (const auto& e : sorted) {
        const bool here = e.failure_domain() == agent_.failure_domain;
        auto& left = here ? home : away;
        if (left == 0)
            continue;
        --left;
        wanted.insert(e.address());
    }
    return wanted;
}

void agent_node::choose_links() {
    const auto wanted = wanted_links();
    for (auto it = linked_.begin(); it != linked_.end();) {
        const bool keep = wanted.contains(it->first);
        if (!keep)
            links_.disconnect(it->first);
        it = keep ? std::next(it) : linked_.erase(it);
    }
    for (const auto& address : wanted)
        connect(address);
}

void agent_node::find_owner() {
    const auto now = run_.now();
    if (owner_heard_at_ < owner_named_at_ &&
        now < owner_named_at_ + first_reports)
        report_now(agent_);
}

void agent_node::on_message(const std::string& address,
                            const FleetEnvelope& envelope) {
    const auto now = run_.now();
    if (auto it = linked_.find(address); it != linked_.end())
        it->second.heard_at = now;
    if (envelope.has_welcome())
        take_welcome(envelope.welcome());
    if (!envelope.has_orders() || envelope.orders().epoch() < owner_epoch_)
        return;
    owner_heard_at_ = now;
    owner_epoch_ = envelope.orders().epoch();
    owner_address_ = address;
    if (std::exchange(wider_, 0) > 0)
        choose_links();
    on_orders(agent_, envelope.orders());
}

void agent_node::take_welcome(const Welcome& welcome) {
    const bool named =
        welcome.epoch() > owner_epoch_ && !welcome.owner_address().empty();
    if (named) {
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
    if (named || welcome.entries_size() > 0)
        choose_links();
    if (named)
        report_now(agent_);
}

void agent_node::send_report(const AgentReport& report) {
    if (!linked_.contains(owner_address_))
        return;
    FleetEnvelope envelope;
    *envelope.mutable_report() = report;
    links_.send(owner_address_, envelope);
}

} // namespace celerylift::fleet
