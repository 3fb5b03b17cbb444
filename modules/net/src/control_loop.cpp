#include <celerylift/net/control_loop.hpp>

#include <ace/Signal.h>
#include <ace/Thread.h>

#include <chrono>
#include <csignal>
#include <ctime>
#include <memory>
#include <utility>

namespace celerylift::net {

/// Calls a function when a descriptor is readable.
class control_loop::input_handler : public ACE_Event_Handler {
public:
    input_handler(ACE_HANDLE handle, std::function<void()> input)
        : handle_(handle), input_(std::move(input)) {}

    ACE_HANDLE get_handle() const override { return handle_; }

    int handle_input(ACE_HANDLE) override {
        input_();
        return 0;
    }

private:
    ACE_HANDLE handle_;
    std::function<void()> input_;
};

namespace {

ACE_Time_Value to_time_value(duration time) {
    return ACE_Time_Value(static_cast<time_t>(time.count() / 1000),
                          static_cast<suseconds_t>(time.count() % 1000 * 1000));
}

} // namespace

control_loop::control_loop()
    : reactor_implementation_(nullptr, &timers_),
      reactor_(&reactor_implementation_) {
    reactor(&reactor_);
}

control_loop::~control_loop() {
    for (const auto& input : inputs_)
        reactor_.remove_handler(input.get(), ACE_Event_Handler::READ_MASK |
                                                 ACE_Event_Handler::DONT_CALL);
    for (const auto timer : {tick_timer_, alarm_timer_})
        if (timer >= 0)
            reactor_.cancel_timer(timer);
}

void control_loop::post(std::function<void()> work) {
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        first = posted_.empty();
        posted_.push_back(std::move(work));
    }
    // One notification covers all work posted until run_posted().
    if (first)
        reactor_.notify(this, ACE_Event_Handler::EXCEPT_MASK);
}

void control_loop::run_posted() {
    std::vector<std::function<void()>> work;
    {
        const std::lock_guard lock(mutex_);
        work.swap(posted_);
    }
    for (const auto& w : work)
        w();
}

int control_loop::handle_exception(ACE_HANDLE) {
    run_posted();
    return 0;
}

void control_loop::every(duration period, std::function<void()> tick) {
    tick_ = std::move(tick);
    const auto interval = to_time_value(period);
    tick_timer_ = reactor_.schedule_timer(this, nullptr, interval, interval);
}

void control_loop::set_alarm(duration delay, std::function<void()> callback) {
    if (alarm_timer_ >= 0)
        reactor_.cancel_timer(alarm_timer_);
    alarm_callback_ = std::move(callback);
    alarm_timer_ =
        reactor_.schedule_timer(this, &alarm_callback_, to_time_value(delay));
}

int control_loop::handle_timeout(const ACE_Time_Value&,
                                 const void* timer_argument) {
    if (timer_argument == &alarm_callback_) {
        alarm_timer_ = -1;
        const auto callback = std::exchange(alarm_callback_, {});
        callback();
        return 0;
    }
    run_posted();
    if (stop_requested_.exchange(false))
        stop_();
    if (reload_requested_.exchange(false) && reload_)
        reload_();
    tick_();
    return 0;
}

void control_loop::watch(ACE_HANDLE handle, std::function<void()> input) {
    inputs_.push_back(
        std::make_unique<input_handler>(handle, std::move(input)));
    reactor_.register_handler(inputs_.back().get(),
                              ACE_Event_Handler::READ_MASK);
}

void control_loop::unwatch(ACE_HANDLE handle) {
    for (auto it = inputs_.begin(); it != inputs_.end(); ++it) {
        if ((*it)->get_handle() != handle)
            continue;
        reactor_.remove_handler(it->get(), ACE_Event_Handler::READ_MASK |
                                               ACE_Event_Handler::DONT_CALL);
        // The handler may be running now: destroy it afterwards.
        std::shared_ptr<input_handler> removed(std::move(*it));
        inputs_.erase(it);
        post([removed] {});
        return;
    }
}

void control_loop::on_reload(std::function<void()> reload) {
    reload_ = std::move(reload);
    reactor_.register_handler(SIGHUP, this);
}

void control_loop::on_termination(std::function<void()> stop) {
    stop_ = std::move(stop);
    reactor_.register_handler(SIGTERM, this);
    reactor_.register_handler(SIGINT, this);
}

int control_loop::handle_signal(int signal, siginfo_t*, ucontext_t*) {
    // The signal may interrupt a thread that holds the lock, so the flag is
    // handled on the next tick.
    (signal == SIGHUP ? reload_requested_ : stop_requested_) = true;
    return 0;
}

void control_loop::run() {
    reactor_.owner(ACE_Thread::self());
    reactor_.run_reactor_event_loop();
    if (stop_)
        ignore_signals();
}

void control_loop::ignore_signals() {
    ACE_Sig_Action ignore(SIG_IGN);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        reactor_.remove_handler(signal, &ignore);
}

void control_loop::restart() {
    reactor_.reset_reactor_event_loop();
}

void control_loop::end() {
    reactor_.end_reactor_event_loop();
}

time_point monotonic_now() {
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

time_point boottime_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec))};
}

std::int64_t wall_now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace celerylift::net
