#include <celerylift/host/peer_links.hpp>

#include <charconv>
#include <optional>

namespace celerylift::host {

namespace {

std::optional<base::address> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    if (std::from_chars(text.data() + colon + 1, end, port).ptr != end)
        return std::nullopt;
    return base::address{text.substr(0, colon), port};
}

} // namespace

fleet::peer_links make_peer_links(net::message_node& node) {
    return {[&node](const std::string& address) {
                if (const auto at = parse_address(address))
                    node.connect(address, *at);
            },
            [&node](const std::string& address) { node.disconnect(address); },
            [&node](const std::string& address,
                    const fleet::FleetEnvelope& envelope) {
                node.send(address, envelope);
            }};
}

} // namespace celerylift::host
