#pragma once

#include <celerylift/fleet/store.hpp>
#include <celerylift/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace celerylift::fleet {

/// Addresses operators who take failure domains out of service: no task may
/// start there soon after the request, also across takeovers, cut links and an
/// unresponsive store.

/// The failure domains out of service, as of a revision of the store. 0:
/// nothing is known yet.
struct domain_evacuations {
    std::int64_t as_of = 0;
    std::set<std::string, std::less<>> domains;

    bool operator==(const domain_evacuations&) const = default;
};

/// The state with the higher revision. Two states of one revision can differ
/// only where a watch has missed a change; a domain that either has out of
/// service then is.
domain_evacuations newest_of(const domain_evacuations& left,
                             const domain_evacuations& right);

bool is_out_of_service(const domain_evacuations& state,
                       std::string_view domain);

/// The part of a state that concerns one domain.
domain_evacuations restricted_to(const domain_evacuations& state,
                                 std::string_view domain);

/// The domain that a key with this prefix names, or nothing if it can name
/// none: names of failure domains are 1 to 63 of a-z, 0-9 and -.
std::optional<std::string> parse_evacuation_key(std::string_view key,
                                                std::string_view prefix);

/// What is known of the keys with the prefix of the requests, from complete
/// reads and from the changes that a watch reports. A watch may miss a change
/// or report it late, so the reads decide up to their revision.
struct evacuation_keys {
    struct state {
        std::int64_t revision = 0;
        bool removed = false;

        bool operator==(const state&) const = default;
    };
    std::int64_t read_as_of = 0; // Of the latest complete read.
    std::map<std::string, state> keys;

    bool operator==(const evacuation_keys&) const = default;
};

evacuation_keys with_change(evacuation_keys known, const store_change& change);
evacuation_keys with_read(evacuation_keys known,
                          const std::vector<store_item>& items,
                          std::int64_t as_of);

/// The domains that the keys name. Keys that name none are ignored.
domain_evacuations evacuations_of(const evacuation_keys& known,
                                  std::string_view prefix, std::int64_t as_of);

/// What a process knows of the requests.
struct evacuation_view {
    bool is_followed = false; // Whether there can be requests at all.
    domain_evacuations state;
    /// The state was the store's at this time or later.
    time_point confirmed_at{};

    bool operator==(const evacuation_view&) const = default;
};

/// An owner with an older view places nothing. Agents hear of a request within
/// a second, so this leaves half of the usual bound of 5 s to starts that are
/// under way.
inline constexpr duration max_evacuation_view_age{2000};

/// Whether an owner of this epoch may place work: its view has all requests
/// that former owners can have known, and is not too old.
bool is_fresh(const evacuation_view& view, std::int64_t epoch, time_point now);

} // namespace celerylift::fleet
