#pragma once

#include "virtual_fleet.hpp"

#include <functional>
#include <string>
#include <vector>

namespace celerylift::test {

/// A fault that is injected for a time.
struct fault {
    std::string name;
    std::function<void(virtual_fleet&)> begin;
    std::function<void(virtual_fleet&)> end;
    duration active_time{2500};
};

std::vector<fault> all_faults();

/// Times at which a fault can begin, in milliseconds after the first job is
/// submitted: while jobs are stored, started, running, ending and acknowledged.
inline constexpr int fault_times_ms[] = {0,   2,   5,   9,   14,   40,
                                         250, 395, 405, 800, 1200, 2500};

/// Five jobs of two organisations: single tasks, gangs, a chain of steps,
/// urgent and long jobs.
struct scenario {
    virtual_fleet& fleet;
    std::vector<std::string> submitted;

    void begin();
    /// Runs until all jobs have completed, for a minute at most. Submits jobs
    /// again that were lost, as the platform's callers do.
    void finish();
    /// Invariant violations, and jobs that have not completed.
    std::vector<std::string> violations() const;

private:
    void submit(const fleet::Submission& job, const std::string& key,
                const std::string& path);
    bool is_over() const;
};

/// How many log lines from one on have this event and an agent of a failure
/// domain, as the process or the agent concerned.
int count_events(const virtual_fleet& fleet, std::size_t first_line,
                 const std::string& event, const std::string& domain);

/// Takes a failure domain out of service while a queue waits. Returns how many
/// tasks the owner assigns there from a second later on.
int assign_out_of_service();

/// Takes a failure domain out of service between the sending of orders to its
/// agents and their arrival. Returns how many of them are carried out.
int start_delayed_orders();

void restart_entries(virtual_fleet& fleet);
void restart_agents(virtual_fleet& fleet);

/// Runs the scenario with one fault. Returns the invariant violations.
std::vector<std::string> run_scenario(virtual_fleet& fleet,
                                      const fault& injected, int begin_ms);

} // namespace celerylift::test
