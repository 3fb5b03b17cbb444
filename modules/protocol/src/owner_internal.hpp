// Declarations shared by the owner's source files; private to this folder.
#pragma once

#include <celerylift/protocol/owner.hpp>

#include <celerylift/protocol/job_state.hpp>
#include <celerylift/protocol/limits.hpp>
#include <celerylift/protocol/timing.hpp>

#include <string>

namespace celerylift::protocol {

// ---- Messages and events ----

/// Queues a message. The process that executes the outbox adds the sender and
/// the clock.
wire::Envelope& send(const owner_context& c, const std::string& to);
void reply(const owner_context& c, const caller& who, wire::ApiReply answer);
void reply_error(const owner_context& c, const caller& who, const error& e);
void note(const owner_context& c, std::string kind, std::string subject,
          std::string detail = {});
void change_phase(const owner_context& c, owner_phase phase);

// ---- Settings in force ----

duration gang_lease(const owner_state& owner);
duration heartbeat_period(const owner_state& owner);

// ---- The store ----

/// Queues a call to the store and returns its request id.
std::uint64_t call_store(const owner_context& c, store_request request);
void store_answered(const owner_context& c);
void store_failed(const owner_context& c);
bool store_is_down(const owner_state& owner);
duration next_backoff(duration pause);
void step_down(const owner_context& c, const std::string& why);

// ---- Pages of job records ----

int page_of(const owner_state& owner, const std::string& job);
std::string page_key(const owner_state& owner, int page);
void load_pages(const owner_context& c);
void fence_pages(const owner_context& c);
bool on_page_reply(const owner_context& c, const store_reply& reply);

/// Marks a job's record as changed.
void mark_changed(const owner_context& c, live_job& job);

/// Performs `step` once the current version of the record is in the store.
void when_durable(const owner_context& c, live_job& job, durable_step step);
void flush_pages(const owner_context& c);

/// While the store is down, admits repeatable jobs to memory only and reports
/// outcomes to callers before they are stored.
void proceed_without_store(const owner_context& c);

// ---- Jobs ----

const std::string& id_of(const live_job& job);
bool is_terminal(const live_job& job);
bool is_repeatable(const live_job& job);
void set_state(const owner_context& c, live_job& job, api::JobState state,
               const std::string& reason);
void admit_job(const owner_context& c, live_job& job, bool durable);
void finish_job(const owner_context& c, live_job& job, api::JobState state,
                const std::string& answer, const std::optional<error>& why);
void announce_outcome(const owner_context& c, live_job& job);
void requeue_job(const owner_context& c, live_job& job, duration pause,
                 const std::string& why);
void tick_jobs(const owner_context& c);
void cancel_job(const owner_context& c, live_job& job, const error& why);
api::JobStatus status_of(const owner_state& owner, const live_job& job);

// ---- Gangs ----

void run_schedule(const owner_context& c);
void begin_start(const owner_context& c, gang_run& run);
void begin_release(const owner_context& c, gang_run& run, release_reason reason,
                   duration grace = duration{0});
void check_progress(const owner_context& c, gang_run& run);

/// Whether no member can still be running.
bool all_ended(const gang_run& run);

/// Frees the accelerators of a gang whose members have all ended, and finishes
/// or requeues its job.
void finish_release(const owner_context& c, kernel::gang_id id);
void on_agent_lost(const owner_context& c, const std::string& agent,
                   const std::string& why);
void on_member_report(const owner_context& c, const std::string& agent,
                      const wire::MemberReport& member, bool refused,
                      const std::string& detail);
void on_run_report(const owner_context& c, const std::string& agent,
                   const wire::RunReport& run);
void tick_gangs(const owner_context& c);
bool is_renewable(const gang_run& run);

// ---- Agents and takeover ----

void tick_agents(const owner_context& c);

/// Applies an agent's report on itself, its worker and its backend servers.
void apply_heartbeat(const owner_context& c, agent_view& view,
                     const wire::Heartbeat& heartbeat);
void announce_epoch(const owner_context& c);
void tick_collecting(const owner_context& c);
void resolve_job(const owner_context& c, live_job& job);
void tick_unresolved(const owner_context& c);

/// Frees the accelerators that are held for a job with an unresolved outcome.
void drop_holds(const owner_context& c, const std::string& job);
void apply_draining(const owner_context& c);

// ---- Configuration ----

std::string configuration_key(const owner_state& owner);
void load_configuration(const owner_context& c);
void queue_configuration(const owner_context& c, const caller& who,
                         const wire::ApiCall& call);
bool on_configuration_reply(const owner_context& c, const store_reply& reply);
void tick_configuration(const owner_context& c);
void apply_settings(const owner_context& c);

// ---- Time lines and explanations ----

void start_query(const owner_context& c, const caller& who,
                 const std::string& subject, bool explain, int limit);
void tick_queries(const owner_context& c);
api::Explanation explain_job(const owner_state& owner, const live_job& job,
                             std::int64_t wall_ms);

} // namespace celerylift::protocol
