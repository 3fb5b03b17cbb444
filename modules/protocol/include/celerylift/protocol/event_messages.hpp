#pragma once

#include <celerylift/base/event_log.hpp>

#include <wire.pb.h>

namespace celerylift::protocol {

v1::Event to_api(const base::event& e);
base::event from_api(const v1::Event& e);

/// The recent events that another process has asked for.
wire::EventsReply answer_events_query(const base::event_log& log,
                                      const wire::EventsQuery& query);

} // namespace celerylift::protocol
