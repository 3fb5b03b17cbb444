#include "rpc_server.hpp"

#include "entry_process.hpp"

#include <celerylift/protocol/timing.hpp>

#include <api.grpc.pb.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <stdexcept>

namespace celerylift::entry {

namespace api = celerylift::v1;
using grpc::CallbackServerContext;
using grpc::ServerUnaryReactor;

namespace {

constexpr int max_message_bytes = 1024 * 1024;
constexpr std::chrono::seconds shutdown_timeout{2};

grpc::StatusCode status_code_of(api::ErrorKind kind) {
    switch (kind) {
    case api::INVALID_ARGUMENT:
        return grpc::StatusCode::INVALID_ARGUMENT;
    case api::NOT_FOUND:
        return grpc::StatusCode::NOT_FOUND;
    case api::CONFLICT:
        return grpc::StatusCode::ABORTED;
    case api::INFEASIBLE:
        return grpc::StatusCode::FAILED_PRECONDITION;
    case api::OVERLOADED:
        return grpc::StatusCode::RESOURCE_EXHAUSTED;
    case api::UNAVAILABLE:
        return grpc::StatusCode::UNAVAILABLE;
    case api::DEADLINE_EXCEEDED:
        return grpc::StatusCode::DEADLINE_EXCEEDED;
    case api::CANCELLED:
        return grpc::StatusCode::CANCELLED;
    case api::OUTCOME_UNKNOWN:
        return grpc::StatusCode::UNKNOWN;
    default:
        return grpc::StatusCode::INTERNAL;
    }
}

grpc::Status status_of(const api::Error& e) {
    return {status_code_of(e.kind()), e.message(), e.SerializeAsString()};
}

/// The time left until the caller's deadline, at most protocol::max_call_wait.
duration timeout_of(const CallbackServerContext& context) {
    const auto left = std::chrono::duration_cast<duration>(
        context.deadline() - std::chrono::system_clock::now());
    return std::clamp(left, duration{1}, protocol::max_call_wait);
}

} // namespace

/// Forwards each call to the control thread and finishes it with the reply.
class rpc_service final : public api::Scheduler::CallbackService {
public:
    explicit rpc_service(entry_process& process) : process_(process) {}

