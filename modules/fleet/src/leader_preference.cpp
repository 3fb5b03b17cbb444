#include <celerylift/fleet/leader_preference.hpp>

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// The messages of a link of 100 Mbit/s keep half a core busy.
constexpr std::int64_t millicores_per_mbps = 5;

/// Longer than a claim takes at the store, so that the next entry claims only
/// if the one before it cannot.
constexpr duration delay_per_rank{150};
constexpr duration max_claim_delay{1500};

/// A handover pauses all decisions for a moment. It is done only if the leader
/// capacity grows by more than half.
constexpr std::int64_t handover_threshold_percent = 150;

} // namespace

std::int64_t leader_capacity(const EntryRecord& entry) {
    return std::min(entry.millicores(),
                    entry.link_mbps() * millicores_per_mbps);
}

int claim_rank(const entry_records& entries, const EntryRecord& self) {
    const auto own_capacity = leader_capacity(self);
    return static_cast<int>(std::ranges::count_if(entries, [&](const auto& e) {
        const auto capacity = leader_capacity(e.second);
        return e.first != self.name() &&
               (capacity > own_capacity ||
                (capacity == own_capacity && e.first < self.name()));
    }));
}

duration claim_delay(const entry_records& entries, const EntryRecord& self) {
    return std::min(delay_per_rank * claim_rank(entries, self),
                    max_claim_delay);
}

bool should_hand_over(const entry_records& entries, const EntryRecord& self) {
    return std::ranges::any_of(entries, [&](const auto& e) {
        return leader_capacity(e.second) * 100 >
               leader_capacity(self) * handover_threshold_percent;
    });
}

} // namespace celerylift::fleet
