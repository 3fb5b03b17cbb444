#pragma once

#include <celerylift/fleet/peer_links.hpp>
#include <celerylift/host/process_context.hpp>
#include <celerylift/net/message_node.hpp>

namespace celerylift::host {

/// Links to other entries, by the addresses that they publish.
fleet::peer_links make_peer_links(net::message_node& node);

/// Keeps the links of a process up, and reports those that were lost.
void maintain_links(process_context& context, net::message_node& node);

} // namespace celerylift::host
