#include <celerylift/fleet/entry_node.hpp>

#include <celerylift/fleet/names.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <optional>

namespace celerylift::fleet {

namespace {

constexpr duration owner_tick_period{100};
/// Without it, each entry's watch would return at each write. Entries notify
/// each other of what cannot wait.
constexpr duration job_batch_interval{100};
/// The configuration is also polled, because a watch may miss a change.
constexpr duration config_poll_period{800};
constexpr duration config_read_timeout{700};
/// An entry that the store has not answered for this long is not ready for new
/// callers.
constexpr duration store_answer_timeout{3500};

/// An owner hands over only after the entries of the cell have been the same
/// for this long: not while they are being started or replaced.
constexpr duration membership_settle_time{1500};

/// Agents send messages to the entries that they are linked to more often than
/// this.
constexpr duration agent_active_window{3000};

/// Agents that have sent nothing for this long are linked to other entries.
constexpr duration agent_retention{10'000};

/// Handovers are this far apart: an entry with a higher capacity that does not
/// take over may be unable to reach the store.
constexpr duration handover_retry_period{20'000};

/// After a takeover an owner knows the failure domains of all servers once this
/// has passed: heartbeats are up to 1.5 s apart.
constexpr duration server_report_time{2500};

/// A version that is equal in all entries that have the same list.
std::uint64_t version_of(const entry_records& entries) {
    std::string text;
    for (const auto& [name, record] : entries)
        text += fmt::format("{} {} {};", name, record.address(),
                            record.incarnation());
    return std::hash<std::string>{}(text);
}

} // namespace

entry_node::entry_node(runtime& run, store& records,
                       entry_node_settings settings, sender send,
                       peer_links peers)
    : run_(run),
      records_(run, records,
               [this](const std::string& entry, const FleetEnvelope& envelope) {
                   peers_.send(entry, envelope);
               }),
      settings_(std::move(settings)), send_(std::move(send)),
      peers_(std::move(peers)),
      leadership_(run, records_, settings_.self,
                  {[this](std::int64_t epoch) {
                       gained_epoch_ = epoch;
                       gained_at_ = run_.now();
                       if (evacuations_)
                           evacuations_->read_now();
                       try_activate();
                   },
                   [this] {
                       gained_epoch_ = 0;
                       deactivate(owner_);
                   },
                   [this] { return own_claim_delay(); }}),
      owner_{run,
             records_,
             [this] { return leadership_.is_valid(); },
             [this](const std::string& agent, const OwnerOrders& orders) {
                 FleetEnvelope envelope;
                 *envelope.mutable_orders() = orders;
                 send_(agent, envelope);
             },
             [this](const std::vector<store_item>& items) {
                 notify_entries(items);
             },
             settings_.policy},
      job_api_{run,
               records_,
               nullptr,
               &job_index_,
               [this](const store_item& item) { notify_entries({item}); },
               [this] { return records_.outage(); },
               std::minstd_rand{static_cast<std::uint32_t>(
                   std::hash<std::string>{}(settings_.self.incarnation()))},
               settings_.max_large_bytes,
               settings_.limits},
      cell_cache_(
          run, records_, std::string(cell_prefix), duration{0},
          [this](const store_change& change) { handle_cell_change(change); },
          [this] { update_leadership(); }),
      job_cache_(
          run, records_, std::string(job_prefix), job_batch_interval,
          [this](const store_change& change) { handle_job_change(change); },
          [this] { try_activate(); }),
      config_cache_(run, records_, settings_.config_key, duration{0},
                    [this](const store_change& change) {
                        handle_config_change(change);
                    }) {
    std::erase(settings_.seed_entries, settings_.self.address());
    if (!settings_.evacuation_prefix.empty())
        evacuations_.emplace(run, records_, settings_.evacuation_prefix,
                             [this] { handle_evacuations(); });
    job_api_.refuse_by_load = settings_.policy.refuse_by_load;
    owner_.on_load = [this](const cell_load& load) {
        handle_load(load);
        send_load(load);
    };
}

bool entry_node::is_seed_entry(const std::string& address) const {
    return std::ranges::find(settings_.seed_entries, address) !=
           settings_.seed_entries.end();
}

void entry_node::start() {
    for (const auto& address : settings_.seed_entries)
        peers_.connect(address);
    update_store_relays();
    records_.start();
    cell_cache_.start();
    job_cache_.start();
    config_cache_.start();
    if (evacuations_)
        evacuations_->start();
    leadership_.start();
    run_.timers.every(run_.now(), owner_tick_period,
                      [this](time_point) { tick(); });
    run_.timers.every(run_.now(), config_poll_period,
                      [this](time_point) { read_config(); });
}

void entry_node::stop(time_point ends_at) {
    stopping_ = true;
    job_api_.ends_at = ends_at;
    leadership_.stop([] {});
    gained_epoch_ = 0;
    deactivate(owner_);
}

void entry_node::show_totals() {
    const auto& held = job_index_.accepted.all;
    run_.metrics.gauge("accepted_jobs", static_cast<double>(held.jobs));
    run_.metrics.gauge("accepted_tasks", static_cast<double>(held.tasks));
    run_.metrics.gauge("accepted_bytes", static_cast<double>(held.bytes));
}

void entry_node::tick() {
    on_tick(owner_);
    show_totals();
    try_activate();
    abandon_late_takeover();
    if (evacuations_ && evacuations_->view().state.as_of < gained_epoch_)
        evacuations_->read_now();
    log_unknown_domains();
    std::erase_if(agents_, [this](const auto& a) {
        return run_.now() > a.second.last_message_at + agent_retention;
    });
    if (owner_.epoch != 0 &&
        run_.now() > last_handover_at_ + handover_retry_period &&
        run_.now() > entries_changed_at_ + membership_settle_time &&
        should_hand_over(entries_, settings_.self)) {
        last_handover_at_ = run_.now();
        leadership_.hand_over("another entry has a higher leader capacity");
    }
}

std::optional<duration> entry_node::own_claim_delay() const {
    if (!job_cache_.is_loaded() || run_.now() < claims_again_at_)
        return std::nullopt;
    return claim_delay(entries_, settings_.self);
}

void entry_node::abandon_late_takeover() {
    if (gained_epoch_ == 0 || owner_.epoch == gained_epoch_ ||
        run_.now() < gained_at_ + takeover_timeout_.value() ||
        entries_.size() < 2)
        return;
    run_.journal.event("takeover_abandoned",
                       {{"epoch", gained_epoch_},
                        {"jobs_as_of", job_cache_.as_of()},
                        {"waited_ms", (run_.now() - gained_at_).count()}});
    claims_again_at_ = run_.now() + takeover_timeout_.value();
    takeover_timeout_.grow();
    leadership_.hand_over("the jobs could not be read in time");
}

bool entry_node::is_ready() const {
    return !stopping_ && config_ && job_cache_.is_loaded() &&
           run_.now() < job_cache_.last_answer() + store_answer_timeout;
}

void entry_node::handle_cell_change(const store_change& change) {
    const auto& item = change.item;
    if (item.key == owner_key) {
        owner_record_.Clear();
        if (!change.removed)
            owner_record_.ParseFromString(item.value);
        owner_revision_ = change.removed ? 0 : item.revision;
        send_welcome_to_all();
        return;
    }
    if (item.key.starts_with(entry_prefix))
        handle_entry_change(change);
}

void entry_node::handle_job_change(const store_change& change) {
    const auto id = apply(job_index_, change);
    if (!id || change.removed || owner_.epoch == 0)
        return;
    on_job_changed(owner_, job_index_.jobs.at(*id));
    process_changes(owner_);
}

/// Sets the entries that can relay calls to the store.
void entry_node::update_store_relays() {
    std::vector<std::string> addresses;
    for (const auto& [name, record] : entries_)
        if (name != settings_.self.name())
            addresses.push_back(record.address());
    for (const auto& address : settings_.seed_entries)
        if (std::ranges::find(addresses, address) == addresses.end())
            addresses.push_back(address);
    records_.set_entries(std::move(addresses));
}

void entry_node::handle_entry_change(const store_change& change) {
    const auto name = change.item.key.substr(entry_prefix.size());
    const bool other = name != settings_.self.name();
    if (auto it = entries_.find(name); it != entries_.end()) {
        if (other && !is_seed_entry(it->second.address()))
            peers_.disconnect(it->second.address());
        entries_.erase(it);
    }
    EntryRecord record;
    if (!change.removed && record.ParseFromString(change.item.value)) {
        entries_[name] = record;
        if (other)
            peers_.connect(record.address());
    }
    entries_version_ = version_of(entries_);
    entries_changed_at_ = run_.now();
    if (change.removed && name == settings_.self.name())
        leadership_.on_own_entry_removed();
    update_store_relays();
}

void entry_node::update_leadership() {
    leadership_.on_owner_changed(owner_record_, owner_revision_,
                                 cell_cache_.as_of());
    try_activate();
}

void entry_node::try_activate() {
    // Once the cache has reached this owner's own first write, it has seen all
    // that former owners have written.
    if (gained_epoch_ == 0 || owner_.epoch == gained_epoch_)
        return;
    if (job_cache_.as_of() < gained_epoch_)
        return job_cache_.catch_up();
    owner_.config = config_;
    std::set<std::string> expected;
    for (const auto& [agent, known] : agents_)
        if (run_.now() < known.last_message_at + agent_active_window)
            expected.insert(agent);
    activate(owner_, gained_epoch_, job_index_, expected);
    takeover_timeout_.reset();
    send_welcome_to_all();
}

void entry_node::handle_config_change(const store_change& change) {
    if (change.removed || change.item.key != settings_.config_key)
        return;
    auto decoded = settings_.decode_config(change.item.value);
    if (const auto* failure = error_of(decoded)) {
        run_.journal.event(
            "config_unreadable",
            {{"revision", change.item.revision}, {"why", failure->message}});
        return;
    }
    auto& config = std::get<fleet_config>(decoded);
    if (config_ && config.version <= config_->version)
        return;
    run_.journal.event("config_applied",
                       {{"version", config.version},
                        {"revision", change.item.revision},
                        {"queues", config.queues.size()},
                        {"organisations", config.organisations.size()}});
    run_.metrics.gauge("config_version", static_cast<double>(config.version));
    config_ = std::make_shared<const fleet_config>(std::move(config));
    job_api_.config = config_;
    on_config(owner_, config_);
}

void entry_node::read_config() {
    records_.read(settings_.config_key, config_read_timeout,
                  [this](const read_reply& reply) {
                      if (reply.status == store_status::ok)
                          config_cache_.observe(reply.item);
                  });
}

void entry_node::handle_evacuations() {
    const auto& view = evacuations_->view();
    on_evacuations(owner_, view);
    if (announced_domains_ == view.state.domains)
        return;
    announced_domains_ = view.state.domains;
    std::erase_if(compared_domains_, [&](const std::string& domain) {
        return !is_out_of_service(view.state, domain);
    });
    send_welcome_to_all();
}

/// Names requests for domains that have no server in this cell. They are
/// respected nevertheless, since servers may appear there.
void entry_node::log_unknown_domains() {
    if (!evacuations_ || owner_.epoch == 0 ||
        run_.now() < owner_.active_since + server_report_time)
        return;
    for (const auto& domain : evacuations_->view().state.domains) {
        if (!compared_domains_.insert(domain).second ||
            std::ranges::any_of(owner_.servers, [&](const auto& server) {
                return server.second.failure_domain == domain;
            }))
            continue;
        run_.journal.event("evacuation_request_ignored",
                           {{"key", settings_.evacuation_prefix + domain},
                            {"why", "no server is in this failure domain"}});
    }
}

void entry_node::on_message(const std::string& from,
                            const FleetEnvelope& envelope) {
    if (envelope.has_notice())
        return handle_notice(envelope.notice());
    if (envelope.has_store_reply())
        return records_.handle_reply(envelope.store_reply());
    if (envelope.has_store_call())
        return serve_store_call(from, envelope.store_call());
    if (envelope.has_load())
        return handle_load(from_record(envelope.load()));
    // An entry of an earlier version takes a load for a message of an agent and
    // answers it. An answer to that would be answered again.
    if (envelope.has_welcome())
        return;
    auto& known = agents_[from];
    known.last_message_at = run_.now();
    if (envelope.has_hello())
        known.entries_version = envelope.hello().entries_version();
    if (envelope.has_report() && owner_.epoch != 0)
        on_report(owner_, from, envelope.report());
    else
        send_welcome(from);
}

namespace {

void add_item(const store_item& item, Notice* notice) {
    auto* out = notice->add_items();
    out->set_key(item.key);
    out->set_value(item.value);
    out->set_revision(item.revision);
}

} // namespace

/// Notifies other entries of what this entry has written: the owner of a job
/// that is new or cancelled, all entries of a job that has ended. They learn of
/// other writes through their watches a moment later.
void entry_node::notify_entries(const std::vector<store_item>& items) {
    FleetEnvelope to_owner;
    FleetEnvelope to_all;
    for (const auto& item : items) {
        const auto key = parse_job_key(item.key);
        const auto before =
            key ? shown_state(job_index_, key->id) : std::optional<JobState>{};
        job_cache_.observe(item);
        const auto after =
            key ? shown_state(job_index_, key->id) : std::optional<JobState>{};
        if (after == before)
            continue;
        const bool over = after && is_final(*after);
        add_item(item, (over ? to_all : to_owner).mutable_notice());
    }
    for (const auto& [name, record] : entries_) {
        const bool leads = record.address() == owner_record_.address();
        if (name == settings_.self.name())
            continue;
        if (to_all.has_notice())
            peers_.send(record.address(), to_all);
        if (to_owner.has_notice() && leads)
            peers_.send(record.address(), to_owner);
    }
}

void entry_node::handle_notice(const Notice& notice) {
    for (const auto& item : notice.items())
        if (parse_job_key(item.key()))
            job_cache_.observe({item.key(), item.value(), item.revision()});
}

void entry_node::handle_load(const cell_load& load) {
    if (!apply_load(job_api_.load, load, run_.now()))
        run_.metrics.count("loads_ignored_total");
}

void entry_node::send_load(const cell_load& load) {
    FleetEnvelope envelope;
    *envelope.mutable_load() = to_record(load);
    for (const auto& [name, record] : entries_)
        if (name != settings_.self.name())
            peers_.send(record.address(), envelope);
}

void entry_node::serve_store_call(const std::string& entry,
                                  const StoreCall& call) {
    records_.serve(call, [this, entry](const StoreReply& reply) {
        FleetEnvelope envelope;
        *envelope.mutable_store_reply() = reply;
        send_(entry, envelope);
    });
}

void entry_node::send_welcome(const std::string& agent) {
    FleetEnvelope envelope;
    auto* welcome = envelope.mutable_welcome();
    welcome->set_owner_address(owner_record_.address());
    welcome->set_epoch(owner_revision_);
    welcome->set_entries_version(entries_version_);
    if (evacuations_) {
        const auto& state = evacuations_->view().state;
        welcome->set_evacuations_as_of(state.as_of);
        for (const auto& domain : state.domains)
            welcome->add_evacuated_domains(domain);
    }
    if (agents_[agent].entries_version != entries_version_)
        for (const auto& [name, record] : entries_)
            *welcome->add_entries() = record;
    send_(agent, envelope);
}

void entry_node::send_welcome_to_all() {
    for (const auto& [agent, known] : agents_)
        send_welcome(agent);
}

} // namespace celerylift::fleet
