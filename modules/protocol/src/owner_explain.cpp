// Answers queries about the past: the time line over all processes and the
// explanation of one job.
#include "owner_internal.hpp"

#include <celerylift/protocol/event_messages.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

constexpr duration query_timeout{400};
constexpr int default_events = 1000;
constexpr int max_events = 10'000;

void send_events_query(const owner_context& c, std::uint64_t id,
                       events_query& query, const std::string& process) {
    auto& message = *send(c, process).mutable_events_query();
    message.set_id(id);
    message.set_subject(query.subject);
    message.set_limit(query.limit);
    query.waiting_for.insert(process);
}

void sort_by_clock(std::vector<base::event>& events) {
    std::stable_sort(events.begin(), events.end(),
                     [](const base::event& a, const base::event& b) {
                         return std::tie(a.clock, a.process) <
                                std::tie(b.clock, b.process);
                     });
}

void answer_time_line(const owner_context& c, const events_query& query) {
    wire::ApiReply answer;
    auto* line = answer.mutable_time_line();
    const auto skip =
        query.events.size() > static_cast<std::size_t>(query.limit)
            ? query.events.size() - query.limit
            : 0;
    for (std::size_t i = skip; i < query.events.size(); ++i)
        *line->add_events() = to_api(query.events[i]);
    for (const auto& process : query.waiting_for)
        line->add_silent_processes(process);
    reply(c, query.who, std::move(answer));
}

void answer_explanation(const owner_context& c, const events_query& query) {
    auto it = c.owner.jobs.find(query.subject);
    if (it == c.owner.jobs.end())
        return;
    wire::ApiReply answer;
    *answer.mutable_explanation() = explain_job(c.owner, it->second, c.wall_ms);
    for (const auto& e : query.events)
        *answer.mutable_explanation()->add_events() = to_api(e);
    reply(c, query.who, std::move(answer));
}

void answer_query(const owner_context& c, events_query query) {
    sort_by_clock(query.events);
    if (query.explain)
        answer_explanation(c, query);
    else
        answer_time_line(c, query);
}

} // namespace

void start_query(const owner_context& c, const caller& who,
                 const std::string& subject, bool explain, int limit) {
    const auto id = c.owner.next_request++;
    events_query query;
    query.who = who;
    query.subject = subject;
    query.explain = explain;
    query.limit = limit <= 0 ? default_events : std::min(limit, max_events);
    query.deadline = c.now + query_timeout;
    query.events = base::recent(c.log, subject, query.limit);
    for (const auto& [name, view] : c.owner.agents) {
        if (!view.unresponsive)
            send_events_query(c, id, query, name);
        else
            query.waiting_for.insert(name);
    }
    for (const auto& peer : c.owner.peers)
        send_events_query(c, id, query, peer);
    c.owner.queries.emplace(id, std::move(query));
}

void on_events_reply(const owner_context& c, const std::string& from,
                     const wire::EventsReply& reply) {
    auto it = c.owner.queries.find(reply.id());
    if (it == c.owner.queries.end() || it->second.waiting_for.erase(from) == 0)
        return;
    for (const auto& e : reply.events())
        it->second.events.push_back(from_api(e));
    if (!it->second.waiting_for.empty())
        return;
    auto query = std::move(it->second);
    c.owner.queries.erase(it);
    answer_query(c, std::move(query));
}

void tick_queries(const owner_context& c) {
    std::vector<std::uint64_t> late;
    for (const auto& [id, query] : c.owner.queries) {
        if (query.deadline <= c.now)
            late.push_back(id);
    }
    for (auto id : late) {
        auto query = std::move(c.owner.queries.at(id));
        c.owner.queries.erase(id);
        answer_query(c, std::move(query));
    }
}

