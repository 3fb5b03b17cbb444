#pragma once

#include "fakes/fake_backend.hpp"
#include "fakes/fake_store.hpp"
#include "fakes/fake_worker.hpp"

#include <celerylift/protocol/agent.hpp>
#include <celerylift/protocol/entry.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celerylift::fakes {

/// The fault that the fake store shows to all processes.
enum class store_fault { none, down, slow, loses_replies };

/// The delivery of one message between processes: the number of copies that
/// arrive, and their delay beyond the usual one.
struct delivery {
    int copies = 1;
    duration extra{0};
};
using link_rule =
    std::function<delivery(const std::string& from, const std::string& to,
                           const wire::Envelope& envelope)>;

struct cell_size {
    int entries = 3;
    int agents = 6;
    int accelerators = 8;
    int slots = 8;
};

/// A cell of entries and agents in one process and in virtual time. The
/// protocol and the scheduling decisions are the real ones; the store, the
/// workers and the backend servers are fakes. Each agent `agent-N` serves
/// `worker-N` and the backend server `runner-N`.
class virtual_cell {
public:
    explicit virtual_cell(cell_size size = {});

    // ---- Time ----

    time_point now() const { return now_; }
    void run_for(duration time);

    /// Runs until `condition` holds. Returns false if `limit` passes first.
    bool run_until(const std::function<bool()>& condition,
                   duration limit = duration{60'000});

    // ---- Callers ----

    std::uint64_t call(const std::string& entry, wire::ApiCall call,
                       duration limit = duration{30'000});

    /// The first reply to the call, if any has arrived.
    std::optional<wire::ApiReply> reply_to(std::uint64_t call) const;
    int replies_to(std::uint64_t call) const;

    /// Sends a request and waits for the reply.
    wire::ApiReply ask(const std::string& entry, wire::ApiCall request);

    // ---- Faults ----

    void kill(const std::string& process);
    void restart(const std::string& process);
    void pause(const std::string& process);
    void resume(const std::string& process);
    void leave(const std::string& process);
    void set_store_fault(store_fault fault);
    void set_link_rule(link_rule rule) { rule_ = std::move(rule); }

    /// Drops every message from one process to another.
    void cut(const std::string& from, const std::string& to);
    void heal();

    /// Disconnects one entry from the store, or reconnects it.
    void cut_store(const std::string& entry, bool is_cut);
    void set_worker_reachable(const std::string& agent, bool reachable);
    void set_backend_leaving(const std::string& agent);
    void expire_leases();

    /// Replaces a host by one without state: its tasks end, and its agent
    /// restarts.
    void replace_host(const std::string& agent);

    /// Calls `what` after `time`, independently of all processes.
    void after(duration time, std::function<void()> what);

    /// Calls `see` with each event when it is recorded.
    void observe(std::function<void(const base::event&)> see) {
        observer_ = std::move(see);
    }

    // ---- Observation ----

    bool is_up(const std::string& process) const;
    bool is_paused(const std::string& process) const;
    std::string owner() const; // Active owner; empty if none.
    const protocol::owner_state* owner_state() const;
    const protocol::entry_state& entry(const std::string& name) const;
    const protocol::agent_state& agent(const std::string& name) const;
    fake_worker& worker(const std::string& agent);
    const fake_store& store() const { return store_; }

    /// The number of executions of the job over all backend servers.
    int executions(const std::string& job) const;
    const std::map<std::string, fake_backend>& backends() const {
        return backends_;
    }
    std::vector<std::string> entries() const;
    std::vector<std::string> agents() const;

    /// The events of all processes in causal order, including those of earlier
    /// incarnations.
    std::vector<base::event> time_line() const;

private:
    struct process {
        bool up = true;
        bool paused = false;
        bool exited = false;
        std::uint64_t incarnation = 1;
        std::vector<std::function<void()>> backlog;
        std::unique_ptr<protocol::entry_state> entry;
        std::unique_ptr<protocol::agent_state> agent;
        base::event_log log; // Used by agents only.
        std::int64_t watched = 0;
        std::uint64_t published_events = 0;
    };

    void at(time_point when, std::function<void()> what);
    void to_process(const std::string& name, std::uint64_t incarnation,
                    std::function<void()> what);
    void start_entry(const std::string& name);
    void start_agent(const std::string& name);
    void tick(const std::string& name, std::uint64_t incarnation);
    void exit_if_idle(const std::string& name);
    void perform(const std::string& name, protocol::outbox out);
    void publish_events(const std::string& name);
    void send(const std::string& from, protocol::message message);
    void deliver(const std::string& to, const wire::Envelope& envelope);
    void call_store(const std::string& name,
                    const protocol::store_request& request);
    void reply_store(const std::string& name, std::uint64_t incarnation,
                     const protocol::store_reply& reply, duration after);
    void watch(const std::string& name, std::uint64_t incarnation);
    void call_worker(const std::string& name,
                     const protocol::worker_request& request);
    void call_backend(const std::string& name,
                      const protocol::backend_request& request);
    void announce(const std::string& name, std::uint64_t incarnation);
    void record_replies(const std::vector<wire::ApiReply>& replies);
    std::int64_t wall_ms() const;

    template <class Step>
    void in_entry(const std::string& name, Step step);
    template <class Step>
    void in_agent(const std::string& name, Step step);

    cell_size size_;
    time_point now_{};
    std::uint64_t order_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        queue_;
    std::map<std::string, process> processes_;
    std::map<std::string, fake_worker> workers_;
    std::map<std::string, fake_backend> backends_;
    std::set<std::string> unreachable_workers_;
    std::set<std::string> leaving_backends_;
    std::set<std::pair<std::string, std::string>> cut_;
    std::set<std::string> cut_from_store_;
    fake_store store_;
    store_fault store_fault_ = store_fault::none;
    link_rule rule_;
    std::function<void(const base::event&)> observer_;
    std::map<std::uint64_t, std::vector<wire::ApiReply>> replies_;
    std::vector<base::event> past_events_;
};

} // namespace celerylift::fakes
