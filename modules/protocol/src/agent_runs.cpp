// Requests to the agent's backend servers. Each attempt is sent to a backend
// server at most once. Its outcome is kept until the owner has stored it.
#include "agent_internal.hpp"

#include <celerylift/mutant.hpp>
#include <celerylift/protocol/limits.hpp>

namespace celerylift::protocol {

namespace {

void tell(const agent_context& c, const std::string& to,
          const wire::RunReport& report) {
    if (to.empty())
        return;
    auto& update = *send(c, to).mutable_run_update();
    update.set_epoch(c.agent.epoch);
    update.set_incarnation(c.agent.incarnation);
    *update.mutable_run() = report;
}

wire::RunReport not_started(const wire::Run& run, const std::string& why) {
    wire::RunReport report;
    report.set_job(run.job());
    report.set_attempt(run.attempt());
    report.set_backend(run.backend());
    report.set_outcome(wire::RUN_NOT_STARTED);
    report.set_detail(why);
    return report;
}

/// Returns why the backend server cannot accept the request, or an empty
/// string if it can.
std::string refusal(const agent_state& agent, const std::string& id) {
    auto it = agent.backends.find(id);
    if (it == agent.backends.end())
        return "the backend server is not announced";
    if (it->second.leaving && !is_mutant("use-leaving-servers"))
        return "the backend server is leaving";
    return it->second.used >= it->second.slots ? "no slot is free" : "";
}

wire::RunOutcome outcome_of(backend_status status) {
    switch (status) {
    case backend_status::done:
        return wire::RUN_DONE;
    case backend_status::failed:
        return wire::RUN_FAILED;
    case backend_status::not_started:
        return wire::RUN_NOT_STARTED;
    case backend_status::lost:
        break;
    }
    return wire::RUN_LOST;
}

} // namespace

void on_run(const agent_context& c, const std::string& from,
            const wire::Run& run) {
    const std::pair key{run.job(), run.attempt()};
    if (auto it = c.agent.runs.find(key); it != c.agent.runs.end())
        return tell(c, from, it->second.report);
    const auto why = refusal(c.agent, run.backend());
    if (!why.empty())
        return tell(c, from, not_started(run, why));
    ++c.agent.backends.at(run.backend()).used;
    auto& kept = c.agent.runs[key];
    kept.report.set_job(run.job());
    kept.report.set_attempt(run.attempt());
    kept.report.set_backend(run.backend());
    kept.report.set_outcome(wire::RUN_PENDING);
    kept.request = c.agent.next_request++;
    c.out.backend.push_back(
        {kept.request, run.backend(), run.job(), run.attempt(), run.payload()});
    note(c, "request_sent", run.job(), run.backend());
    tell(c, from, kept.report);
}

void on_backend_reply(const agent_context& c, const backend_reply& reply) {
    for (auto& [key, run] : c.agent.runs) {
        if (run.request != reply.id)
            continue;
        run.request = 0;
        run.report.set_outcome(outcome_of(reply.status));
        const bool done = reply.status == backend_status::done;
        if (done && reply.answer.size() > max_answer_bytes) {
            run.report.set_outcome(wire::RUN_FAILED);
            run.report.set_detail("the answer is larger than 65536 bytes");
        } else if (done) {
            run.report.set_answer(reply.answer);
        } else {
            run.report.set_detail(reply.answer);
        }
        if (auto b = c.agent.backends.find(run.report.backend());
            b != c.agent.backends.end() && b->second.used > 0)
            --b->second.used;
        note(c, "request_" + wire::RunOutcome_Name(run.report.outcome()),
             key.first, run.report.backend());
        tell(c, c.agent.owner, run.report);
        return;
    }
}

void on_announcement(const agent_context& c, const announced_backend& backend) {
    auto& b = c.agent.backends[backend.id];
    const bool is_new = b.id.empty() || (b.leaving && !backend.leaving);
    const int used = b.used;
    b = backend;
    b.used = used;
    if (!is_new)
        return;
    note(c, "backend_announced", backend.id, backend.service);
    c.agent.next_heartbeat = c.now;
}

void on_backend_leaving(const agent_context& c, const std::string& id) {
    auto it = c.agent.backends.find(id);
    if (it == c.agent.backends.end() || it->second.leaving)
        return;
    it->second.leaving = true;
    note(c, "backend_leaving", id);
    c.agent.next_heartbeat = c.now;
}

void tick_backends(const agent_context& c) {
    std::erase_if(c.agent.backends, [&](const auto& entry) {
        const auto& b = entry.second;
        const bool ended = c.now >= b.announced_until && b.used == 0 &&
                           !is_mutant("use-leaving-servers");
        if (ended)
            note(c, "backend_ended", b.id);
        return ended;
    });
}

} // namespace celerylift::protocol
