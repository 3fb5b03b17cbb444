#pragma once

#include <celerylift/base/timer_service.hpp>
#include <celerylift/fleet/runtime.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace celerylift::test {

/// One process in virtual time, with its timers, journal and metrics. Events
/// that are scheduled for a process are dropped once it has ended.
class virtual_process {
public:
    virtual_process(const std::string& name, const time_point& now,
                    std::vector<std::string>& log)
        : journal(
              name, [&now] { return now.time_since_epoch().count(); },
              [&log](std::string line) { log.push_back(std::move(line)); }),
          runtime{timers, [&now] { return now; },
                  [&now] { return now.time_since_epoch().count(); }, journal,
                  metrics} {}

    std::weak_ptr<int> liveness() const { return liveness_; }

    /// While a process is paused its timers do not run, and events for it wait
    /// until it resumes. Its clock advances meanwhile.
    void pause() { *liveness_ = 1; }
    void resume() { *liveness_ = 0; }
    bool is_paused() const { return *liveness_ != 0; }

    base::timer_service timers;
    base::journal journal;
    base::metrics metrics;
    fleet::runtime runtime;

private:
    std::shared_ptr<int> liveness_ = std::make_shared<int>(0);
};

/// A discrete-event simulation. Events run in order of time, and events of the
/// same time in order of scheduling.
class simulation {
public:
    time_point now{duration{1'000'000}};
    std::vector<std::string> log; // Journal lines of all processes.

    void after(duration delay, std::function<void()> event) {
        events_.once(now + delay,
                     [event = std::move(event)](time_point) { event(); });
    }

    /// Runs an event if a process is still alive when it is due. If the process
    /// is paused then, the event waits until it resumes.
    void after(duration delay, std::weak_ptr<int> liveness,
               std::function<void()> event) {
        after(delay,
              [this, liveness = std::move(liveness), event = std::move(event)] {
                  const auto alive = liveness.lock();
                  if (alive && *alive == 0)
                      event();
                  else if (alive)
                      after(duration{1}, liveness, event);
              });
    }

    void add(virtual_process* process) { processes_.push_back(process); }
    void remove(virtual_process* process) { std::erase(processes_, process); }

    void run_for(duration time) {
        const auto end = now + time;
        while (now < end) {
            now += duration{1};
            events_.advance(now);
            // A process may remove another one while its timers run.
            const auto running = processes_;
            for (auto* process : running)
                if (std::find(processes_.begin(), processes_.end(), process) !=
                        processes_.end() &&
                    !process->is_paused())
                    process->timers.advance(now);
        }
    }

    /// Runs until a condition holds or a limit has passed. Returns whether the
    /// condition holds.
    bool run_until(const std::function<bool()>& condition, duration limit) {
        const auto end = now + limit;
        while (now < end && !condition())
            run_for(duration{5});
        return condition();
    }

private:
    base::timer_service events_;
    std::vector<virtual_process*> processes_;
};

} // namespace celerylift::test
