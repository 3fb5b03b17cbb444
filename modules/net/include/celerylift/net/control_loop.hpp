#pragma once

#include <celerylift/time.hpp>

#include <ace/Event_Handler.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Reactor.h>
#include <ace/TP_Reactor.h>
#include <ace/Timer_Heap_T.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace celerylift::net {

/// The thread that owns a process's control state: an ACE reactor with its
/// timer, its signals and the work that other threads hand to it.
class control_loop : public ACE_Event_Handler {
public:
    control_loop();
    ~control_loop() override;
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Runs `work` on the loop's thread. May be called from any thread.
    void post(std::function<void()> work);

    /// Calls `tick` every `period`.
    void every(duration period, std::function<void()> tick);

    /// Calls `callback` once after `delay`, in place of an earlier alarm that
    /// has not rung yet.
    void set_alarm(duration delay, std::function<void()> callback);

    /// Calls `input` whenever the descriptor becomes readable.
    void watch(ACE_HANDLE handle, std::function<void()> input);

    /// Ends what watch() began.
    void unwatch(ACE_HANDLE handle);

    /// For parts that register handlers of their own.
    ACE_Reactor& ace_reactor() { return reactor_; }

    /// Calls `reload` on SIGHUP.
    void on_reload(std::function<void()> reload);

    /// Calls `stop` on SIGTERM and SIGINT.
    void on_termination(std::function<void()> stop);

    /// Runs until end() is called.
    void run();
    void end();

    /// Lets run() be called again after end().
    void restart();

    int handle_exception(ACE_HANDLE handle) override;
    int handle_timeout(const ACE_Time_Value& now, const void* arg) override;
    int handle_signal(int signal, siginfo_t* info,
                      ucontext_t* context) override;

private:
    class input_handler;

    void run_posted();

    // Timers by a clock that isn't set: the time of day may jump.
    using monotonic_timers =
        ACE_Timer_Heap_T<ACE_Event_Handler*,
                         ACE_Event_Handler_Handle_Timeout_Upcall,
                         ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;
    monotonic_timers timers_;
    ACE_TP_Reactor reactor_implementation_;
    ACE_Reactor reactor_;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
    std::function<void()> tick_;
    std::function<void()> stop_;
    std::function<void()> reload_;
    std::vector<std::unique_ptr<input_handler>> inputs_;
    std::atomic<bool> stop_requested_ = false;
    std::atomic<bool> reload_requested_ = false;
    long tick_timer_ = -1;
    std::function<void()> alarm_callback_;
    long alarm_timer_ = -1;
};

/// Now, by a clock that is not set back.
time_point monotonic_now();

/// Now, by a clock that also counts while the host is suspended.
time_point boottime_now();

/// Milliseconds since 1970, for people to read.
std::int64_t wall_now_ms();

} // namespace celerylift::net
