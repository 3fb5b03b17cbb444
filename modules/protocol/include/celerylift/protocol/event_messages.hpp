#pragma once

#include <celerylift/base/event_log.hpp>

#include <wire.pb.h>

namespace celerylift::protocol {

v1::Event to_api(const base::event& e);
base::event from_api(const v1::Event& e);

/// Answers a query of another process for recent events.
wire::EventsReply answer_events_query(const base::event_log& log,
                                      const wire::EventsQuery& query);

} // namespace celerylift::protocol
