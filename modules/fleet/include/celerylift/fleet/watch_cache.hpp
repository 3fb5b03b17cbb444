#pragma once

#include <celerylift/fleet/growing_timeout.hpp>
#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/store.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// Follows all keys with one prefix: reads them once, then watches for changes
/// and reports each one. If the store has compacted the history in between, it
/// reads the keys again.
class watch_cache {
public:
    using listener = std::function<void(const store_change&)>;

    /// `on_progress` is called whenever all changes up to as_of() have been
    /// reported. Changes within `batch_interval` are fetched with one call.
    watch_cache(runtime& run, store& source, std::string prefix,
                duration batch_interval, listener on_change,
                std::function<void()> on_progress = {});

    /// Starts to follow the keys, until the cache is destroyed.
    void start();

    /// Applies an item that was read or written outside the watch.
    void observe(const store_item& item);

    /// Fetches the changes so far without waiting for more, in addition to the
    /// watch.
    void catch_up();

    /// Whether all keys have been read once.
    bool is_loaded() const { return loaded_; }

    /// All changes up to this revision have been reported.
    std::int64_t as_of() const { return as_of_; }

    /// When the store last answered.
    time_point last_answer() const { return last_answer_; }

    /// All changes up to this time have been reported: when the last call was
    /// sent that the store has answered.
    time_point confirmed_at() const { return confirmed_at_; }

private:
    void read_page();
    void handle_page(const range_reply& page);
    void finish_reading();
    void wait_for_changes();
    void handle_changes(const watch_reply& reply, time_point sent_at);
    void apply_changes(const watch_reply& reply, time_point sent_at);
    /// Gives the next call of its kind more time if one has timed out.
    void grow_if_timed_out(growing_timeout& timeout, const char* call,
                           time_point sent_at, store_status status);
    void retry(void (watch_cache::*step)());
    void apply(const store_change& change);

    runtime& run_;
    store& store_;
    std::string prefix_;
    duration batch_interval_;
    listener on_change_;
    std::function<void()> on_progress_;
    std::map<std::string, std::int64_t> revisions_;
    std::int64_t as_of_ = 0;
    std::int64_t read_as_of_ = 0;
    std::string last_read_key_;
    std::map<std::string, std::int64_t> keys_read_;
    growing_timeout read_timeout_;
    growing_timeout watch_timeout_;
    growing_timeout catch_up_timeout_;
    bool loaded_ = false;
    bool catching_up_ = false;
    bool reachable_ = true;
    time_point last_answer_{};
    time_point read_sent_at_{}; // Of the first page.
    time_point confirmed_at_{};
};

} // namespace celerylift::fleet
