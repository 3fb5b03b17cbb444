#pragma once

#include <ace/Task.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace celerylift::net {

/// Threads for blocking calls, such as those to the platform. The queue is
/// bounded.
class thread_pool : public ACE_Task_Base {
public:
    thread_pool(int threads, std::size_t queue_limit);
    ~thread_pool() override;

    /// Queues work. Returns false if the queue is full or the pool is stopped.
    bool submit(std::function<void()> work);

    /// Drops queued work and waits for running work.
    void stop();

    int svc() override;

private:
    std::size_t queue_limit_;
    std::mutex mutex_;
    std::condition_variable queue_changed_;
    std::deque<std::function<void()>> queue_;
    bool is_stopped_ = false;
};

} // namespace celerylift::net
