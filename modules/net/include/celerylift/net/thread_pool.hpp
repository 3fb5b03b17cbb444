#pragma once

#include <ace/Task.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace celerylift::net {

/// Threads for calls that wait, such as those to the platform. The queue is
/// bounded.
class thread_pool : public ACE_Task_Base {
public:
    thread_pool(int threads, std::size_t queue_limit);
    ~thread_pool() override;

    /// Hands over work. Returns false where the queue is full.
    bool submit(std::function<void()> work);

    /// Drops what has not begun and waits for the rest.
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