    ServerUnaryReactor* PutOrganisation(CallbackServerContext* context,
                                        const api::PutOrganisationRequest* in,
                                        api::Revision* out) override {
        return forward(context, out, &wire::ApiReply::revision,
                       [&](auto& c) { *c.mutable_put_organisation() = *in; });
    }
    ServerUnaryReactor*
    ListOrganisations(CallbackServerContext* context,
                      const api::ListOrganisationsRequest* in,
                      api::OrganisationList* out) override {
        return forward(context, out, &wire::ApiReply::organisations,
                       [&](auto& c) { *c.mutable_list_organisations() = *in; });
    }
    ServerUnaryReactor*
    RemoveOrganisation(CallbackServerContext* context,
                       const api::RemoveOrganisationRequest* in,
                       api::Revision* out) override {
        return forward(context, out, &wire::ApiReply::revision, [&](auto& c) {
            *c.mutable_remove_organisation() = *in;
        });
    }
    ServerUnaryReactor* SubmitJob(CallbackServerContext* context,
                                  const api::SubmitJobRequest* in,
                                  api::JobStatus* out) override {
        return forward(context, out, &wire::ApiReply::job,
                       [&](auto& c) { *c.mutable_submit_job() = *in; });
    }
    ServerUnaryReactor* WaitJob(CallbackServerContext* context,
                                const api::WaitJobRequest* in,
                                api::JobStatus* out) override {
        return forward(context, out, &wire::ApiReply::job,
                       [&](auto& c) { *c.mutable_wait_job() = *in; });
    }
    ServerUnaryReactor* GetJob(CallbackServerContext* context,
                               const api::GetJobRequest* in,
                               api::JobStatus* out) override {
        return forward(context, out, &wire::ApiReply::job,
                       [&](auto& c) { *c.mutable_get_job() = *in; });
    }
    ServerUnaryReactor* CancelJob(CallbackServerContext* context,
                                  const api::CancelJobRequest* in,
                                  api::JobStatus* out) override {
        return forward(context, out, &wire::ApiReply::job,
                       [&](auto& c) { *c.mutable_cancel_job() = *in; });
    }
    ServerUnaryReactor* ListBackends(CallbackServerContext* context,
                                     const api::ListBackendsRequest* in,
                                     api::BackendList* out) override {
        return forward(context, out, &wire::ApiReply::backends,
                       [&](auto& c) { *c.mutable_list_backends() = *in; });
    }
    ServerUnaryReactor* ListWorkers(CallbackServerContext* context,
                                    const api::ListWorkersRequest* in,
                                    api::WorkerList* out) override {
        return forward(context, out, &wire::ApiReply::workers,
                       [&](auto& c) { *c.mutable_list_workers() = *in; });
    }
    ServerUnaryReactor* Drain(CallbackServerContext* context,
                              const api::DrainRequest* in,
                              api::Empty* out) override {
        return forward(context, out, &wire::ApiReply::empty,
                       [&](auto& c) { *c.mutable_drain() = *in; });
    }
    ServerUnaryReactor* GetConfiguration(CallbackServerContext* context,
                                         const api::GetConfigurationRequest* in,
                                         api::Configuration* out) override {
        return forward(context, out, &wire::ApiReply::configuration,
                       [&](auto& c) { *c.mutable_get_configuration() = *in; });
    }
    ServerUnaryReactor* SetConfiguration(CallbackServerContext* context,
                                         const api::SetConfigurationRequest* in,
                                         api::Revision* out) override {
        return forward(context, out, &wire::ApiReply::revision,
                       [&](auto& c) { *c.mutable_set_configuration() = *in; });
    }
    ServerUnaryReactor* GetTimeLine(CallbackServerContext* context,
                                    const api::TimeLineRequest* in,
                                    api::TimeLine* out) override {
        return forward(context, out, &wire::ApiReply::time_line,
                       [&](auto& c) { *c.mutable_get_time_line() = *in; });
    }
    ServerUnaryReactor* Explain(CallbackServerContext* context,
                                const api::ExplainRequest* in,
                                api::Explanation* out) override {
        return forward(context, out, &wire::ApiReply::explanation,
                       [&](auto& c) { *c.mutable_explain() = *in; });
    }
    ServerUnaryReactor* ShowCell(CallbackServerContext* context,
                                 const api::ShowCellRequest* in,
                                 api::CellState* out) override {
        return forward(context, out, &wire::ApiReply::cell,
                       [&](auto& c) { *c.mutable_show_cell() = *in; });
    }

private:
    template <class Out, class Fill>
    ServerUnaryReactor* forward(CallbackServerContext* context, Out* out,
                                const Out& (wire::ApiReply::*field)() const,
                                Fill fill) {
        auto* reactor = context->DefaultReactor();
        wire::ApiCall call;
        fill(call);
        process_.call(std::move(call), timeout_of(*context),
                      [reactor, out, field](const wire::ApiReply& reply) {
                          if (reply.has_error())
                              return reactor->Finish(status_of(reply.error()));
                          *out = (reply.*field)();
                          reactor->Finish(grpc::Status::OK);
                      });
        return reactor;
    }

    entry_process& process_;
};

rpc_server::rpc_server(entry_process& process, const base::address& at)
    : service_(std::make_unique<rpc_service>(process)) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(to_string(at), grpc::InsecureServerCredentials(),
                             &port);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(service_.get());
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0)
        throw std::runtime_error(fmt::format(
            "cannot listen on {}; check whether another process uses it",
            to_string(at)));
}

rpc_server::~rpc_server() = default;

void rpc_server::shut_down() {
    server_->Shutdown(std::chrono::system_clock::now() + shutdown_timeout);
}

} // namespace celerylift::entry
