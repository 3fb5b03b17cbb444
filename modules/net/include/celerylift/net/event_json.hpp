#pragma once

#include <celerylift/base/event_log.hpp>

#include <deque>
#include <string>

namespace celerylift::net {

/// The events as a JSON list, oldest first.
std::string to_json(const std::deque<base::event>& events);

} // namespace celerylift::net
