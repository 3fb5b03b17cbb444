#pragma once

#include "simulation.hpp"
#include "virtual_server.hpp"
#include "virtual_store.hpp"

#include <celerylift/fleet/agent_node.hpp>
#include <celerylift/fleet/entry_node.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celerylift::test {

/// A fleet in virtual time: the entries and agents of the product, with fakes
/// of the store and of the backend servers.
class virtual_fleet {
public:
    struct fleet_size {
        int entries;
        int servers;
        int servers_per_rack;
        /// Racks are spread over so many failure domains.
        int failure_domains = 1;
        bool follows_evacuations = true;
    };

    virtual_fleet() : virtual_fleet(fleet_size{3, 6, 3}) {}
    explicit virtual_fleet(fleet_size size);
    ~virtual_fleet();

    simulation sim;
    virtual_store store{sim};
    run_history history;
    /// Links close a connection instead of delivering a longer message.
    static constexpr std::size_t max_message_bytes = 8UL * 1024 * 1024;
    std::size_t longest_message = 0; // Of those between entries and agents.
    /// By entry, for entries that are started from now on. Entries that are not
    /// listed have a capacity of 0.
    std::map<int, std::int64_t> millicores;

    /// Kills a process without a graceful shutdown.
    void kill_entry(int number);
    void kill_agent(int number);
    void start_entry(int number);
    void start_agent(int number);
    /// Suspends a process for a time, as a suspended host does.
    void pause_entry(int number, duration time);
    void pause_agent(int number, duration time);
    /// Shuts an entry down gracefully.
    void stop_entry(int number);

    /// Cuts or restores the link between an entry and an agent.
    void set_link(int entry, int agent, bool up);

    /// Delays the messages of an entry to an agent.
    void set_link_delay(int entry, int agent, duration delay);

    /// Takes a failure domain out of service, as operators do.
    void take_out_of_service(const std::string& domain);
    void return_to_service(const std::string& domain);
    std::string failure_domain_of(int server) const;

    int owner_entry() const; // 0 if no entry is the owner.
    bool is_settled() const; // An owner has a report from every agent.

    bool has_entry(int number) const { return entries_.contains(number); }
    bool has_agent(int number) const { return agents_.contains(number); }

    virtual_server& server(int number) { return *servers_.at(number); }
    fleet::entry_node& entry(int number) { return *entries_.at(number)->node; }
    fleet::agent& agent(int number) {
        return agents_.at(number)->node->state();
    }

    /// Submits a job to an entry and waits for the answer.
    fleet::answer submit(const fleet::Submission& job, int entry = 1,
                         const std::string& key = "kwela-key",
                         const std::string& path = "/normal/");
    /// Submits a job and does not wait for the answer.
    void submit_async(const fleet::Submission& job, int entry,
                      const std::string& key, const std::string& path);
    /// Submits again, to any running entry, each job that no entry knows.
    void resubmit_unknown();
    /// The state of a job at any entry. A final state takes precedence.
    std::optional<fleet::JobState>
    state_at_any_entry(const std::string& id) const;
    fleet::answer show(const std::string& id, int entry = 1,
                       const std::string& key = "kwela-key");
    fleet::answer cancel(const std::string& id, int entry = 1,
                         const std::string& key = "kwela-key");
    /// Asks for the number of waiting jobs of a queue.
    fleet::answer count(const std::string& path, int entry = 1,
                        const std::string& key = "kwela-key");

    /// Runs until an entry shows a state of a job or a limit has passed.
    /// Returns whether the entry shows it.
    bool wait_for_state(const std::string& id, fleet::JobState state,
                        duration limit = duration{30'000}, int entry = 1);

    /// Writes a configuration with the queues urgent and normal, and the
    /// organisations kwela with 16 guaranteed accelerators and cwm-sump with 8.
    void configure(int version);
    /// Writes the same configuration without the key of cwm-sump.
    void configure_without_cwm_key(int version);
    /// Writes the same configuration without the queue normal.
    void configure_without_normal_queue(int version);
    /// Writes a configuration of a test's own.
    void configure(const fleet::fleet_config& config);
    /// What configure(version) writes.
    static fleet::fleet_config default_config(int version);

private:
    struct entry_process {
        std::unique_ptr<virtual_process> process;
        std::unique_ptr<fleet::store> client;
        std::unique_ptr<fleet::entry_node> node;
    };
    struct agent_process {
        std::unique_ptr<virtual_process> process;
        std::unique_ptr<fleet::backend_server> client;
        std::unique_ptr<fleet::agent_node> node;
        std::map<std::string, time_point> connected; // Usable since.
    };

    std::weak_ptr<int> entry_liveness(int number) const;
    void record_submission(const fleet::Submission& job);
    void send_heartbeat(int agent);
    void send_to_entry(int agent, const std::string& address,
                       const fleet::FleetEnvelope& envelope);
    void send_between_entries(int from, const std::string& address,
                              const fleet::FleetEnvelope& envelope);
    void send_to_agent(int entry, const std::string& agent,
                       const fleet::FleetEnvelope& envelope);
    /// Whether a link delivers a message of this length.
    bool can_deliver(const fleet::FleetEnvelope& envelope);
    bool is_link_up(int entry, int agent) const {
        return !cut_links_.contains({entry, agent});
    }
    fleet::answer wait_for_answer(std::optional<fleet::answer>& answer);
    fleet::caller make_caller(const std::string& id, const std::string& key,
                              const std::string& path) const;

    fleet_size size_;
    int last_incarnation_ = 0;
    std::map<int, std::unique_ptr<virtual_server>> servers_;
    std::map<int, std::unique_ptr<entry_process>> entries_;
    std::map<int, std::unique_ptr<agent_process>> agents_;
    std::set<std::pair<int, int>> cut_links_;
    std::map<std::pair<int, int>, duration> link_delays_;
    struct submission {
        fleet::Submission job;
        std::string key;
        std::string path;
    };
    std::map<std::string, submission> submissions_;
    std::map<std::string, fleet::fleet_config> own_configs_; // By text.
};

/// Creates a job of one step.
fleet::Submission make_job(const std::string& id, const std::string& payload,
                           int count, fleet::resources each);

/// Creates a job of one gang that has to be placed on one rack.
fleet::Submission make_gang(const std::string& id, const std::string& payload,
                            int count, fleet::resources each);

} // namespace celerylift::test
