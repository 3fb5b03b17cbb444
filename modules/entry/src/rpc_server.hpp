#pragma once

#include <celerylift/base/settings_reader.hpp>

#include <memory>

namespace grpc {
class Server;
}

namespace celerylift::entry {

class entry_process;
class rpc_service;

/// Serves the published schema over gRPC.
class rpc_server {
public:
    /// Throws std::runtime_error if it cannot listen on the address.
    rpc_server(entry_process& process, const base::address& at);
    ~rpc_server();

    /// Stops accepting calls and ends open calls, after two seconds at most.
    void shut_down();

private:
    std::unique_ptr<rpc_service> service_;
    std::unique_ptr<grpc::Server> server_;
};

} // namespace celerylift::entry
