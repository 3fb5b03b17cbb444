#include <celerylift/fleet/watch_cache.hpp>

#include <utility>

namespace celerylift::fleet {

namespace {

constexpr duration read_timeout{1000};
/// A watch that has gone silent is given up after this time; short, because
/// nothing else shows that its connection is dead.
constexpr duration watch_wait{1500};
constexpr duration watch_timeout{2200};
/// A call that is to return at once; the interface takes no shorter wait.
constexpr duration no_wait{1};
/// Between two tries at a store that refuses or doesn't answer.
constexpr duration retry_pause{150};

} // namespace

mirror::mirror(runtime& run, store& from, std::string prefix,
               duration gathering, listener changed,
               std::function<void()> progressed)
    : run_(run), store_(from), prefix_(std::move(prefix)),
      gathering_(gathering), changed_(std::move(changed)),
      progressed_(std::move(progressed)) {}

void mirror::start() {
    reading_as_of_ = 0;
    read_up_to_.clear();
    read_now_.clear();
    read_page();
}

void mirror::retry(void (mirror::*step)()) {
    if (reachable_) {
        reachable_ = false;
        run_.journal.event("store_lost",
                           {{"prefix", prefix_}, {"as_of", as_of_}});
    }
    run_.timers.once(run_.now() + retry_pause,
                     [this, step](time_point) { (this->*step)(); });
}

void mirror::read_page() {
    store_.range(prefix_, read_up_to_, read_timeout,
                 [this](const range_reply& page) { take_page(page); });
}

void mirror::take_page(const range_reply& page) {
    if (page.status != store_status::ok)
        return retry(&mirror::read_page);
    last_answer_ = run_.now();
    if (reading_as_of_ == 0)
        reading_as_of_ = page.as_of;
    for (const auto& item : page.items) {
        read_now_[item.key] = item.revision;
        read_up_to_ = item.key;
        apply({item, false});
    }
    if (page.has_more && !page.items.empty())
        return read_page();
    finish_reading();
}

void mirror::finish_reading() {
    // What was known and is no longer there has been removed meanwhile.
    std::vector<std::string> gone;
    for (const auto& [key, revision] : revisions_)
        if (!read_now_.contains(key) && revision <= reading_as_of_)
            gone.push_back(key);
    for (const auto& key : gone)
        apply({{key, "", reading_as_of_}, true});
    read_now_.clear();
    as_of_ = std::max(as_of_, reading_as_of_);
    loaded_ = true;
    run_.journal.event(
        "store_read",
        {{"prefix", prefix_}, {"as_of", as_of_}, {"keys", revisions_.size()}});
    reachable_ = true;
    if (progressed_)
        progressed_();
    wait_for_changes();
}

void mirror::wait_for_changes() {
    store_.watch(prefix_, as_of_, watch_wait, watch_timeout,
                 [this](const watch_reply& reply) { take_changes(reply); });
}

void mirror::take_changes(const watch_reply& reply) {
    if (reply.status == store_status::compacted) {
        run_.journal.event("store_history_dropped",
                           {{"prefix", prefix_}, {"as_of", as_of_}});
        return start();
    }
    if (reply.status != store_status::ok)
        return retry(&mirror::wait_for_changes);
    last_answer_ = run_.now();
    if (!reachable_)
        run_.journal.event("store_regained",
                           {{"prefix", prefix_}, {"as_of", reply.as_of}});
    reachable_ = true;
    take_changes_up_to_now(reply);
    if (reply.changes.empty() || gathering_ == duration{0})
        return wait_for_changes();
    run_.timers.once(run_.now() + gathering_,
                     [this](time_point) { wait_for_changes(); });
}

void mirror::take_changes_up_to_now(const watch_reply& reply) {
    for (const auto& change : reply.changes)
        apply(change);
    as_of_ = std::max(as_of_, reply.as_of);
    if (progressed_)
        progressed_();
}

void mirror::catch_up() {
    if (!loaded_ || std::exchange(catching_up_, true))
        return;
    store_.watch(prefix_, as_of_, no_wait, read_timeout,
                 [this](const watch_reply& reply) {
                     catching_up_ = false;
                     if (reply.status == store_status::ok)
                         take_changes_up_to_now(reply);
                 });
}

void mirror::observe(const store_item& item) {
    apply({item, false});
}

void mirror::apply(const store_change& change) {
    const auto& item = change.item;
    auto it = revisions_.find(item.key);
    if (it != revisions_.end() && it->second >= item.revision)
        return;
    if (change.removed) {
        if (it == revisions_.end())
            return;
        revisions_.erase(it);
    } else {
        revisions_[item.key] = item.revision;
    }
    changed_(change);
}

} // namespace celerylift::fleet
