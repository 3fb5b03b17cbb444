#include <celerylift/protocol/event_messages.hpp>

#include <algorithm>

namespace celerylift::protocol {

v1::Event to_api(const base::event& e) {
    v1::Event out;
    out.set_process(e.process);
    out.set_clock(e.clock);
    out.set_wall_ms(e.wall_ms);
    out.set_kind(e.kind);
    out.set_subject(e.subject);
    out.set_detail(e.detail);
    return out;
}

base::event from_api(const v1::Event& e) {
    return {e.process(), e.clock(),   e.wall_ms(),
            e.kind(),    e.subject(), e.detail()};
}

wire::EventsReply answer_events_query(const base::event_log& log,
                                      const wire::EventsQuery& query) {
    wire::EventsReply reply;
    reply.set_id(query.id());
    for (const auto& e :
         base::recent(log, query.subject(),
                      static_cast<std::size_t>(std::max(0, query.limit()))))
        *reply.add_events() = to_api(e);
    return reply;
}

} // namespace celerylift::protocol
