#include <celerylift/protocol/convert.hpp>

#include <celerylift/kernel/cell_state.hpp>
#include <celerylift/kernel/policy.hpp>
#include <celerylift/protocol/limits.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace celerylift::protocol {

api::Error to_api(const error& e) {
    api::Error out;
    out.set_kind(static_cast<api::ErrorKind>(e.kind));
    out.set_message(e.message);
    out.set_ran(static_cast<api::RunState>(e.ran));
    out.set_retry_after_ms(e.retry_after.count());
    return out;
}

error from_api(const api::Error& e) {
    return {static_cast<error_kind>(e.kind()), e.message(),
            static_cast<run_state>(e.ran()), duration{e.retry_after_ms()}};
}

kernel::gang_shape from_api(const api::GangShape& shape) {
    kernel::gang_shape out;
    out.members = shape.members();
    out.accelerators = shape.accelerators();
    if (shape.within() != api::ADJACENCY_UNSPECIFIED)
        out.within = static_cast<kernel::adjacency>(shape.within());
    return out;
}

kernel::organisation from_api(const api::Organisation& organisation) {
    kernel::organisation out;
    out.name = organisation.name();
    out.queue_limit = organisation.queue_limit();
    for (const auto& entry : organisation.guarantee())
        out.guarantee.push_back({entry.count(), from_api(entry.shape())});
    return out;
}

kernel::job from_api(const api::JobSpec& spec) {
    kernel::job out;
    out.id = spec.id();
    out.organisation = spec.organisation();
    out.urgency = spec.urgency() == api::URGENT ? kernel::urgency::urgent
                                                : kernel::urgency::batch;
    out.shape = from_api(spec.gang());
    out.declared_run = duration{spec.declared_run_ms()};
    out.repeatable = !spec.not_repeatable();
    out.service = spec.service();
    return out;
}

namespace {

std::optional<error> invalid(std::string message) {
    return error{error_kind::invalid_argument, std::move(message),
                 run_state::not_run, duration{0}};
}

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                      c == '-';
           });
}

bool is_job_id(const std::string& text) {
    return !text.empty() && text.size() <= max_job_id_length &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 127; });
}

std::optional<error> check_shape(const api::GangShape& shape) {
    if (shape.members() < 0 || shape.members() > max_members)
        return invalid(fmt::format("gang.members is {}; allowed is 0 to {}",
                                   shape.members(), max_members));
    if (shape.members() == 0)
        return std::nullopt;
    if (shape.accelerators() < 1 ||
        shape.accelerators() > kernel::max_accelerators_per_worker)
        return invalid(fmt::format(
            "gang.accelerators is {}; allowed is 1 to {} per member",
            shape.accelerators(), kernel::max_accelerators_per_worker));
    if (shape.within() < api::ADJACENCY_UNSPECIFIED ||
        shape.within() > api::WORKER)
        return invalid("gang.within is unknown; allowed are CELL, "
                       "FAILURE_DOMAIN, RACK and WORKER");
    return std::nullopt;
}

std::optional<error> check_range(const char* name, std::int64_t value,
                                 std::int64_t low, std::int64_t high) {
    if (value >= low && value <= high)
        return std::nullopt;
    return invalid(
        fmt::format("{} is {}; allowed is {} to {}", name, value, low, high));
}

} // namespace

std::optional<error> check(const api::JobSpec& spec) {
    constexpr std::int64_t max_run_ms = 90LL * 24 * 3600 * 1000;
    if (!is_job_id(spec.id()))
        return invalid(fmt::format("job.id must be 1 to {} printable "
                                   "characters without spaces",
                                   max_job_id_length));
    if (!is_name(spec.organisation()))
        return invalid("job.organisation must be 1 to 63 of [a-z0-9-]");
    if (!spec.service().empty() && !is_name(spec.service()))
        return invalid("job.service must be 1 to 63 of [a-z0-9-]");
    if (spec.payload().size() > max_payload_bytes)
        return invalid(fmt::format("job.payload has {} bytes; allowed are {}",
                                   spec.payload().size(), max_payload_bytes));
    if (spec.service().empty() && spec.gang().members() == 0)
        return invalid("the job has neither a gang nor a service; set "
                       "gang.members or service");
    if (auto e = check_range("job.declared_run_ms", spec.declared_run_ms(), 0,
                             max_run_ms))
        return e;
    if (auto e =
            check_range("job.deadline_ms", spec.deadline_ms(), 0, max_run_ms))
        return e;
    return check_shape(spec.gang());
}

std::optional<error> check(const api::Organisation& organisation) {
    if (!is_name(organisation.name()))
        return invalid("organisation.name must be 1 to 63 of [a-z0-9-]");
    if (organisation.guarantee_size() > max_guarantee_entries)
        return invalid(fmt::format("the guarantee has {} entries; allowed are "
                                   "{}",
                                   organisation.guarantee_size(),
                                   max_guarantee_entries));
    int gangs = 0;
    for (const auto& entry : organisation.guarantee()) {
        if (auto e = check_shape(entry.shape()))
            return e;
        if (entry.shape().members() < 1)
            return invalid("a guaranteed shape needs at least one member");
        if (auto e = check_range("guarantee.count", entry.count(), 1,
                                 max_guaranteed_gangs))
            return e;
        gangs += entry.count();
    }
    if (auto e = check_range("the number of guaranteed gangs", gangs, 0,
                             max_guaranteed_gangs))
        return e;
    return check_range("organisation.queue_limit", organisation.queue_limit(),
                       0, 1'000'000);
}

std::optional<error> check(const api::Settings& s) {
    if (auto e = check_range("gang_lease_ms", s.gang_lease_ms(), 1000, 60'000))
        return e;
    if (auto e = check_range("heartbeat_ms", s.heartbeat_ms(), 100, 10'000))
        return e;
    if (s.gang_lease_ms() < 3 * s.heartbeat_ms())
        return invalid(fmt::format(
            "gang_lease_ms is {}; it must be at least three heartbeats ({} "
            "ms), or a lost message would end gangs",
            s.gang_lease_ms(), 3 * s.heartbeat_ms()));
    if (auto e = check_range("checkpoint_grace_ms", s.checkpoint_grace_ms(), 0,
                             600'000))
        return e;
    if (auto e = check_range("queue_limit", s.queue_limit(), 1, 1'000'000))
        return e;
    if (auto e = check_range("fragmentation_weight", s.fragmentation_weight(),
                             0, 100))
        return e;
    if (auto e = check_range("max_attempts", s.max_attempts(), 1, 100))
        return e;
    if (!kernel::find_policy(s.placement_policy()))
        return invalid(fmt::format("placement_policy is '{}'; allowed are {}",
                                   s.placement_policy(),
                                   fmt::join(kernel::policy_names(), ", ")));
    return std::nullopt;
}

api::Settings default_settings() {
    api::Settings s;
    s.set_gang_lease_ms(6000);
    s.set_heartbeat_ms(500);
    s.set_checkpoint_grace_ms(2000);
    s.set_queue_limit(1000);
    s.set_fragmentation_weight(50);
    s.set_placement_policy("shape_aware");
    s.set_max_attempts(5);
    return s;
}

wire::ApiReply error_reply(std::uint64_t call, const error& e) {
    wire::ApiReply reply;
    reply.set_id(call);
    *reply.mutable_error() = to_api(e);
    return reply;
}

} // namespace celerylift::protocol
