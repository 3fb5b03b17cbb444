#pragma once

#include <celerylift/fleet/front.hpp>
#include <celerylift/fleet/leadership.hpp>
#include <celerylift/fleet/mirror.hpp>
#include <celerylift/fleet/owner.hpp>
#include <celerylift/host/fleet_settings.hpp>
#include <celerylift/host/process_frame.hpp>
#include <celerylift/net/message_node.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace celerylift::host {

/// An entry of the fleet: serves callers, follows the store and, while it is
/// the owner, decides for all agents.
class fleet_entry {
public:
    explicit fleet_entry(const fleet_entry_settings& settings);

    /// Runs until the process is told to end.
    int run();

private:
    void take_change(const fleet::store_change& change);
    void take_config(const fleet::store_change& change);
    void read_config();
    void take_message(const std::string& from, std::string_view bytes);
    void send_welcome(const std::string& agent);
    void welcome_everyone();
    void follow_owner();
    void gain_cell();
    bool is_ready() const;
    void serve_callers(const net::served_request& request,
                       net::responder respond);
    void serve_readiness(const net::served_request& request,
                         const net::responder& respond);
    void stop();
    void end_when_idle();

    fleet_entry_settings settings_;
    process_frame frame_;
    fleet::EntryRecord self_;
    net::message_node links_;
    std::unique_ptr<fleet::store> store_;
    fleet::directory directory_;
    std::shared_ptr<const fleet::fleet_config> config_;
    fleet::leadership leadership_;
    fleet::owner owner_;
    fleet::front front_;
    fleet::mirror cell_mirror_;
    fleet::mirror config_mirror_;
    std::map<std::string, fleet::EntryRecord> entries_;
    fleet::EntryRecord owner_record_;
    std::int64_t owner_revision_ = 0;
    std::int64_t gained_epoch_ = 0; // Not active before the mirror is there.
    std::set<std::string> agents_;
    std::unique_ptr<net::http_front> callers_;
    std::unique_ptr<net::http_front> readiness_;
    bool stopping_ = false;
    time_point end_at_{};
};

} // namespace celerylift::host
