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

/// The event loop of the thread that owns a process's control state: an ACE
/// reactor with timers, signals and work posted by other threads.
class control_loop : public ACE_Event_Handler {
public:
    control_loop();
    ~control_loop() override;
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Runs `work` on the loop's thread. May be called from any thread.
    void post(std::function<void()> work);

    /// Calls `tick` every `period`. Call it once. Each tick also runs the
    /// handlers of signals that have arrived.
    void every(duration period, std::function<void()> tick);

    /// Calls `callback` once after `delay`. Replaces a pending alarm.
    void set_alarm(duration delay, std::function<void()> callback);

    /// Calls `input` whenever the descriptor becomes readable.
    void watch(ACE_HANDLE handle, std::function<void()> input);

    /// Reverts watch(). May be called from the handler that is running.
    void unwatch(ACE_HANDLE handle);

    /// The reactor, for classes that register their own handlers.
    ACE_Reactor& ace_reactor() { return reactor_; }

    /// Calls `reload` on SIGHUP.
    void on_reload(std::function<void()> reload);

    /// Calls `stop` on SIGTERM and SIGINT. Once run() has returned, a process
    /// that has called this ignores both, so that a signal that is repeated
    /// does not cut its end short.
    void on_termination(std::function<void()> stop);

    /// Runs the loop on the calling thread until end() is called.
    void run();
    void end();

    /// Allows another run() after end().
    void restart();

    int handle_exception(ACE_HANDLE handle) override;
    int handle_timeout(const ACE_Time_Value& now, const void* arg) override;
    int handle_signal(int signal, siginfo_t* info,
                      ucontext_t* context) override;

private:
    class input_handler;

    void run_posted();
    void ignore_signals();

    // Timers use the monotonic clock, because the time of day can jump.
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

/// The current time of the monotonic clock.
time_point monotonic_now();

/// The current time of a monotonic clock that also advances while the host is
/// suspended.
time_point boottime_now();

/// Milliseconds since 1970-01-01 UTC, for display only.
std::int64_t wall_now_ms();

} // namespace celerylift::net
