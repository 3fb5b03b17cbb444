#pragma once

#include <celerylift/fleet/domain_evacuation.hpp>
#include <celerylift/fleet/runtime.hpp>
#include <celerylift/fleet/watch_cache.hpp>

#include <functional>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// Follows the operators' requests to take failure domains out of service: with
/// a watch, and with periodic reads because a watch may be silent for seconds
/// before it is cut.
class evacuation_follower {
public:
    /// `on_update` is called whenever the view has changed or was confirmed.
    evacuation_follower(runtime& run, store& records, std::string prefix,
                        std::function<void()> on_update);

    void start();

    /// Reads the keys at once, unless such a read is under way.
    void read_now();

    const evacuation_view& view() const { return view_; }

private:
    /// A read of all keys, over several pages if need be.
    struct read {
        time_point sent_at{};
        std::int64_t as_of = 0; // Of its first page.
        std::vector<store_item> items;
    };

    void read_page(read partial, std::function<void()> done);
    void handle_change(const store_change& change);
    void update(evacuation_keys keys, time_point confirmed_at);
    void log_unreadable_keys(const evacuation_keys& keys) const;
    void log_changes(const domain_evacuations& before) const;

    runtime& run_;
    store& store_;
    std::string prefix_;
    std::function<void()> on_update_;
    evacuation_keys keys_;
    evacuation_view view_;
    watch_cache watch_;
    bool reading_now_ = false;
};

} // namespace celerylift::fleet