namespace {

/// Heartbeats that the job's agents sent during the job and that never arrived.
/// They are the only proof that a link lost messages.
struct lost_heartbeats {
    std::uint64_t missing = 0;
    std::string agents;
};

std::vector<std::string> agents_of(const owner_state& owner,
                                   const live_job& job) {
    std::vector<std::string> agents;
    for (const auto& m : job.record.status().members()) {
        auto it = owner.worker_agent.find(m.worker());
        if (it != owner.worker_agent.end())
            agents.push_back(it->second);
    }
    auto it = owner.cell.backends.backends.find(job.record.status().backend());
    if (it != owner.cell.backends.backends.end())
        agents.push_back(it->second.spec.agent);
    return agents;
}

lost_heartbeats sum_lost_heartbeats(const owner_state& owner,
                                    const live_job& job) {
    lost_heartbeats account;
    for (const auto& name : agents_of(owner, job)) {
        auto view = owner.agents.find(name);
        if (view == owner.agents.end())
            continue;
        std::uint64_t missing = 0;
        for (const auto& e : view->second.evidence)
            missing +=
                e.wall_ms >= job.record.accepted_wall_ms() ? e.missing : 0;
        if (missing == 0)
            continue;
        account.missing += missing;
        account.agents += (account.agents.empty() ? "" : ", ") + name;
    }
    return account;
}

std::string phase_name(api::JobState state) {
    auto name = api::JobState_Name(state);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char ch) { return std::tolower(ch); });
    return name;
}

std::vector<api::Phase> phases_of(const live_job& job, std::int64_t wall_ms) {
    std::vector<api::Phase> phases;
    const auto& history = job.record.history();
    for (int i = 0; i < history.size(); ++i) {
        if (is_ended(history[i].state()))
            break;
        const auto end =
            i + 1 < history.size() ? history[i + 1].wall_ms() : wall_ms;
        api::Phase phase;
        phase.set_name(phase_name(history[i].state()));
        phase.set_duration_ms(end - history[i].wall_ms());
        phases.push_back(std::move(phase));
    }
    return phases;
}

/// The cause of a long phase if no link lost messages.
std::string verdict_of(const std::string& phase, const std::string& waits_for,
                       bool has_service) {
    if (phase == "accepted")
        return "store";
    if (phase == "queued")
        return waits_for.starts_with("guarantee") ? "guarantee"
               : waits_for.starts_with("backend") ? "backend server"
                                                  : "queue";
    if (phase == "reserving" || phase == "starting")
        return "worker";
    return has_service ? "backend server" : "worker";
}

bool has_lost_worker(const live_job& job) {
    return std::any_of(job.record.history().begin(), job.record.history().end(),
                       [](const auto& step) {
                           return step.reason() ==
                                  "starts again after a failure";
                       });
}

} // namespace

api::Explanation explain_job(const owner_state& owner, const live_job& job,
                             std::int64_t wall_ms) {
    api::Explanation out;
    out.set_id(id_of(job));
    *out.mutable_status() = status_of(owner, job);
    const auto phases = phases_of(job, wall_ms);
    const api::Phase* longest = nullptr;
    for (const auto& phase : phases) {
        *out.add_phases() = phase;
        if (!longest || phase.duration_ms() > longest->duration_ms())
            longest = &phase;
    }
    const auto links = sum_lost_heartbeats(owner, job);
    out.set_network_cleared(links.missing == 0);
    if (links.missing > 0) {
        out.set_verdict("network");
        out.set_evidence(fmt::format("{} heartbeats that {} sent during the "
                                     "job never arrived",
                                     links.missing, links.agents));
        return out;
    }
    if (!longest)
        return out;
    const bool lost = has_lost_worker(job);
    out.set_verdict(lost ? "worker"
                         : verdict_of(longest->name(),
                                      out.status().waiting_for(),
                                      !job.record.spec().service().empty()));
    out.set_evidence(fmt::format(
        "longest in state {}: {} ms{}; no heartbeat of its agents was lost, "
        "so the network is cleared",
        longest->name(), longest->duration_ms(),
        lost ? "; a worker was lost or failed its task" : ""));
    return out;
}

} // namespace celerylift::protocol
