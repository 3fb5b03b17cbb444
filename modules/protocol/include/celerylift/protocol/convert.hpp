#pragma once

#include <celerylift/error.hpp>
#include <celerylift/kernel/types.hpp>

#include <wire.pb.h>

#include <optional>

namespace celerylift::protocol {

namespace api = celerylift::v1;

api::Error to_api(const error& e);
error from_api(const api::Error& e);

kernel::gang_shape from_api(const api::GangShape& shape);
kernel::organisation from_api(const api::Organisation& organisation);
kernel::job from_api(const api::JobSpec& spec);

/// Validates a request. The error names the invalid value and the allowed
/// range.
std::optional<error> check(const api::JobSpec& spec);
std::optional<error> check(const api::Organisation& organisation);
std::optional<error> check(const api::Settings& settings);

/// The settings of a cell that has no stored configuration.
api::Settings default_settings();

wire::ApiReply error_reply(std::uint64_t call, const error& e);

} // namespace celerylift::protocol
