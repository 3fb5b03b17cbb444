#include <celerylift/net/worker_threads.hpp>

namespace celerylift::net {

worker_threads::worker_threads(int threads, std::size_t queue_limit)
    : queue_limit_(queue_limit) {
    activate(THR_NEW_LWP | THR_JOINABLE, threads);
}

worker_threads::~worker_threads() {
    stop();
}

bool worker_threads::submit(std::function<void()> work) {
    {
        const std::lock_guard lock(mutex_);
        if (stopped_ || queue_.size() >= queue_limit_)
            return false;
        queue_.push_back(std::move(work));
    }
    changed_.notify_one();
    return true;
}

void worker_threads::stop() {
    {
        const std::lock_guard lock(mutex_);
        if (stopped_)
            return;
        stopped_ = true;
        queue_.clear();
    }
    changed_.notify_all();
    wait();
}

int worker_threads::svc() {
    for (;;) {
        std::function<void()> work;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [&] { return stopped_ || !queue_.empty(); });
            if (stopped_)
                return 0;
            work = std::move(queue_.front());
            queue_.pop_front();
        }
        work();
    }
}

} // namespace celerylift::net
