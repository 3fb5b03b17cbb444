#include <celerylift/fleet/watch_cache.hpp>

#include <utility>

namespace celerylift::fleet {

namespace {

constexpr duration min_read_timeout{1000};
constexpr duration max_read_timeout{16'000};
/// The times are short because nothing else shows that the connection of a
/// watch is dead.
constexpr duration max_watch_wait{1500};
constexpr duration min_watch_timeout{2200};
/// Replies can be lost for other reasons than a narrow link. What is followed
/// must not get older for that than this.
constexpr duration max_watch_timeout{4400};
/// For a watch that should return at once; the interface accepts no less.
constexpr duration min_watch_wait{1};
/// Between two calls to a store that refuses or does not answer.
constexpr duration retry_period{150};

} // namespace

watch_cache::watch_cache(runtime& run, store& source, std::string prefix,
                         duration batch_interval, listener on_change,
                         std::function<void()> on_progress)
    : run_(run), store_(source), prefix_(std::move(prefix)),
      batch_interval_(batch_interval), on_change_(std::move(on_change)),
      on_progress_(std::move(on_progress)),
      read_timeout_(min_read_timeout, max_read_timeout),
      watch_timeout_(min_watch_timeout, max_watch_timeout),
      catch_up_timeout_(min_read_timeout, max_watch_timeout) {}

void watch_cache::start() {
    read_as_of_ = 0;
    last_read_key_.clear();
    keys_read_.clear();
    read_page();
}

void watch_cache::retry(void (watch_cache::*step)()) {
    if (reachable_) {
        reachable_ = false;
        run_.journal.event("store_lost",
                           {{"prefix", prefix_}, {"as_of", as_of_}});
    }
    run_.timers.once(run_.now() + retry_period,
                     [this, step](time_point) { (this->*step)(); });
}

void watch_cache::grow_if_timed_out(growing_timeout& timeout, const char* call,
                                    time_point sent_at, store_status status) {
    if (status != store_status::unknown ||
        run_.now() < sent_at + timeout.value())
        return;
    run_.journal.event("store_read_timed_out",
                       {{"prefix", prefix_},
                        {"call", call},
                        {"as_of", as_of_},
                        {"timeout_ms", timeout.value().count()}});
    run_.metrics.count("store_reads_timed_out_total");
    timeout.grow();
}

void watch_cache::read_page() {
    if (read_as_of_ == 0)
        read_sent_at_ = run_.now();
    store_.range(prefix_, last_read_key_, read_timeout_.value(),
                 [this, sent_at = run_.now()](const range_reply& page) {
                     grow_if_timed_out(read_timeout_, "page", sent_at,
                                       page.status);
                     handle_page(page);
                 });
}

void watch_cache::handle_page(const range_reply& page) {
    if (page.status != store_status::ok)
        return retry(&watch_cache::read_page);
    last_answer_ = run_.now();
    if (read_as_of_ == 0)
        read_as_of_ = page.as_of;
    for (const auto& item : page.items) {
        keys_read_[item.key] = item.revision;
        last_read_key_ = item.key;
        apply({item, false});
    }
    if (page.has_more && !page.items.empty())
        return read_page();
    finish_reading();
}

void watch_cache::finish_reading() {
    // Known keys that the store no longer has were removed in the meantime.
    std::vector<std::string> removed_keys;
    for (const auto& [key, revision] : revisions_)
        if (!keys_read_.contains(key) && revision <= read_as_of_)
            removed_keys.push_back(key);
    for (const auto& key : removed_keys)
        apply({{key, "", read_as_of_}, true});
    keys_read_.clear();
    read_timeout_.reset();
    as_of_ = std::max(as_of_, read_as_of_);
    confirmed_at_ = std::max(confirmed_at_, read_sent_at_);
    loaded_ = true;
    run_.journal.event(
        "store_read",
        {{"prefix", prefix_}, {"as_of", as_of_}, {"keys", revisions_.size()}});
    reachable_ = true;
    if (on_progress_)
        on_progress_();
    wait_for_changes();
}

void watch_cache::wait_for_changes() {
    store_.watch(prefix_, as_of_, max_watch_wait, watch_timeout_.value(),
                 [this, sent_at = run_.now()](const watch_reply& reply) {
                     grow_if_timed_out(watch_timeout_, "watch", sent_at,
                                       reply.status);
                     handle_changes(reply, sent_at);
                 });
}

void watch_cache::handle_changes(const watch_reply& reply, time_point sent_at) {
    if (reply.status == store_status::compacted) {
        run_.journal.event("store_history_dropped",
                           {{"prefix", prefix_}, {"as_of", as_of_}});
        return start();
    }
    if (reply.status != store_status::ok)
        return retry(&watch_cache::wait_for_changes);
    watch_timeout_.shrink();
    last_answer_ = run_.now();
    if (!reachable_)
        run_.journal.event("store_regained",
                           {{"prefix", prefix_}, {"as_of", reply.as_of}});
    reachable_ = true;
    apply_changes(reply, sent_at);
    if (reply.changes.empty() || batch_interval_ == duration{0})
        return wait_for_changes();
    run_.timers.once(run_.now() + batch_interval_,
                     [this](time_point) { wait_for_changes(); });
}

void watch_cache::apply_changes(const watch_reply& reply, time_point sent_at) {
    for (const auto& change : reply.changes)
        apply(change);
    as_of_ = std::max(as_of_, reply.as_of);
    confirmed_at_ = std::max(confirmed_at_, sent_at);
    if (on_progress_)
        on_progress_();
}

void watch_cache::catch_up() {
    if (!loaded_ || std::exchange(catching_up_, true))
        return;
    store_.watch(prefix_, as_of_, min_watch_wait, catch_up_timeout_.value(),
                 [this, sent_at = run_.now()](const watch_reply& reply) {
                     catching_up_ = false;
                     grow_if_timed_out(catch_up_timeout_, "catch_up", sent_at,
                                       reply.status);
                     if (reply.status != store_status::ok)
                         return;
                     catch_up_timeout_.shrink();
                     apply_changes(reply, sent_at);
                 });
}

void watch_cache::observe(const store_item& item) {
    apply({item, false});
}

void watch_cache::apply(const store_change& change) {
    const auto& item = change.item;
    auto known = revisions_.find(item.key);
    if (known != revisions_.end() && known->second >= item.revision)
        return;
    if (change.removed) {
        if (known == revisions_.end())
            return;
        revisions_.erase(known);
    } else {
        revisions_[item.key] = item.revision;
    }
    on_change_(change);
}

} // namespace celerylift::fleet
