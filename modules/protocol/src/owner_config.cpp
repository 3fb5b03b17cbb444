// The configuration of the cell: one document in the store. Changes are
// written one at a time, each conditional on the expected revision.
#include "owner_internal.hpp"

#include <celerylift/kernel/guarantees.hpp>
#include <celerylift/kernel/policy.hpp>
#include <celerylift/kernel/queue.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

constexpr std::size_t max_queued_changes = 1000;

/// Number of past changes whose request ids are kept to detect retries.
constexpr int max_recent_changes = 64;

error conflict(const std::string& what, std::int64_t expected,
               std::int64_t current) {
    return {error_kind::conflict,
            fmt::format("{} is at revision {}, not {}: another operator has "
                        "changed it; read it again and repeat the change",
                        what, current, expected),
            run_state::not_run, duration{0}};
}

wire::OrganisationRecord* find_record(wire::CellConfiguration& doc,
                                      const std::string& name) {
    for (auto& record : *doc.mutable_organisations()) {
        if (record.organisation().name() == name)
            return &record;
    }
    return nullptr;
}

std::int64_t revision_of(const wire::OrganisationRecord* record) {
    return record ? record->revision() : no_revision;
}

result<success> put_organisation(const owner_context& c,
                                 wire::CellConfiguration& doc,
                                 const api::PutOrganisationRequest& request) {
    const auto& spec = request.organisation();
    if (auto e = check(spec))
        return *e;
    auto* record = find_record(doc, spec.name());
    if (!record && doc.organisations_size() >= max_organisations)
        return error{error_kind::overloaded,
                     fmt::format("the cell has {} organisations, which is the "
                                 "maximum; remove one first",
                                 max_organisations),
                     run_state::not_run, duration{0}};
    if (revision_of(record) != request.expected_revision())
        return conflict("organisation " + spec.name(),
                        request.expected_revision(), revision_of(record));
    auto applied = kernel::set_organisation(c.owner.cell, from_api(spec));
    if (error_of(applied))
        return applied;
    if (!record)
        record = doc.add_organisations();
    *record->mutable_organisation() = spec;
    record->set_revision(doc.revision());
    return success{};
}

result<success>
remove_organisation(const owner_context& c, wire::CellConfiguration& doc,
                    const api::RemoveOrganisationRequest& request) {
    auto* record = find_record(doc, request.name());
    if (!record)
        return error{
            error_kind::not_found,
            fmt::format("organisation '{}' does not exist", request.name()),
            run_state::not_run, duration{0}};
    if (record->revision() != request.expected_revision())
        return conflict("organisation " + request.name(),
                        request.expected_revision(), record->revision());
    kernel::remove_organisation(c.owner.cell, request.name());
    auto* records = doc.mutable_organisations();
    for (int i = 0; i < records->size(); ++i) {
        if (&records->Get(i) != record)
            continue;
        records->DeleteSubrange(i, 1);
        break;
    }
    return success{};
}

result<success> set_settings(const owner_context& c,
                             wire::CellConfiguration& doc,
                             const api::SetConfigurationRequest& request) {
    if (auto e = check(request.settings()))
        return *e;
    const auto current = c.owner.configuration.current.revision();
    if (request.expected_revision() != current)
        return conflict("the configuration", request.expected_revision(),
                        current);
    *doc.mutable_settings() = request.settings();
    return success{};
}

bool is_known(const owner_state& owner, const std::string& target) {
    return owner.cell.worker_index.contains(target) ||
           owner.cell.backends.backends.contains(target);
}

result<success> drain(const owner_context& c, wire::CellConfiguration& doc,
                      const api::DrainRequest& request) {
    if (!is_known(c.owner, request.target()))
        return error{error_kind::not_found,
                     fmt::format("no worker or backend server is called "
                                 "'{}'; list them to see their ids",
                                 request.target()),
                     run_state::not_run, duration{0}};
    auto* drained = doc.mutable_drained();
    drained->erase(
        std::remove(drained->begin(), drained->end(), request.target()),
        drained->end());
    if (request.drained())
        *drained->Add() = request.target();
    return success{};
}

