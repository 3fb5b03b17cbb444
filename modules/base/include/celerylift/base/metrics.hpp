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
    /// Adds to a counter; its name ends in `_total`.
    void count(const std::string& name, std::uint64_t by = 1);

    /// Sets a value that goes up and down.
    void gauge(const std::string& name, double value);

    /// Records one observation, in the unit that the name ends in.
    void observe(const std::string& name, double value);

    /// What a counter has come to.
    std::uint64_t counter(const std::string& name) const;

    /// All values in the text format that metric collectors read.
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
