#pragma once

#include <celerylift/base/event_log.hpp>
#include <celerylift/base/metrics.hpp>
#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/http_server.hpp>

namespace celerylift::net {

/// Serves the pages common to all processes: /healthz, /metrics and /timeline.
/// Called on the HTTP server's threads; reads the event log on the control
/// thread.
served_response serve_common_page(const served_request& request,
                                  control_loop& loop,
                                  const base::metrics& metrics,
                                  const base::event_log& log);

} // namespace celerylift::net
