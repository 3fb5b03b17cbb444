#include <celerylift/base/timer_service.hpp>

namespace celerylift::base {

timer_service::subscription timer_service::add(time_point at, duration period,
                                               callback call) {
    const auto it =
        timers_.emplace(at, entry{++last_id_, period, std::move(call)});
    const auto id = last_id_;
    if (it == timers_.begin() && on_earlier_timer_)
        on_earlier_timer_(at);
    return id;
}

timer_service::subscription
timer_service::every(time_point now, duration period, callback call) {
    return add(now + period, period, std::move(call));
}

timer_service::subscription timer_service::once(time_point at, callback call) {
    return add(at, duration{0}, std::move(call));
}

void timer_service::on_earlier_timer(std::function<void(time_point)> notify) {
    on_earlier_timer_ = std::move(notify);
}

void timer_service::cancel(subscription id) {
    std::erase_if(timers_, [&](const auto& d) { return d.second.id == id; });
}

void timer_service::advance(time_point now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        auto node = timers_.extract(timers_.begin());
        auto& timer = node.mapped();
        const auto call = timer.call;
        if (timer.period.count() > 0) {
            // After a pause of the process the missed periods run once, not
            // once for each period.
            node.key() = now + timer.period;
            timers_.insert(std::move(node));
        }
        call(now);
    }
}

std::optional<time_point> timer_service::next() const {
    if (timers_.empty())
        return std::nullopt;
    return timers_.begin()->first;
}

} // namespace celerylift::base
