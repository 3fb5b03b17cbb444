#include <celerylift/fleet/domain_evacuation.hpp>

#include <algorithm>
#include <utility>

namespace celerylift::fleet {

namespace {

/// The same limit as for the failure domain in the settings of an agent.
constexpr std::size_t max_domain_length = 63;

bool is_domain_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

} // namespace

domain_evacuations newest_of(const domain_evacuations& left,
                             const domain_evacuations& right) {
    if (left.as_of != right.as_of)
        return left.as_of > right.as_of ? left : right;
    auto both = left;
    both.domains.insert(right.domains.begin(), right.domains.end());
    return both;
}

bool is_out_of_service(const domain_evacuations& state,
                       std::string_view domain) {
    return state.domains.contains(domain);
}

domain_evacuations restricted_to(const domain_evacuations& state,
                                 std::string_view domain) {
    domain_evacuations part{state.as_of, {}};
    if (is_out_of_service(state, domain))
        part.domains.emplace(domain);
    return part;
}

std::optional<std::string> parse_evacuation_key(std::string_view key,
                                                std::string_view prefix) {
    if (!key.starts_with(prefix))
        return std::nullopt;
    const auto domain = key.substr(prefix.size());
    if (domain.empty() || domain.size() > max_domain_length ||
        !std::ranges::all_of(domain, is_domain_character))
        return std::nullopt;
    return std::string(domain);
}

evacuation_keys with_change(evacuation_keys known, const store_change& change) {
    const auto& item = change.item;
    auto& state = known.keys[item.key];
    if (item.revision > std::max(known.read_as_of, state.revision))
        state = {item.revision, change.removed};
    else if (state.revision == 0)
        known.keys.erase(item.key);
    return known;
}

evacuation_keys with_read(evacuation_keys known,
                          const std::vector<store_item>& items,
                          std::int64_t as_of) {
    if (as_of < known.read_as_of)
        return known;
    known.read_as_of = as_of;
    std::erase_if(known.keys, [as_of](const auto& entry) {
        return entry.second.revision <= as_of;
    });
    for (const auto& item : items) {
        auto& state = known.keys[item.key];
        if (item.revision > state.revision)
            state = {item.revision, false};
    }
    return known;
}

domain_evacuations evacuations_of(const evacuation_keys& known,
                                  std::string_view prefix, std::int64_t as_of) {
    domain_evacuations state{std::max(as_of, known.read_as_of), {}};
    for (const auto& [key, found] : known.keys)
        if (auto domain = parse_evacuation_key(key, prefix);
            domain && !found.removed)
            state.domains.insert(std::move(*domain));
    return state;
}

bool is_fresh(const evacuation_view& view, std::int64_t epoch, time_point now) {
    return !view.is_followed ||
           (view.state.as_of >= epoch &&
            now <= view.confirmed_at + max_evacuation_view_age);
}

} // namespace celerylift::fleet
