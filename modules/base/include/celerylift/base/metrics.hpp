#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace celerylift::base {

/// Counters and timings of one process. Safe to use from several threads.
class metrics {
public:
    /// Adds to a counter. Names of counters end in `_total`.
    void count(const std::string& name, std::uint64_t by = 1);

    /// Sets a value that can rise and fall.
    void gauge(const std::string& name, double value);

    /// Records one observation. The suffix of the name is its unit.
    void observe(const std::string& name, double value);

    /// The current value of a counter, 0 if it was never incremented.
    std::uint64_t counter(const std::string& name) const;

    /// All values in the Prometheus text format.
    std::string text() const;

private:
    using timing = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::max,
            boost::accumulators::tag::p_square_quantile>>;

    timing& timing_named(const std::string& name);

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, timing> timings_;
};

} // namespace celerylift::base
