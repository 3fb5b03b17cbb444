#include "operator_client.hpp"

#include "printing.hpp"
#include "shape_text.hpp"

#include <api.grpc.pb.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <fmt/format.h>
#include <sstream>

namespace celerylift::entry {

namespace {

constexpr std::chrono::seconds call_timeout{35};
constexpr std::int64_t default_wait_ms = 30'000;

/// An invalid command line.
struct usage_error {
    std::string message;
};

using stub = v1::Scheduler::Stub;

template <class Request, class Reply>
using method = grpc::Status (stub::*)(grpc::ClientContext*, const Request&,
                                      Reply*);

std::vector<std::string> entries_of(const command_line& arguments) {
    std::istringstream list(arguments.at("--entry").asString());
    std::vector<std::string> entries;
    for (std::string entry; std::getline(list, entry, ',');)
        entries.push_back(entry);
    return entries;
}

std::string text_of(const command_line& arguments, const char* key) {
    const auto& value = arguments.at(key);
    return value ? value.asString() : std::string{};
}

std::int64_t number_of(const command_line& arguments, const char* key,
                       std::int64_t default_value) {
    const auto& value = arguments.at(key);
    if (!value)
        return default_value;
    const auto text = value.asString();
    char* end = nullptr;
    const auto parsed = std::strtoll(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0')
        throw usage_error{fmt::format(
            "{} is '{}'; allowed is a whole number without a unit", key, text)};
    return parsed;
}

bool has_flag(const command_line& arguments, const char* key) {
    return arguments.at(key) && arguments.at(key).asBool();
}

int print_error(const grpc::Status& status) {
    v1::Error e;
    const bool detailed = e.ParseFromString(status.error_details()) &&
                          e.kind() != v1::ERROR_KIND_UNSPECIFIED;
    fmt::print(stderr, "celerylift: {}\n",
               detailed ? e.message() : status.error_message());
    if (detailed && e.retry_after_ms() > 0)
        fmt::print(stderr, "celerylift: retry after {} ms\n",
                   e.retry_after_ms());
    if (!detailed)
        return exit_unknown;
    switch (e.ran()) {
    case v1::NOT_RUN:
        return exit_refused;
    case v1::RAN:
        return exit_failed;
    default:
        return exit_unknown;
    }
}

/// Calls the entries in order until one can be reached.
template <class Request, class Reply>
grpc::Status call_entries(const command_line& arguments, const Request& request,
                          Reply& reply, method<Request, Reply> call) {
    grpc::Status status(grpc::StatusCode::UNAVAILABLE,
                        "no entry is given; use --entry");
    for (const auto& entry : entries_of(arguments)) {
        const auto channel =
            grpc::CreateChannel(entry, grpc::InsecureChannelCredentials());
        const auto scheduler = v1::Scheduler::NewStub(channel);
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + call_timeout);
        status = (*scheduler.*call)(&context, request, &reply);
        const bool is_unreachable =
            status.error_code() == grpc::StatusCode::UNAVAILABLE &&
            status.error_details().empty();
        if (!is_unreachable)
            return status;
    }
    return status;
}

template <class Reply>
void print(const command_line& arguments, const Reply& reply) {
    if (has_flag(arguments, "--json"))
        print_json(reply);
    else
        print_text(reply);
}

template <class Reply, class Request>
int run(const command_line& arguments, const Request& request,
        method<Request, Reply> call) {
    Reply reply;
    const auto status = call_entries(arguments, request, reply, call);
    if (!status.ok())
        return print_error(status);
    print(arguments, reply);
    return exit_done;
}

int exit_code_of(v1::JobState state) {
    switch (state) {
    case v1::FAILED:
    case v1::JOB_CANCELLED:
        return exit_failed;
    case v1::REFUSED:
        return exit_refused;
    case v1::UNKNOWN:
        return exit_unknown;
    default:
        return exit_done;
    }
}

int put_organisation(const command_line& arguments) {
    v1::PutOrganisationRequest request;
    auto* organisation = request.mutable_organisation();
    organisation->set_name(arguments.at("NAME").asString());
    organisation->set_queue_limit(
        static_cast<int>(number_of(arguments, "--queue-limit", 0)));
    request.set_expected_revision(number_of(arguments, "--revision", 0));
    for (const auto& text : arguments.at("--guarantee").asStringList()) {
        const auto block = parse_guarantee(text);
        if (const auto* e = error_of(block))
            throw usage_error{e->message};
        *organisation->add_guarantee() = std::get<v1::GuaranteeBlock>(block);
    }
    return run<v1::Revision>(arguments, request, &stub::PutOrganisation);
}

int run_organisation_command(const command_line& arguments) {
    if (has_flag(arguments, "put"))
        return put_organisation(arguments);
    if (has_flag(arguments, "list"))
        return run<v1::OrganisationList>(arguments,
                                         v1::ListOrganisationsRequest{},
                                         &stub::ListOrganisations);
    v1::RemoveOrganisationRequest request;
    request.set_name(arguments.at("NAME").asString());
    request.set_expected_revision(number_of(arguments, "--revision", 0));
    return run<v1::Revision>(arguments, request, &stub::RemoveOrganisation);
}

v1::JobSpec spec_of(const command_line& arguments) {
    v1::JobSpec spec;
    spec.set_id(arguments.at("ID").asString());
    spec.set_organisation(text_of(arguments, "--org"));
    spec.set_service(text_of(arguments, "--service"));
    spec.set_payload(text_of(arguments, "--payload"));
    spec.set_not_repeatable(has_flag(arguments, "--once"));
    spec.set_urgency(has_flag(arguments, "--urgent") ? v1::URGENT
                                                     : v1::PATIENT);
    spec.set_declared_run_ms(number_of(arguments, "--declared-ms", 0));
    spec.set_deadline_ms(number_of(arguments, "--deadline-ms", 0));
    const auto gang = text_of(arguments, "--gang");
    if (gang.empty())
        return spec;
    const auto block = parse_guarantee("1x" + gang);
    if (error_of(block))
        throw usage_error{fmt::format("--gang is '{}'; allowed is MEMBERSx"
                                      "ACCELERATORS@UNIT, such as 3x8@rack",
                                      gang)};
    *spec.mutable_gang() = std::get<v1::GuaranteeBlock>(block).shape();
    return spec;
}

int wait_job(const command_line& arguments) {
    v1::WaitJobRequest request;
    request.set_id(arguments.at("ID").asString());
    request.set_timeout_ms(
        number_of(arguments, "--timeout-ms", default_wait_ms));
    v1::JobStatus reply;
    const auto status = call_entries(arguments, request, reply, &stub::WaitJob);
    if (!status.ok())
        return print_error(status);
    print(arguments, reply);
    return reply.state() < v1::ANSWERED ? exit_unknown
                                        : exit_code_of(reply.state());
}

int submit_job(const command_line& arguments) {
    v1::SubmitJobRequest request;
    *request.mutable_job() = spec_of(arguments);
    v1::JobStatus reply;
    const auto status =
        call_entries(arguments, request, reply, &stub::SubmitJob);
    if (!status.ok())
        return print_error(status);
    if (has_flag(arguments, "--wait"))
        return wait_job(arguments);
    print(arguments, reply);
    return exit_done;
}

int run_job_command(const command_line& arguments) {
    if (has_flag(arguments, "submit"))
        return submit_job(arguments);
    if (has_flag(arguments, "wait"))
        return wait_job(arguments);
    if (has_flag(arguments, "get")) {
        v1::GetJobRequest request;
        request.set_id(arguments.at("ID").asString());
        return run<v1::JobStatus>(arguments, request, &stub::GetJob);
    }
    v1::CancelJobRequest request;
    request.set_id(arguments.at("ID").asString());
    return run<v1::JobStatus>(arguments, request, &stub::CancelJob);
}

int drain(const command_line& arguments) {
    v1::DrainRequest request;
    request.set_target(arguments.at("TARGET").asString());
    request.set_drained(has_flag(arguments, "drain"));
    return run<v1::Empty>(arguments, request, &stub::Drain);
}

/// Applies the options of the command line to the current settings.
int set_configuration(const command_line& arguments) {
    v1::Configuration current;
    const auto status = call_entries(arguments, v1::GetConfigurationRequest{},
                                     current, &stub::GetConfiguration);
    if (!status.ok())
        return print_error(status);
    v1::SetConfigurationRequest request;
    auto* settings = request.mutable_settings();
    *settings = current.settings();
    request.set_expected_revision(
        number_of(arguments, "--revision", current.revision()));
    const auto change = [&](const char* key, auto current_value) {
        return static_cast<int>(number_of(arguments, key, current_value));
    };
    settings->set_gang_lease_ms(
        change("--gang-lease-ms", settings->gang_lease_ms()));
    settings->set_heartbeat_ms(
        change("--heartbeat-ms", settings->heartbeat_ms()));
    settings->set_checkpoint_grace_ms(
        change("--checkpoint-grace-ms", settings->checkpoint_grace_ms()));
    settings->set_queue_limit(change("--queue-limit", settings->queue_limit()));
    settings->set_fragmentation_weight(
        change("--fragmentation-weight", settings->fragmentation_weight()));
    settings->set_max_attempts(
        change("--max-attempts", settings->max_attempts()));
    if (const auto policy = text_of(arguments, "--policy"); !policy.empty())
        settings->set_placement_policy(policy);
    return run<v1::Revision>(arguments, request, &stub::SetConfiguration);
}

int run_config_command(const command_line& arguments) {
    if (has_flag(arguments, "set"))
        return set_configuration(arguments);
    return run<v1::Configuration>(arguments, v1::GetConfigurationRequest{},
                                  &stub::GetConfiguration);
}

int time_line(const command_line& arguments) {
    v1::TimeLineRequest request;
    request.set_subject(text_of(arguments, "--subject"));
    request.set_limit(static_cast<int>(number_of(arguments, "--limit", 0)));
    return run<v1::TimeLine>(arguments, request, &stub::GetTimeLine);
}

int explain(const command_line& arguments) {
    v1::ExplainRequest request;
    request.set_id(arguments.at("ID").asString());
    return run<v1::Explanation>(arguments, request, &stub::Explain);
}

int dispatch_command(const command_line& arguments) {
    if (has_flag(arguments, "org"))
        return run_organisation_command(arguments);
    if (has_flag(arguments, "job"))
        return run_job_command(arguments);
    if (has_flag(arguments, "config"))
        return run_config_command(arguments);
    if (has_flag(arguments, "backends"))
        return run<v1::BackendList>(arguments, v1::ListBackendsRequest{},
                                    &stub::ListBackends);
    if (has_flag(arguments, "workers"))
        return run<v1::WorkerList>(arguments, v1::ListWorkersRequest{},
                                   &stub::ListWorkers);
    if (has_flag(arguments, "drain") || has_flag(arguments, "return"))
        return drain(arguments);
    if (has_flag(arguments, "timeline"))
        return time_line(arguments);
    if (has_flag(arguments, "explain"))
        return explain(arguments);
    return run<v1::CellState>(arguments, v1::ShowCellRequest{},
                              &stub::ShowCell);
}

} // namespace

int run_command(const command_line& arguments) {
    try {
        return dispatch_command(arguments);
    } catch (const usage_error& e) {
        fmt::print(stderr, "celerylift: {}\n", e.message);
        return exit_usage;
    }
}

} // namespace celerylift::entry
