#include <celerylift/host/fleet_entry.hpp>

#include <celerylift/adapter/platform.hpp>
#include <celerylift/fleet/names.hpp>

#include <fmt/format.h>

namespace celerylift::host {

namespace {

constexpr duration owner_tick{100};
/// A watch may stay silent although the configuration has changed.
constexpr duration config_check{800};
constexpr duration config_read_timeout{700};
/// An entry that hasn't heard from the store for this long turns new callers
/// away.
constexpr duration longest_store_silence{3500};
/// How long a stopping entry goes on serving: until the platform has noticed
/// that it isn't ready, and callers have had their answers.
constexpr duration drain_time{3500};
constexpr duration longest_drain_time{5200};
constexpr duration drain_check{50};

fleet::EntryRecord record_of(const fleet_entry_settings& settings) {
    fleet::EntryRecord record;
    record.set_name(settings.name);
    record.set_address(to_string(settings.link));
    record.set_failure_domain(settings.failure_domain);
    record.set_incarnation(
        fmt::format("{}", net::boottime_now().time_since_epoch().count() ^
                              (net::wall_now_ms() << 8)));
    return record;
}

} // namespace

fleet_entry::fleet_entry(const fleet_entry_settings& settings)
    : settings_(settings), frame_(settings.name), self_(record_of(settings)),
      links_(frame_.loop, settings.name,
             [this](const std::string& from, std::string_view bytes) {
                 take_message(from, bytes);
             }),
      store_(adapter::make_store(frame_.client, settings.store)),
      leadership_(frame_.run, *store_, self_,
                  {[this](std::int64_t epoch) {
                       gained_epoch_ = epoch;
                       gain_cell();
                   },
                   [this] {
                       gained_epoch_ = 0;
                       fleet::deactivate(owner_);
                   }}),
      owner_{
          frame_.run, *store_, [this] { return leadership_.is_valid(); },
          [this](const std::string& agent, const fleet::OwnerOrders& orders) {
              fleet::FleetEnvelope envelope;
              envelope.set_from(settings_.name);
              *envelope.mutable_orders() = orders;
              links_.send(agent, envelope);
          }},
      front_{frame_.run, *store_, nullptr, &directory_,
             [this](const fleet::store_item& item) {
                 cell_mirror_.observe(item);
             }},
      cell_mirror_(
          frame_.run, *store_, std::string(fleet::cell_prefix),
          [this](const fleet::store_change& change) { take_change(change); },
          [this] { follow_owner(); }),
      config_mirror_(
          frame_.run, *store_, adapter::config_key,
          [this](const fleet::store_change& change) { take_config(change); }) {}

int fleet_entry::run() {
    frame_.journal.event("started", {{"address", self_.address()},
                                     {"incarnation", self_.incarnation()}});
    links_.listen(settings_.link);
    callers_ = std::make_unique<net::http_front>(
        frame_.loop, settings_.callers, net::front_limits{},
        [this](const net::served_request& request, net::responder respond) {
            serve_callers(request, std::move(respond));
        });
    readiness_ = std::make_unique<net::http_front>(
        frame_.loop, settings_.readiness, net::front_limits{},
        [this](const net::served_request& request,
               const net::responder& respond) {
            serve_readiness(request, respond);
        });
    frame_.serve_metrics(settings_.metrics);
    cell_mirror_.start();
    config_mirror_.start();
    leadership_.start();
    const auto now = frame_.run.now();
    frame_.timers.every(now, owner_tick,
                        [this](time_point) { fleet::on_tick(owner_); });
    frame_.timers.every(now, config_check,
                        [this](time_point) { read_config(); });
    frame_.loop.on_termination([this] { stop(); });
    frame_.loop.on_reload(
        [this] { frame_.journal.event("settings_reloaded", {}); });
    frame_.loop.run();
    frame_.journal.event("ended", {});
    callers_.reset();
    readiness_.reset();
    return 0;
}

void fleet_entry::take_change(const fleet::store_change& change) {
    const auto& item = change.item;
    if (item.key == fleet::owner_key) {
        owner_record_.Clear();
        if (!change.removed)
            owner_record_.ParseFromString(item.value);
        owner_revision_ = change.removed ? 0 : item.revision;
        welcome_everyone();
        return;
    }
    if (item.key.starts_with(fleet::entry_prefix)) {
        const auto name = item.key.substr(fleet::entry_prefix.size());
        fleet::EntryRecord record;
        if (change.removed)
            entries_.erase(name);
        else if (record.ParseFromString(item.value))
            entries_[name] = record;
        if (change.removed && name == settings_.name)
            leadership_.on_own_entry_removed();
        return;
    }
    const auto id = fleet::apply(directory_, change);
    if (!id || change.removed || owner_.epoch == 0)
        return;
    fleet::on_job_changed(owner_, directory_.jobs.at(*id));
    fleet::finish_step(owner_);
}

void fleet_entry::follow_owner() {
    leadership_.on_owner_changed(owner_record_, owner_revision_);
    gain_cell();
}

void fleet_entry::gain_cell() {
    // All that former owners have written is seen once the mirror is past
    // this owner's own first write.
    if (gained_epoch_ == 0 || owner_.epoch == gained_epoch_ ||
        cell_mirror_.as_of() < gained_epoch_)
        return;
    owner_.config = config_;
    fleet::activate(owner_, gained_epoch_, directory_);
    welcome_everyone();
}

void fleet_entry::take_config(const fleet::store_change& change) {
    if (change.removed || change.item.key != adapter::config_key)
        return;
    auto decoded = adapter::decode_config(change.item.value);
    if (const auto* failure = error_of(decoded)) {
        frame_.journal.event(
            "config_unreadable",
            {{"revision", change.item.revision}, {"why", failure->message}});
        return;
    }
    auto& config = std::get<fleet::fleet_config>(decoded);
    if (config_ && config.version <= config_->version)
        return;
    frame_.journal.event("config_applied",
                         {{"version", config.version},
                          {"revision", change.item.revision},
                          {"queues", config.queues.size()},
                          {"organisations", config.organisations.size()}});
    frame_.metrics.gauge("config_version", static_cast<double>(config.version));
    config_ = std::make_shared<const fleet::fleet_config>(std::move(config));
    front_.config = config_;
    fleet::on_config(owner_, config_);
}

void fleet_entry::read_config() {
    store_->read(adapter::config_key, config_read_timeout,
                 [this](const fleet::read_reply& reply) {
                     if (reply.status == fleet::store_status::ok)
                         config_mirror_.observe(reply.item);
                 });
}

void fleet_entry::take_message(const std::string& from,
                               std::string_view bytes) {
    fleet::FleetEnvelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    agents_.insert(from);
    if (envelope.has_report() && owner_.epoch != 0)
        fleet::on_report(owner_, from, envelope.report());
    else
        send_welcome(from);
}

void fleet_entry::send_welcome(const std::string& agent) {
    fleet::FleetEnvelope envelope;
    envelope.set_from(settings_.name);
    auto* welcome = envelope.mutable_welcome();
    welcome->set_owner_address(owner_record_.address());
    welcome->set_epoch(owner_revision_);
    for (const auto& [name, record] : entries_)
        *welcome->add_entries() = record;
    links_.send(agent, envelope);
}

void fleet_entry::welcome_everyone() {
    for (const auto& agent : agents_)
        send_welcome(agent);
}

bool fleet_entry::is_ready() const {
    return !stopping_ && config_ && cell_mirror_.is_loaded() &&
           frame_.run.now() <
               cell_mirror_.last_answer() + longest_store_silence;
}

void fleet_entry::serve_callers(const net::served_request& request,
                                net::responder respond) {
    adapter::serve_caller(front_, request, frame_.run.now(),
                          std::move(respond));
}

void fleet_entry::serve_readiness(const net::served_request& request,
                                  const net::responder& respond) {
    if (request.path != adapter::readiness_path)
        return respond({404, "ask for readiness here\n", {}});
    respond({is_ready() ? 200 : 503, "", {}});
}

void fleet_entry::stop() {
    if (stopping_)
        return;
    stopping_ = true;
    frame_.journal.event("stopping", {{"epoch", owner_.epoch}});
    callers_->close_after_answers();
    leadership_.stop([] {});
    fleet::deactivate(owner_);
    end_at_ = frame_.run.now() + drain_time;
    frame_.timers.every(frame_.run.now(), drain_check,
                        [this](time_point) { end_when_idle(); });
}

void fleet_entry::end_when_idle() {
    const auto now = frame_.run.now();
    if (now < end_at_)
        return;
    if (callers_->waiting() == 0 ||
        now > end_at_ + (longest_drain_time - drain_time))
        frame_.loop.end();
}

} // namespace celerylift::host
