#include <celerylift/net/event_json.hpp>

#include <nlohmann/json.hpp>

namespace celerylift::net {

std::string to_json(const std::deque<base::event>& events) {
    auto list = nlohmann::json::array();
    for (const auto& e : events)
        list.push_back({{"process", e.process},
                        {"clock", e.clock},
                        {"wall_ms", e.wall_ms},
                        {"kind", e.kind},
                        {"subject", e.subject},
                        {"detail", e.detail}});
    return list.dump(1) + "\n";
}

} // namespace celerylift::net