result<success> apply_change(const owner_context& c,
                             wire::CellConfiguration& doc,
                             const wire::ApiCall& call) {
    switch (call.request_case()) {
    case wire::ApiCall::kPutOrganisation:
        return put_organisation(c, doc, call.put_organisation());
    case wire::ApiCall::kRemoveOrganisation:
        return remove_organisation(c, doc, call.remove_organisation());
    case wire::ApiCall::kSetConfiguration:
        return set_settings(c, doc, call.set_configuration());
    default:
        return drain(c, doc, call.drain());
    }
}

const std::string& request_id_of(const wire::ApiCall& call) {
    static const std::string none;
    switch (call.request_case()) {
    case wire::ApiCall::kPutOrganisation:
        return call.put_organisation().request_id();
    case wire::ApiCall::kRemoveOrganisation:
        return call.remove_organisation().request_id();
    case wire::ApiCall::kSetConfiguration:
        return call.set_configuration().request_id();
    default:
        return none;
    }
}

/// The revision created by an earlier call with the same request id.
std::optional<std::int64_t>
find_earlier_revision(const wire::CellConfiguration& doc,
                      const wire::ApiCall& call) {
    const auto& id = request_id_of(call);
    if (id.empty())
        return std::nullopt;
    for (const auto& change : doc.recent_changes()) {
        if (change.request_id() == id)
            return change.revision();
    }
    return std::nullopt;
}

void record_change(wire::CellConfiguration& doc, const wire::ApiCall& call) {
    const auto& id = request_id_of(call);
    if (id.empty())
        return;
    auto* changes = doc.mutable_recent_changes();
    if (changes->size() >= max_recent_changes)
        changes->DeleteSubrange(0, 1);
    auto* change = changes->Add();
    change->set_request_id(id);
    change->set_revision(doc.revision());
}

void answer_change(const owner_context& c, const configuration_change& change,
                   std::int64_t revision) {
    wire::ApiReply answer;
    if (change.call.has_drain())
        answer.mutable_empty();
    else
        answer.mutable_revision()->set_revision(revision);
    reply(c, change.who, std::move(answer));
}

void write_configuration(const owner_context& c) {
    auto& state = c.owner.configuration;
    auto& doc = *state.writing;
    doc.set_epoch(c.owner.epoch);
    doc.set_write_id(fmt::format("{}/{}/{}", c.owner.self, c.owner.epoch,
                                 c.owner.next_write++));
    store_request put;
    put.op = store_op::put;
    put.key = configuration_key(c.owner);
    put.value = doc.SerializeAsString();
    put.expected_revision = state.revision;
    state.reading_back = false;
    state.request = call_store(c, std::move(put));
}

void read_configuration(const owner_context& c) {
    auto& state = c.owner.configuration;
    store_request get;
    get.op = store_op::get;
    get.key = configuration_key(c.owner);
    state.request = call_store(c, std::move(get));
}

void start_next_change(const owner_context& c) {
    auto& state = c.owner.configuration;
    while (!state.writing && !state.queue.empty()) {
        auto change = std::move(state.queue.front());
        state.queue.pop_front();
        auto doc = state.current;
        if (auto revision = find_earlier_revision(doc, change.call)) {
            answer_change(c, change, *revision);
            continue;
        }
        doc.set_revision(doc.revision() + 1);
        const auto applied = apply_change(c, doc, change.call);
        if (const auto* e = error_of(applied)) {
            reply_error(c, change.who, *e);
            continue;
        }
        record_change(doc, change.call);
        state.change = std::move(change);
        state.writing = std::move(doc);
        write_configuration(c);
    }
}

void load_organisations(const owner_context& c) {
    for (const auto& record : c.owner.configuration.current.organisations())
        kernel::load_organisation(c.owner.cell,
                                  from_api(record.organisation()));
}

