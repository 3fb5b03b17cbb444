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

/// The steps by which an entry becomes the owner of a cell and ceases to be.
enum class owner_phase {
    loading,
    sealing,
    collecting,
    active,
    leaving,
    deposed
};

const char* name_of(owner_phase phase);

/// Who is to get a reply: an entry, and the number it gave the call.
struct caller {
    std::string entry;
    std::uint64_t call = 0;

    auto operator<=>(const caller&) const = default;
};

struct waiter {
    caller who;
    time_point deadline{};
};

/// What is to be done once a job's record is in the store.
enum class durable_step { admit, start, announce };

struct pending_step {
    std::uint64_t version = 0;
    std::string job;
    durable_step step = durable_step::admit;
    kernel::gang_id gang = 0; // Of a start.
};

/// One page of job records in the store. Changes that arrive during a write
/// share the next one.
struct page_state {
    std::int64_t revision = 0;
    std::uint64_t version = 0; // Raised by each change.
    std::uint64_t durable_version = 0;
    std::uint64_t writing_version = 0; // 0: no write is on its way.
    std::uint64_t request = 0;
    std::string write_id;
    bool reading_back = false;
    bool sealed = false;
    duration pause{0};
    time_point retry_at{};
    time_point oldest_change{};
    std::set<std::string> jobs;
    std::size_t bytes = 0;
    std::vector<pending_step> steps;
};

struct live_job {
    wire::JobRecord record;
    int page = 0;
    kernel::gang_id gang = 0; // 0: none.
    std::vector<waiter> waiters;
    std::vector<caller> submitters; // Wait for the admission.
    bool durable = false; // Whether the store holds the present state.
    run_state ran = run_state::not_run;
    std::set<int> failed_on; // Workers.
    time_point accepted{};
    time_point finished{};
    time_point retry_at{}; // Not queued before.
    bool parked = false;   // Waits for retry_at.
};

enum class gang_phase { reserving, intent, starting, running, releasing };

struct gang_member {
    std::string agent;
    std::uint64_t incarnation = 0; // Of the agent, at placement.
    int worker = -1;
    int accelerators = 0;
    wire::MemberState state = wire::MEMBER_UNSPECIFIED;
    bool ever_started = false;
    bool gone = false; // Can't be running any more.
    time_point last_sent{};
    time_point silent_bound{}; // When its lease has surely lapsed.
};

/// Why a gang is being released, which decides what becomes of its job.
enum class release_reason {
    finished,
    not_reserved,
    member_failed,
    member_lost,
    reclaimed,
    request_failed,
    cancelled,
};

/// A gang on its way through reservation, start and release.
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

/// Evidence about the link to an agent.
struct link_evidence {
    std::int64_t wall_ms = 0;
    std::uint64_t missing = 0; // Heartbeats sent but never received.
};

struct agent_view {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t promised = 0;
    time_point heard{};
    bool silent = false;
    bool leaving = false;
    std::int64_t configuration_revision = 0;
    std::string worker;
    bool worker_healthy = false;
    std::set<std::string> backends;
    std::uint64_t gaps = 0;
    std::deque<link_evidence> evidence;
};

/// A change of configuration that waits for its turn to be written.
struct configuration_change {
    caller who;
    wire::ApiCall call;
};

struct configuration_state {
    wire::CellConfiguration current;
    std::int64_t revision = 0; // The store's, of the key.
    std::optional<wire::CellConfiguration> writing;
    std::optional<configuration_change> change;
    std::deque<configuration_change> queue;
    std::uint64_t request = 0;
    bool reading_back = false;
    bool loaded = false;
    duration pause{0};
    time_point retry_at{};
};

/// A question about events that is out with the other processes.
struct events_query {
    caller who;
    std::string subject;
    bool explain = false;
    int limit = 0;
    std::set<std::string> waiting_for;
    std::vector<base::event> events;
    time_point deadline{};
};

/// Everything an owner knows. What lasts is in the store; the rest is told
/// by agents to each new owner.
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
    std::map<std::string, wire::Heartbeat> reports; // While collecting.
    bool agents_complete = false; // Named by the owner that left.
    std::deque<std::pair<caller, wire::ApiCall>> early_calls;
    std::multimap<time_point, std::string> deadlines;
    std::map<std::uint64_t, events_query> queries;
    std::set<std::string> unresolved; // Intents without a report so far.
    std::map<std::string, std::vector<kernel::share>> unresolved_holds;
    std::set<std::string> parked;
    std::set<std::string> with_waiters;
    std::deque<std::pair<time_point, std::string>> finished;
    int volatile_jobs = 0;
    std::optional<time_point> store_down_since;
    std::uint64_t store_calls = 0;
    std::uint64_t next_request = 1;
    std::uint64_t next_write = 1;
};

/// One step of an owner: its state, where to record events and what to do.
struct owner_context {
    owner_state& owner;
    base::event_log& log;
    outbox& out;
    time_point now;
    std::int64_t wall_ms;
};

/// Makes an entry that has just won the owner key start to load the cell.
void begin_ownership(const owner_context& c, std::int64_t epoch);

/// Keeps an owner that lost its lease, but to nobody else, at work under a
/// new epoch.
void resume_ownership(const owner_context& c, std::int64_t epoch);

/// Tells the owner whether the store has answered its entry, so that an idle
/// owner notices an outage too.
void on_store_contact(const owner_context& c, bool answered);

/// Stops new work and writes what is pending, before the key is given up.
void begin_leaving(const owner_context& c);

/// Whether nothing is left to be written.
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

/// Takes over a job that an earlier owner had not on record.
void on_bequest(const owner_context& c, const std::string& from,
                const wire::Bequest& bequest);

/// Takes a reply from the store. Returns false where it isn't the owner's.
bool on_store_reply(const owner_context& c, const store_reply& reply);
void on_tick(const owner_context& c);

} // namespace celerylift::protocol
