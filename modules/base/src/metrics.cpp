#include <celerylift/base/metrics.hpp>

#include <fmt/format.h>

namespace celerylift::base {

namespace ba = boost::accumulators;

namespace {
constexpr double reported_quantile = 0.99;
}

void metrics::count(const std::string& name, std::uint64_t by) {
    const std::lock_guard lock(mutex_);
    counters_[name] += by;
}

std::uint64_t metrics::counter(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto it = counters_.find(name);
    return it == counters_.end() ? 0 : it->second;
}

void metrics::gauge(const std::string& name, double value) {
    const std::lock_guard lock(mutex_);
    gauges_[name] = value;
}

metrics::timing& metrics::timing_named(const std::string& name) {
    auto it = timings_.find(name);
    if (it == timings_.end())
        it = timings_
                 .emplace(name,
                          timing(ba::quantile_probability = reported_quantile))
                 .first;
    return it->second;
}

void metrics::observe(const std::string& name, double value) {
    const std::lock_guard lock(mutex_);
    timing_named(name)(value);
}

std::string metrics::text() const {
    const std::lock_guard lock(mutex_);
    std::string out;
    for (const auto& [name, value] : counters_)
        out += fmt::format("celerylift_{} {}\n", name, value);
    for (const auto& [name, value] : gauges_)
        out += fmt::format("celerylift_{} {}\n", name, value);
    for (const auto& [name, t] : timings_) {
        out += fmt::format("celerylift_{}_count {}\n", name, ba::count(t));
        out += fmt::format("celerylift_{}_mean {}\n", name, ba::mean(t));
        out += fmt::format("celerylift_{}_max {}\n", name, ba::max(t));
        out += fmt::format("celerylift_{}{{quantile=\"0.99\"}} {}\n", name,
                           ba::p_square_quantile(t));
    }
    return out;
}

} // namespace celerylift::base