void change_is_durable(const owner_context& c) {
    auto& state = c.owner.configuration;
    state.current = std::move(*state.writing);
    state.writing.reset();
    state.pause = duration{0};
    note(c, "configuration", c.owner.cell_name,
         fmt::format("revision {}", state.current.revision()));
    apply_settings(c);
    apply_draining(c);
    if (state.change)
        answer_change(c, *state.change, state.current.revision());
    state.change.reset();
    start_next_change(c);
}

void reconcile_change(const owner_context& c, const store_reply& reply) {
    auto& state = c.owner.configuration;
    wire::CellConfiguration stored;
    const bool found = reply.status == store_status::ok;
    if (found && !stored.ParseFromString(reply.value))
        return step_down(c, "the stored configuration is unreadable");
    if (found && stored.epoch() > c.owner.epoch)
        return step_down(c, "the configuration has a higher epoch");
    state.revision = found ? reply.revision : no_revision;
    if (found && stored.write_id() == state.writing->write_id())
        return change_is_durable(c);
    write_configuration(c);
}

void back_off_configuration(const owner_context& c) {
    auto& state = c.owner.configuration;
    state.pause = next_backoff(state.pause);
    state.retry_at = c.now + state.pause;
}

void configuration_is_loaded(const owner_context& c, const store_reply& reply) {
    auto& state = c.owner.configuration;
    state.loaded = true;
    state.revision = no_revision;
    if (reply.status == store_status::ok) {
        if (!state.current.ParseFromString(reply.value))
            return step_down(c, "the stored configuration is unreadable");
        state.revision = reply.revision;
    }
    apply_settings(c);
    load_organisations(c);
}

} // namespace

std::string configuration_key(const owner_state& owner) {
    return fmt::format("cell/{}/control/configuration", owner.cell_name);
}

void apply_settings(const owner_context& c) {
    const auto& settings = c.owner.configuration.current.settings();
    auto& cell = c.owner.cell;
    cell.fragmentation_weight = settings.fragmentation_weight();
    cell.default_queue_limit = settings.queue_limit();
    if (const auto* policy = kernel::find_policy(settings.placement_policy()))
        cell.policy = policy;
    ++cell.capacity_version;
}

void load_configuration(const owner_context& c) {
    auto& state = c.owner.configuration;
    if (!state.loaded && state.request == 0 && state.retry_at <= c.now)
        read_configuration(c);
}

void queue_configuration(const owner_context& c, const caller& who,
                         const wire::ApiCall& call) {
    auto& state = c.owner.configuration;
    if (request_id_of(call).size() > max_request_id_length)
        return reply_error(
            c, who,
            {error_kind::invalid_argument,
             fmt::format("request_id has {} characters; allowed are {}",
                         request_id_of(call).size(), max_request_id_length),
             run_state::not_run, duration{0}});
    if (state.queue.size() >= max_queued_changes)
        return reply_error(
            c, who,
            {error_kind::overloaded,
             fmt::format("{} configuration changes are queued already; "
                         "retry later",
                         state.queue.size()),
             run_state::not_run, max_store_backoff});
    state.queue.push_back({who, call});
    start_next_change(c);
}

bool on_configuration_reply(const owner_context& c, const store_reply& reply) {
    auto& state = c.owner.configuration;
    if (state.request == 0 || reply.id != state.request)
        return false;
    state.request = 0;
    if (reply.status == store_status::unavailable) {
        state.reading_back = state.loaded;
        back_off_configuration(c);
    } else if (!state.loaded) {
        configuration_is_loaded(c, reply);
        load_pages(c);
    } else if (state.reading_back) {
        state.reading_back = false;
        reconcile_change(c, reply);
    } else if (reply.status == store_status::ok) {
        state.revision = reply.revision;
        change_is_durable(c);
    } else {
        state.reading_back = true;
        read_configuration(c);
    }
    return true;
}

void tick_configuration(const owner_context& c) {
    auto& state = c.owner.configuration;
    if (!state.writing || state.request != 0 || state.retry_at > c.now)
        return;
    read_configuration(c);
}

} // namespace celerylift::protocol
