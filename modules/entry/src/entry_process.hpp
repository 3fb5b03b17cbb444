#pragma once

#include "entry_config.hpp"

#include <celerylift/base/metrics.hpp>
#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/http_server.hpp>
#include <celerylift/net/message_node.hpp>
#include <celerylift/net/thread_pool.hpp>
#include <celerylift/protocol/entry.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace celerylift::entry {

class rpc_server;

/// The process of one entry. It drives the protocol's pure functions from
/// sockets, timers and the threads that call the store.
class entry_process {
public:
    using completion = std::function<void(const wire::ApiReply&)>;

    explicit entry_process(entry_config config);
    ~entry_process();

    /// Runs until the process has been told to stop and is idle. Returns the
    /// exit code.
    int run();

    /// Executes a call of the published schema. May be called on any thread.
    /// `done` is called once, on the control thread.
    void call(wire::ApiCall call, duration timeout, completion done);

private:
    /// Runs one step of the protocol and performs the actions it requests.
    template <class Step>
    void step(Step step);

    /// Sends the messages, store calls and replies of an outbox.
    void perform(protocol::outbox out);
    void tick();
    void stop();
    void call_store(const protocol::store_request& request);

    /// Watches the cell's keys in the store until the process stops. Runs on
    /// the watch thread.
    void watch_store();
    net::served_response serve_http(const net::served_request& request);
    void log_role_change();

    entry_config config_;
    base::metrics metrics_;
    net::control_loop loop_;
    protocol::entry_state state_;
    net::message_node node_;
    net::thread_pool store_threads_;
    net::thread_pool watch_thread_;
    std::unordered_map<std::uint64_t, completion> completions_;
    std::unique_ptr<net::http_server> http_;
    std::unique_ptr<rpc_server> rpc_;
    std::atomic<bool> stopping_{false};
    std::mutex watch_mutex_;
    std::condition_variable watch_changed_;
    std::string reported_role_;
};

} // namespace celerylift::entry
