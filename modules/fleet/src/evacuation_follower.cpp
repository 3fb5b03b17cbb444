#include <celerylift/fleet/evacuation_follower.hpp>

#include <algorithm>
#include <utility>

namespace celerylift::fleet {

namespace {

/// With this period, the oldest view between two reads that take up to
/// `read_timeout` stays within `max_evacuation_view_age`.
constexpr duration read_period{800};
constexpr duration read_timeout{1200};

/// What a journal line repeats of a key that names no domain.
constexpr std::size_t max_logged_key_length = 200;

} // namespace

evacuation_follower::evacuation_follower(runtime& run, store& records,
                                         std::string prefix,
                                         std::function<void()> on_update)
    : run_(run), store_(records), prefix_(std::move(prefix)),
      on_update_(std::move(on_update)), view_{true, {}, {}},
      watch_(
          run, records, prefix_, duration{0},
          [this](const store_change& change) { handle_change(change); },
          [this] { update(keys_, watch_.confirmed_at()); }) {}

void evacuation_follower::start() {
    watch_.start();
    run_.timers.every(run_.now(), read_period, [this](time_point) {
        read_page({run_.now(), 0, {}}, [] {});
    });
}

void evacuation_follower::read_now() {
    if (!std::exchange(reading_now_, true))
        read_page({run_.now(), 0, {}}, [this] { reading_now_ = false; });
}

void evacuation_follower::read_page(read partial, std::function<void()> done) {
    const auto after =
        partial.items.empty() ? std::string{} : partial.items.back().key;
    store_.range(prefix_, after, read_timeout,
                 [this, partial = std::move(partial),
                  done = std::move(done)](const range_reply& page) mutable {
                     if (page.status != store_status::ok)
                         return done();
                     if (partial.as_of == 0)
                         partial.as_of = page.as_of;
                     partial.items.insert(partial.items.end(),
                                          page.items.begin(), page.items.end());
                     if (page.has_more && !page.items.empty())
                         return read_page(std::move(partial), std::move(done));
                     done();
                     update(with_read(keys_, partial.items, partial.as_of),
                            partial.sent_at);
                 });
}

/// The change takes effect with the progress of the watch, which is reported
/// next.
void evacuation_follower::handle_change(const store_change& change) {
    auto keys = with_change(keys_, change);
    log_unreadable_keys(keys);
    keys_ = std::move(keys);
}

void evacuation_follower::update(evacuation_keys keys,
                                 time_point confirmed_at) {
    log_unreadable_keys(keys);
    keys_ = std::move(keys);
    const auto before = view_.state;
    const auto as_of = std::max(before.as_of, watch_.as_of());
    view_.state = evacuations_of(keys_, prefix_, as_of);
    view_.confirmed_at = std::max(view_.confirmed_at, confirmed_at);
    log_changes(before);
    on_update_();
}

/// Names each unreadable key once for each time that it is written.
void evacuation_follower::log_unreadable_keys(
    const evacuation_keys& keys) const {
    for (const auto& [key, state] : keys.keys) {
        const auto known = keys_.keys.find(key);
        const bool is_new =
            !state.removed && (known == keys_.keys.end() ||
                               known->second.revision < state.revision);
        if (is_new && !parse_evacuation_key(key, prefix_))
            run_.journal.event("evacuation_request_ignored",
                               {{"key", key.substr(0, max_logged_key_length)},
                                {"revision", state.revision},
                                {"why", "the key names no failure domain"}});
    }
}

void evacuation_follower::log_changes(const domain_evacuations& before) const {
    const auto& now = view_.state;
    for (const auto& domain : now.domains)
        if (!is_out_of_service(before, domain))
            run_.journal.event("domain_out_of_service",
                               {{"domain", domain}, {"as_of", now.as_of}});
    for (const auto& domain : before.domains)
        if (!is_out_of_service(now, domain))
            run_.journal.event("domain_back_in_service",
                               {{"domain", domain}, {"as_of", now.as_of}});
    if (before.domains != now.domains)
        run_.metrics.gauge("domains_out_of_service",
                           static_cast<double>(now.domains.size()));
}

} // namespace celerylift::fleet
