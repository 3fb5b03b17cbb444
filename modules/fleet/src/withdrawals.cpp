#include <celerylift/fleet/withdrawals.hpp>

#include <algorithm>
#include <chrono>

namespace celerylift::fleet {

namespace {

constexpr std::string_view mark = "withdrawn\n";
constexpr char separator = '\n';

void refill(withdrawal_bucket& bucket, const withdrawal_rate& rate,
            time_point now) {
    const std::chrono::duration<double> passed = now - bucket.filled_at;
    bucket.tokens =
        std::min(rate.burst, bucket.tokens + passed.count() * rate.per_second);
    bucket.filled_at = now;
}

/// Forgets the organisations whose buckets are full again.
void forget_idle_organisations(withdrawals& state, time_point now) {
    for (auto& [organisation, bucket] : state.by_organisation)
        refill(bucket, organisation_withdrawal_rate, now);
    std::erase_if(state.by_organisation, [](const auto& entry) {
        return entry.second.tokens >= organisation_withdrawal_rate.burst;
    });
}

} // namespace

std::string to_value(const withdrawal& withdrawn) {
    std::string value(mark);
    for (const auto& organisation : withdrawn.organisations) {
        value += organisation;
        value += separator;
    }
    return value;
}

bool is_withdrawal(std::string_view value) {
    return value.starts_with(mark);
}

withdrawal parse_withdrawal(std::string_view value) {
    withdrawal withdrawn;
    if (!is_withdrawal(value))
        return withdrawn;
    value.remove_prefix(mark.size());
    while (!value.empty()) {
        const auto end = std::min(value.find(separator), value.size());
        withdrawn.organisations.emplace(value.substr(0, end));
        value.remove_prefix(std::min(end + 1, value.size()));
    }
    return withdrawn;
}

bool take_withdrawal(withdrawals& state, const std::string& organisation,
                     time_point now) {
    forget_idle_organisations(state, now);
    const auto [it, added] = state.by_organisation.try_emplace(
        organisation,
        withdrawal_bucket{organisation_withdrawal_rate.burst, now});
    auto& own = it->second;
    refill(state.all, entry_withdrawal_rate, now);
    if (own.tokens < 1 || state.all.tokens < 1)
        return false;
    --own.tokens;
    --state.all.tokens;
    return true;
}

} // namespace celerylift::fleet
