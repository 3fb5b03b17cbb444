#pragma once

#include <celerylift/base/event_log.hpp>
#include <celerylift/kernel/cell_state.hpp>
#include <celerylift/protocol/convert.hpp>
#include <celerylift/protocol/outbox.hpp>

#include <wire.pb.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace celerylift::protocol {

/// Phases through which an entry becomes the owner of a cell and later gives up
/// ownership.
enum class owner_phase {
    loading,
    sealing,
    collecting,
    active,
    leaving,
    deposed
};

const char* name_of(owner_phase phase);

/// The recipient of a reply: an entry and the id that it assigned to the call.
struct caller {
    std::string entry;
    std::uint64_t call = 0;

    auto operator<=>(const caller&) const = default;
};

/// A caller that waits for the end of a job.
struct waiter {
    caller who;
    time_point deadline{};
};

/// The action to perform once a job's record is in the store.
enum class durable_step { admit, start, announce };

/// A step that waits until `version` of its page is in the store.
struct pending_step {
    std::uint64_t version = 0;
    std::string job;
    durable_step step = durable_step::admit;
    kernel::gang_id gang = 0; // Set for `start` only.
};

/// One page of job records in the store. Changes that arrive during a write are
/// batched into the next write.
struct page_state {
    std::int64_t revision = 0;
    std::uint64_t version = 0; // Incremented by each change.
    std::uint64_t durable_version = 0;
    std::uint64_t writing_version = 0; // 0: no write in flight.
    std::uint64_t request = 0;
    std::string write_id;
    bool reading_back = false;
    bool fenced = false;
    duration pause{0};
    time_point retry_at{};
    time_point oldest_change{};
    std::set<std::string> jobs;
    std::size_t bytes = 0;
    std::vector<pending_step> steps;
};

/// The stored record of a job, and the owner's volatile state of the job.
struct live_job {
    wire::JobRecord record;
    int page = 0;
    kernel::gang_id gang = 0; // 0: none.
    std::vector<waiter> waiters;
    std::vector<caller> submitters; // Wait for admission.
    bool durable = false;           // The store has the current state.
    run_state ran = run_state::not_run;
    std::set<int> failed_on; // Workers.
    time_point accepted{};
    time_point finished{};
    time_point retry_at{}; // Earliest time to enqueue.
    bool delayed = false;  // Waits until retry_at.
};

/// `intent`: the intent to start is being written to the store.
enum class gang_phase { reserving, intent, starting, running, releasing };

/// The part of a gang that runs on one worker.
struct gang_member {
    std::string agent;
    std::uint64_t incarnation = 0; // The agent's, at placement.
    int worker = -1;
    int accelerators = 0;
    wire::MemberState state = wire::MEMBER_UNSPECIFIED;
    bool ever_started = false;
    bool ended = false; // Cannot be running any more.
    time_point last_sent{};
    time_point lease_expires_by{}; // Latest end of its lease.
};

/// Why a gang is released. The reason decides whether its job is finished,
/// queued again or failed.
enum class release_reason {
    finished,
    not_reserved,
    member_failed,
    member_lost,
    reclaimed,
    request_failed,
    cancelled,
};

/// A gang from its reservation to the end of its release.
struct gang_run {
    kernel::gang_id id = 0;
    std::string job;
    gang_phase phase = gang_phase::reserving;
    std::vector<gang_member> members;
    time_point phase_since{};
    release_reason reason = release_reason::finished;
    duration grace{0};
    std::string backend_agent;
    std::string backend;
    std::uint64_t backend_incarnation = 0;
    bool run_sent = false;
    time_point run_last_sent{};
};

/// Evidence of message loss on the link to an agent.
struct link_evidence {
    std::int64_t wall_ms = 0;
    std::uint64_t missing = 0; // Heartbeats sent, not received.
};

/// What the owner knows about an agent.
struct agent_view {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t accepted_epoch = 0;
    time_point last_heartbeat_at{};
    bool unresponsive = false;
    bool leaving = false;
    std::int64_t configuration_revision = 0;
    std::string worker;
    bool worker_healthy = false;
    std::set<std::string> backends;
    std::uint64_t gaps = 0;
    std::deque<link_evidence> evidence;
};

