#pragma once

#include "agent_config.hpp"

#include <celerylift/base/event_log.hpp>
#include <celerylift/base/metrics.hpp>
#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/http_server.hpp>
#include <celerylift/net/message_node.hpp>
#include <celerylift/net/thread_pool.hpp>
#include <celerylift/protocol/agent.hpp>

#include <map>
#include <memory>
#include <string>

namespace celerylift::agent {

/// The process of one agent. It drives the protocol's pure functions from
/// sockets, timers and the threads that call the worker and the backend
/// servers.
class agent_process {
public:
    explicit agent_process(agent_config config);
    ~agent_process();

    /// Runs until the process has been told to stop and is idle, or until the
    /// drain timeout. Returns the exit code: 1 if work was still running.
    int run();

private:
    /// Runs one step of the protocol and performs the actions it requests.
    template <class Step>
    void step(Step step);

    /// Sends the messages, worker calls and backend calls of an outbox.
    void perform(protocol::outbox out);
    void tick();
    void stop();
    void call_worker(const protocol::worker_request& request);
    void call_backend(const protocol::backend_request& request);
    net::served_response serve_http(const net::served_request& request);
    net::served_response serve_backend(const net::served_request& request,
                                       const std::string& id);
    net::served_response announce(const net::served_request& request,
                                  const std::string& id);
    void log_epoch_change();

    agent_config config_;
    base::metrics metrics_;
    base::event_log log_;
    net::control_loop loop_;
    protocol::agent_state state_;
    net::message_node node_;
    net::thread_pool worker_threads_;
    net::thread_pool backend_threads_;
    std::map<std::string, base::address> backend_addresses_;
    std::unique_ptr<net::http_server> http_;
    time_point stop_deadline_ = time_point::max();
    std::int64_t reported_epoch_ = 0;
};

} // namespace celerylift::agent
