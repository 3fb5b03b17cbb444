#pragma once

#include "virtual_server.hpp"
#include "virtual_store.hpp"

#include <celerylift/net/async_http_server.hpp>
#include <celerylift/net/http_client.hpp>

namespace celerylift::test {

/// Answers a request of the store's published interface from a stand-in.
void serve_store(fleet::store& store, const net::served_request& request,
                 const net::responder& respond);

/// Answers a request of a backend server's published interface from a stand-in.
void serve_server(virtual_server& server, fleet::backend_server& calls,
                  const net::served_request& request,
                  const net::responder& respond);

/// Sends the heartbeat of a backend server to its agent, in the format of the
/// published interface.
void send_heartbeat(virtual_server& server, net::http_client& client,
                    const base::address& agent);

} // namespace celerylift::test
