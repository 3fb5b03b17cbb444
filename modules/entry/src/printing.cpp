#include "printing.hpp"

#include "shape_text.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

namespace celerylift::entry {

void print_json(const google::protobuf::Message& message) {
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status =
        google::protobuf::util::MessageToJsonString(message, &text, options);
    fmt::print("{}\n", status.ok() ? text : "{}");
}

void print_text(const v1::Revision& reply) {
    fmt::print("revision {}\n", reply.revision());
}

void print_text(const v1::OrganisationList& reply) {
    fmt::print("{:<20} {:>8} {:>10} {:>8} {:>8} {:>7}  {}\n", "organisation",
               "revision", "guaranteed", "in use", "borrowed", "waiting",
               "guarantee");
    for (const auto& state : reply.organisations()) {
        std::string guarantee;
        for (const auto& block : state.organisation().guarantee())
            guarantee += to_text(block) + " ";
        if (state.blocks_without_home() > 0)
            guarantee += fmt::format("({} gangs without capacity)",
                                     state.blocks_without_home());
        fmt::print("{:<20} {:>8} {:>10} {:>8} {:>8} {:>7}  {}\n",
                   state.organisation().name(), state.revision(),
                   state.guaranteed_accelerators(), state.used_in_guarantee(),
                   state.borrowed(), state.jobs_waiting(), guarantee);
    }
}

void print_text(const v1::JobStatus& reply) {
    fmt::print("{} {}{}\n", reply.id(), v1::JobState_Name(reply.state()),
               reply.durable() ? "" : " (not yet on record in the store)");
    for (const auto& m : reply.members())
        fmt::print("  worker {} accelerators {}\n", m.worker(),
                   m.accelerators());
    if (!reply.backend().empty())
        fmt::print("  backend server {}\n", reply.backend());
    if (!reply.waiting_for().empty())
        fmt::print("  waits for {}\n", reply.waiting_for());
    if (!reply.answer().empty())
        fmt::print("  answer {}\n", reply.answer());
    if (reply.has_error())
        fmt::print("  {}: {}\n", v1::RunState_Name(reply.error().ran()),
                   reply.error().message());
}

void print_text(const v1::BackendList& reply) {
    fmt::print("{:<20} {:<16} {:<16} {:>5} {:>5}  {}\n", "backend server",
               "service", "agent", "slots", "used", "state");
    for (const auto& b : reply.backends())
        fmt::print("{:<20} {:<16} {:<16} {:>5} {:>5}  {}\n", b.id(),
                   b.service(), b.agent(), b.slots(), b.used(), b.state());
}

void print_text(const v1::WorkerList& reply) {
    fmt::print("{:<16} {:<12} {:<16} {:>12} {:>5} {:<12} {}\n", "worker",
               "rack", "failure domain", "accelerators", "used", "state",
               "configuration");
    for (const auto& w : reply.workers())
        fmt::print("{:<16} {:<12} {:<16} {:>12} {:>5} {:<12} {}\n", w.id(),
                   w.rack(), w.failure_domain(), w.accelerators(), w.used(),
                   w.state(), w.configuration_revision());
}

void print_text(const v1::Empty&) {
    fmt::print("done\n");
}

void print_text(const v1::Configuration& reply) {
    const auto& settings = reply.settings();
    fmt::print("revision {}\n", reply.revision());
    fmt::print("gang_lease_ms {}\nheartbeat_ms {}\ncheckpoint_grace_ms {}\n"
               "queue_limit {}\nfragmentation_weight {}\n"
               "placement_policy {}\nmax_attempts {}\n",
               settings.gang_lease_ms(), settings.heartbeat_ms(),
               settings.checkpoint_grace_ms(), settings.queue_limit(),
               settings.fragmentation_weight(), settings.placement_policy(),
               settings.max_attempts());
    for (const auto& id : reply.drained())
        fmt::print("drained {}\n", id);
}

namespace {

void print_events(const google::protobuf::RepeatedPtrField<v1::Event>& events) {
    for (const auto& e : events)
        fmt::print("{:>8} {} {:<10} {:<22} {:<16} {}\n", e.clock(), e.wall_ms(),
                   e.process(), e.kind(), e.subject(), e.detail());
}

} // namespace

void print_text(const v1::TimeLine& reply) {
    print_events(reply.events());
    for (const auto& process : reply.silent_processes())
        fmt::print("{} did not answer\n", process);
}

void print_text(const v1::Explanation& reply) {
    print_text(reply.status());
    for (const auto& p : reply.phases())
        fmt::print("  {:<10} {:>8} ms\n", p.name(), p.duration_ms());
    fmt::print("  verdict: {}: {}\n", reply.verdict(), reply.evidence());
    fmt::print("  network: {}\n",
               reply.network_cleared() ? "cleared" : "at fault");
    print_events(reply.events());
}

void print_text(const v1::CellState& reply) {
    fmt::print("cell {} owner {} epoch {} phase {} agents {} configuration {} "
               "takeover {} ms\n",
               reply.cell(), reply.owner(), reply.epoch(), reply.phase(),
               reply.agents(), reply.configuration_revision(),
               reply.takeover_ms());
}

} // namespace celerylift::entry