/// A configuration change that is queued or being written.
struct configuration_change {
    caller who;
    wire::ApiCall call;
};

/// The configuration in force, and the change that is being written.
struct configuration_state {
    wire::CellConfiguration current;
    std::int64_t revision = 0; // Store revision of the key.
    std::optional<wire::CellConfiguration> writing;
    std::optional<configuration_change> change;
    std::deque<configuration_change> queue;
    std::uint64_t request = 0;
    bool reading_back = false;
    bool loaded = false;
    duration pause{0};
    time_point retry_at{};
};

/// A query for events that waits for replies from other processes.
struct events_query {
    caller who;
    std::string subject;
    bool explain = false;
    int limit = 0;
    std::set<std::string> waiting_for;
    std::vector<base::event> events;
    time_point deadline{};
};

/// State of an owner. The store holds the durable part; agents report the rest
/// to each new owner.
struct owner_state {
    std::string self;
    std::string cell_name;
    std::vector<std::string> peers;
    std::int64_t epoch = 0;
    owner_phase phase = owner_phase::loading;
    time_point phase_since{};
    time_point claimed{};
    std::int64_t takeover_ms = 0;

    kernel::cell_state cell;
    configuration_state configuration;
    std::vector<page_state> pages;
    std::unordered_map<std::string, live_job> jobs;
    std::unordered_map<kernel::gang_id, gang_run> gangs;
    std::map<std::string, agent_view> agents;
    std::unordered_map<std::string, std::string> worker_agent;
    std::map<std::string, wire::Heartbeat> reports; // Used while collecting.
    bool agents_complete = false; // Listed by the previous owner.
    std::deque<std::pair<caller, wire::ApiCall>> early_calls;
    std::multimap<time_point, std::string> deadlines;
    std::map<std::uint64_t, events_query> queries;
    std::set<std::string> unresolved; // Intents not yet accounted for.
    std::map<std::string, std::vector<kernel::share>> unresolved_holds;
    std::set<std::string> delayed_jobs;
    std::set<std::string> with_waiters;
    std::deque<std::pair<time_point, std::string>> finished;
    int volatile_jobs = 0;
    std::optional<time_point> store_down_since;
    std::uint64_t store_calls = 0;
    std::uint64_t next_request = 1;
    std::uint64_t next_write = 1;
};

/// Context of one step: the owner's state, the event log, the requested actions
/// and the time.
struct owner_context {
    owner_state& owner;
    base::event_log& log;
    outbox& out;
    time_point now;
    std::int64_t wall_ms;
};

/// Starts to load the cell, after the entry has acquired the owner key.
void begin_ownership(const owner_context& c, std::int64_t epoch);

/// Continues under a new epoch, after the owner's lease expired and no other
/// entry acquired the owner key.
void resume_ownership(const owner_context& c, std::int64_t epoch);

/// Reports whether the store replied to the entry, so that an owner without
/// store calls of its own detects an outage too.
void on_store_contact(const owner_context& c, bool answered);

/// Stops accepting work and writes pending changes, before the owner key is
/// released.
void begin_leaving(const owner_context& c);

/// Whether all changes are in the store.
bool is_flushed(const owner_state& owner);

void on_call(const owner_context& c, const caller& who,
             const wire::ApiCall& call);
void on_heartbeat(const owner_context& c, const std::string& agent,
                  const wire::Heartbeat& heartbeat);
void on_member_update(const owner_context& c, const std::string& agent,
                      const wire::MemberUpdate& update);
void on_run_update(const owner_context& c, const std::string& agent,
                   const wire::RunUpdate& update);
void on_events_reply(const owner_context& c, const std::string& from,
                     const wire::EventsReply& reply);

/// Takes over a job that an earlier owner held in memory only.
void on_handover_state(const owner_context& c, const std::string& from,
                       const wire::Bequest& bequest);

/// Handles a reply from the store. Returns false if the owner did not make the
/// call.
bool on_store_reply(const owner_context& c, const store_reply& reply);
void on_tick(const owner_context& c);

} // namespace celerylift::protocol
