#pragma once

#include <celerylift/fleet/peer_links.hpp>
#include <celerylift/net/message_node.hpp>

namespace celerylift::host {

/// Links to other entries, by the addresses that they publish.
fleet::peer_links make_peer_links(net::message_node& node);

} // namespace celerylift::host
