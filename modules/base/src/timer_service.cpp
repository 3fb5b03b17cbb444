#include <celerylift/base/timer_service.hpp>

namespace celerylift::base {

timer_service::subscription timer_service::add(time_point at, duration period,
                                               callback call) {
    const auto it = due_.emplace(at, entry{++last_, period, std::move(call)});
    const auto id = last_;
    if (it == due_.begin() && sooner_)
        sooner_(at);
    return id;
}

timer_service::subscription
timer_service::every(time_point now, duration period, callback call) {
    return add(now + period, period, std::move(call));
}

timer_service::subscription timer_service::once(time_point at, callback call) {
    return add(at, duration{0}, std::move(call));
}

void timer_service::on_sooner(std::function<void(time_point)> sooner) {
    sooner_ = std::move(sooner);
}

void timer_service::cancel(subscription id) {
    std::erase_if(due_, [&](const auto& d) { return d.second.id == id; });
}

void timer_service::advance(time_point now) {
    while (!due_.empty() && due_.begin()->first <= now) {
        auto node = due_.extract(due_.begin());
        auto& e = node.mapped();
        const auto call = e.call;
        if (e.period.count() > 0) {
            // A process that was paused makes up for one period, not for all.
            node.key() = now + e.period;
            due_.insert(std::move(node));
        }
        call(now);
    }
}

std::optional<time_point> timer_service::next() const {
    if (due_.empty())
        return std::nullopt;
    return due_.begin()->first;
}

} // namespace celerylift::base
