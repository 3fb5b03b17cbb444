#pragma once

#include <celerylift/protocol/platform_calls.hpp>

#include <map>
#include <string>
#include <vector>

namespace celerylift::fakes {

/// A worker that runs tasks under leases. A task whose payload holds
/// `run_ms=N` succeeds after N milliseconds; others run until stopped.
class fake_worker {
public:
    /// The history of one task, for the checks at the end of a test.
    struct task_history {
        std::string task;
        std::string payload;
        int accelerators = 0;
        time_point started{};
        time_point ended = time_point::max();
        protocol::task_state state = protocol::task_state::running;
        int checkpoints = 0;
    };

    explicit fake_worker(int accelerators) : accelerators_(accelerators) {}

    protocol::worker_reply apply(const protocol::worker_request& request,
                                 time_point now);

    /// Ends tasks that have completed or whose lease has expired.
    void advance(time_point now);

    void fail_every_task(bool fails) { fails_ = fails; }

    /// Stops and drops all tasks, as when the host is replaced. The history is
    /// kept for the checks.
    void replace(time_point now);
    int in_use() const;
    const std::vector<task_history>& history() const { return history_; }

private:
    struct running_task {
        std::size_t index = 0; // Index into history_.
        time_point lease_until{};
        time_point ends_at = time_point::max();
        bool fails = false;
    };

    void start(const protocol::worker_request& request, time_point now,
               protocol::worker_reply& reply);
    void renew(const std::string& list, time_point now);
    void end(const std::string& task, protocol::task_state state,
             time_point at);
    std::vector<protocol::task_report> list() const;

    int accelerators_ = 0;
    bool fails_ = false;
    std::map<std::string, running_task> running_;
    std::vector<task_history> history_;
};

} // namespace celerylift::fakes
