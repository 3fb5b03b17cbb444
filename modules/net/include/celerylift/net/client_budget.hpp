#pragma once

#include <celerylift/net/request_budget.hpp>

#include <mutex>
#include <utility>

namespace celerylift::net {

/// The budget that the HTTP servers of a process share. Safe to use from
/// several threads.
class client_budget {
public:
    explicit client_budget(const client_limits& limits);

    /// Calls `change` with the budget, and shuts down the sockets that have to
    /// be closed. Each is still open: a connection is removed before its socket
    /// is closed.
    template <class Change>
    auto update(Change change) {
        const std::lock_guard lock(mutex_);
        const shutdown_on_exit after{budget_.to_close};
        return change(budget_);
    }

private:
    struct shutdown_on_exit {
        std::vector<int>& sockets;
        ~shutdown_on_exit();
    };

    std::mutex mutex_;
    request_budget budget_;
};

} // namespace celerylift::net
