#include <celerylift/fleet/store_outage.hpp>

#include <algorithm>
#include <cassert>

namespace celerylift::fleet {

write_decision decide_write(const store_outage& outage, time_point now,
                            time_point answer_by) {
    if (!outage.began_at)
        return write_decision::send;
    return now < answer_by ? write_decision::hold : write_decision::reject;
}

duration retry_after(const store_outage& outage, time_point now,
                     double spread) {
    assert(spread >= 0 && spread <= 1);
    const auto lasted = outage.began_at ? now - *outage.began_at : duration{0};
    const auto wait =
        std::clamp<duration>(lasted / 2, min_retry_after, max_retry_after);
    const duration jitter{static_cast<std::int64_t>(
        spread * static_cast<double>(wait.count()) / 2)};
    return std::min(wait + jitter, max_retry_after);
}

} // namespace celerylift::fleet
