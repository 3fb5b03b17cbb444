#include "requests.hpp"

#include <fmt/format.h>

namespace celerylift::fakes {

api::GangShape shape(int members, int accelerators, api::Adjacency within) {
    api::GangShape s;
    s.set_members(members);
    s.set_accelerators(accelerators);
    s.set_within(within);
    return s;
}

wire::ApiCall put_organisation(const std::string& name, int count,
                               const api::GangShape& guaranteed,
                               std::int64_t expected_revision) {
    wire::ApiCall call;
    auto* request = call.mutable_put_organisation();
    request->set_expected_revision(expected_revision);
    request->mutable_organisation()->set_name(name);
    if (count > 0) {
        auto* entry = request->mutable_organisation()->add_guarantee();
        entry->set_count(count);
        *entry->mutable_shape() = guaranteed;
    }
    return call;
}

api::JobSpec quote(const std::string& id, const std::string& organisation,
                   bool not_repeatable, int work_ms) {
    api::JobSpec spec;
    spec.set_id(id);
    spec.set_organisation(organisation);
    spec.set_urgency(api::URGENT);
    spec.set_service("quotes");
    spec.set_payload(fmt::format("cake for {} work_ms={}", id, work_ms));
    spec.set_not_repeatable(not_repeatable);
    spec.set_declared_run_ms(work_ms);
    return spec;
}

api::JobSpec gang_job(const std::string& id, const std::string& organisation,
                      const api::GangShape& gang, int run_ms) {
    api::JobSpec spec;
    spec.set_id(id);
    spec.set_organisation(organisation);
    *spec.mutable_gang() = gang;
    spec.set_payload(fmt::format("job={} run_ms={}", id, run_ms));
    spec.set_declared_run_ms(run_ms);
    return spec;
}

wire::ApiCall submit(const api::JobSpec& spec) {
    wire::ApiCall call;
    *call.mutable_submit_job()->mutable_job() = spec;
    return call;
}

wire::ApiCall wait_for(const std::string& id, duration timeout) {
    wire::ApiCall call;
    call.mutable_wait_job()->set_id(id);
    call.mutable_wait_job()->set_timeout_ms(timeout.count());
    return call;
}

wire::ApiCall get(const std::string& id) {
    wire::ApiCall call;
    call.mutable_get_job()->set_id(id);
    return call;
}

wire::ApiCall cancel(const std::string& id) {
    wire::ApiCall call;
    call.mutable_cancel_job()->set_id(id);
    return call;
}

wire::ApiCall explain(const std::string& id) {
    wire::ApiCall call;
    call.mutable_explain()->set_id(id);
    return call;
}

wire::ApiCall drain(const std::string& target, bool drained) {
    wire::ApiCall call;
    call.mutable_drain()->set_target(target);
    call.mutable_drain()->set_drained(drained);
    return call;
}

wire::ApiCall set_settings(const api::Settings& settings,
                           std::int64_t expected_revision) {
    wire::ApiCall call;
    *call.mutable_set_configuration()->mutable_settings() = settings;
    call.mutable_set_configuration()->set_expected_revision(expected_revision);
    return call;
}

} // namespace celerylift::fakes
