#include <celerylift/fleet/fair_share.hpp>

#include <algorithm>
#include <limits>

namespace celerylift::fleet {

namespace {

double share(std::int64_t part, std::int64_t total) {
    return total > 0 ? static_cast<double>(part) / static_cast<double>(total)
                     : 0.0;
}

} // namespace

double dominant_share(const resources& in_use, const resources& total) {
    return std::max({share(in_use.millicores, total.millicores),
                     share(in_use.memory_mb, total.memory_mb),
                     share(in_use.accelerators, total.accelerators)});
}

double equal_share(std::size_t organisations) {
    return organisations == 0 ? 1.0 : 1.0 / static_cast<double>(organisations);
}

bool is_below_equal_share(const resources& in_use, const resources& total,
                          std::size_t organisations) {
    return dominant_share(in_use, total) < equal_share(organisations);
}

unit_rank rank_of(const unit_standing& unit) {
    unit_rank rank;
    rank.outside_guarantee = unit.urgent && !unit.within_guarantee;
    rank.can_be_overtaken = unit.waited <= overtaking_window;
    if (!rank.can_be_overtaken)
        return rank;
    rank.above_equal_share = !unit.below_equal_share;
    rank.slack_ms = unit.slack < duration{0}
                        ? std::numeric_limits<std::int64_t>::max()
                        : unit.slack.count();
    return rank;
}

} // namespace celerylift::fleet
