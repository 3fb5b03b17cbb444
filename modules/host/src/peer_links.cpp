#include <celerylift/host/peer_links.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace celerylift::host {

namespace {

/// Lost links and superseded messages are reported at most this often.
constexpr duration report_period{1000};

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

void maintain_links(process_context& context, net::message_node& node) {
    node.use_timers(context.timers);
    context.timers.every(
        context.run.now(), report_period,
        [&context, &node, lost = std::uint64_t{0},
         superseded = std::uint64_t{0}](time_point) mutable {
            if (node.lost() == lost && node.superseded() == superseded)
                return;
            const auto newly_lost =
                node.lost() - std::exchange(lost, node.lost());
            const auto newly_superseded =
                node.superseded() -
                std::exchange(superseded, node.superseded());
            context.journal.event(
                "links_lost", {{"links", static_cast<std::int64_t>(newly_lost)},
                               {"superseded_messages",
                                static_cast<std::int64_t>(newly_superseded)}});
            context.metrics.count("links_lost_total", newly_lost);
            context.metrics.count("messages_superseded_total",
                                  newly_superseded);
        });
}

} // namespace celerylift::host
