#pragma once

#include <celerylift/fleet/accepted_limits.hpp>
#include <celerylift/fleet/config.hpp>
#include <celerylift/fleet/evacuation_follower.hpp>
#include <celerylift/fleet/growing_timeout.hpp>
#include <celerylift/fleet/job_api.hpp>
#include <celerylift/fleet/leader_preference.hpp>
#include <celerylift/fleet/leadership.hpp>
#include <celerylift/fleet/owner.hpp>
#include <celerylift/fleet/peer_links.hpp>
#include <celerylift/fleet/relayed_store.hpp>
#include <celerylift/fleet/watch_cache.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celerylift::fleet {

struct entry_node_settings {
    EntryRecord self;
    std::string config_key; // Key in the store; written by the operators.
    config_decoder decode_config;
    /// Addresses of entries that may exist. They relay store calls if the store
    /// is unreachable from the start.
    std::vector<std::string> seed_entries{};
    scheduling_policy policy{};
    /// What large submissions on record may take together, in bytes.
    std::size_t max_large_bytes = 10UL * 1024 * 1024;
    /// Prefix of the operators' requests to take failure domains out of
    /// service. Empty: there are none.
    std::string evacuation_prefix{};
    /// What all jobs on record may take together.
    accepted_limits limits = derive_accepted_limits(default_entry_memory_mb);
};

/// An owner that has not read all jobs within this time leaves the cell to an
/// entry that may have read them, before the runs lose their grants.
inline constexpr duration min_takeover_timeout{1500};
inline constexpr duration max_takeover_timeout{16'000};

/// An entry without its sockets: follows the store, serves callers through its
/// job API and, while it owns the cell, schedules for all agents.
class entry_node {
public:
    using sender =
        std::function<void(const std::string& agent, const FleetEnvelope&)>;

    entry_node(runtime& run, store& records, entry_node_settings settings,
               sender send, peer_links peers);

    void start();

    /// Releases the cell at once, and is no longer ready. Callers are still
    /// served; all are answered before `ends_at`.
    void stop(time_point ends_at);

    /// Handles a message of an agent or of another entry.
    void on_message(const std::string& from, const FleetEnvelope& envelope);

    /// Whether new callers should be sent here.
    bool is_ready() const;
    bool is_owner() const { return owner_.epoch != 0; }

    job_api& api() { return job_api_; }
    const job_index& jobs() const { return job_index_; }
    const owner& owner_state() const { return owner_; }

private:
    bool is_seed_entry(const std::string& address) const;
    void update_store_relays();
    void handle_cell_change(const store_change& change);
    void handle_job_change(const store_change& change);
    void handle_entry_change(const store_change& change);
    void handle_config_change(const store_change& change);
    void update_leadership();
    void try_activate();
    void abandon_late_takeover();
    std::optional<duration> own_claim_delay() const;
    void read_config();
    void handle_evacuations();
    void log_unknown_domains();
    void tick();
    void show_totals();
    void handle_load(const cell_load& load);
    void send_load(const cell_load& load);
    void notify_entries(const std::vector<store_item>& items);
    void handle_notice(const Notice& notice);
    void serve_store_call(const std::string& entry, const StoreCall& call);
    void send_welcome(const std::string& agent);
    void send_welcome_to_all();

    runtime& run_;
    relayed_store records_;
    entry_node_settings settings_;
    sender send_;
    peer_links peers_;
    job_index job_index_;
    std::shared_ptr<const fleet_config> config_;
    leadership leadership_;
    owner owner_;
    job_api job_api_;
    watch_cache cell_cache_;
    watch_cache job_cache_;
    watch_cache config_cache_;
    /// Nothing where such requests are not followed.
    std::optional<evacuation_follower> evacuations_;
    /// The domains out of service that the agents were last told.
    std::set<std::string, std::less<>> announced_domains_;
    /// Those that this entry has compared with the servers of the cell.
    std::set<std::string, std::less<>> compared_domains_;
    entry_records entries_;
    std::uint64_t entries_version_ = 0; // Equal for equal lists.
    time_point entries_changed_at_{};
    time_point last_handover_at_{duration{-1'000'000}};
    EntryRecord owner_record_;
    std::int64_t owner_revision_ = 0;
    std::int64_t gained_epoch_ = 0; // Active once the job cache reaches it.
    time_point gained_at_{};
    /// This entry could not take over and leaves the cell to others until then.
    time_point claims_again_at_{};
    growing_timeout takeover_timeout_{min_takeover_timeout,
                                      max_takeover_timeout};
    struct known_agent {
        time_point last_message_at{};
        std::uint64_t entries_version = 0;
    };
    std::map<std::string, known_agent> agents_;
    bool stopping_ = false;
};

} // namespace celerylift::fleet
