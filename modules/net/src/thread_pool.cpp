#include <celerylift/net/thread_pool.hpp>

namespace celerylift::net {

thread_pool::thread_pool(int threads, std::size_t queue_limit)
    : queue_limit_(queue_limit) {
    activate(THR_NEW_LWP | THR_JOINABLE, threads);
}

thread_pool::~thread_pool() {
    stop();
}

bool thread_pool::submit(std::function<void()> work) {
    {
        const std::lock_guard lock(mutex_);
        if (is_stopped_ || queue_.size() >= queue_limit_)
            return false;
        queue_.push_back(std::move(work));
    }
    queue_changed_.notify_one();
    return true;
}

void thread_pool::stop() {
    {
        const std::lock_guard lock(mutex_);
        if (is_stopped_)
            return;
        is_stopped_ = true;
        queue_.clear();
    }
    queue_changed_.notify_all();
    wait();
}

int thread_pool::svc() {
    for (;;) {
        std::function<void()> work;
        {
            std::unique_lock lock(mutex_);
            queue_changed_.wait(lock,
                                [&] { return is_stopped_ || !queue_.empty(); });
            if (is_stopped_)
                return 0;
            work = std::move(queue_.front());
            queue_.pop_front();
        }
        work();
    }
}

} // namespace celerylift::net
