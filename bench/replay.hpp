#pragma once

#include "arrivals.hpp"

#include <celerylift/kernel/cell_state.hpp>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace celerylift::bench {

/// An event in the cell other than an arrival.
struct incident {
    duration at{0};
    std::function<void(struct replay&)> apply;
};

struct replay_settings {
    std::string policy = "shape_aware";
    int fragmentation_weight = 50;
    int workers = 63;
    int accelerators = 8;
    int organisations = 4;
    double guaranteed = 0.5; // Share of the cell covered by guarantees.
};

/// Runs the kernel through arrivals and incidents in virtual time. A stopped
/// gang resumes from its checkpoint.
struct replay {
    kernel::cell_state cell;
    time_point now{};

    struct running_gang {
        std::string job;
        time_point ends_at{};
        bool fails = false;
    };
    struct job_record {
        arrival source;
        duration remaining_run{0};
        time_point arrived_at{};
        time_point started_at{};
        bool has_started = false;
        bool in_guarantee = false;
        std::set<int> failed_on;
        std::uint64_t incarnation = 0; // Of its current gang.
    };

    std::map<std::string, job_record> jobs;
    std::map<kernel::gang_id, running_gang> gangs;
    std::multimap<time_point, std::function<void()>> events;
    std::set<int> bad_workers;

    // Measurements.
    std::array<std::vector<double>, 2> completion_s; // Indexed by urgency.
    std::array<std::vector<double>, 2> wait_s;
    std::vector<double> guaranteed_urgent_wait_s;
    std::vector<double> guaranteed_wait_s;
    std::vector<double> decision_us;
    double fragmentation_time = 0;
    double observed_time = 0;
    time_point last_observed{};
    int failures_on_bad_workers = 0;
    int rejected = 0;
    int unfinished = 0;
    int stopped_gangs = 0;
};

/// Runs until all jobs have ended, at most `limit` beyond the last arrival.
void run_replay(replay& state, const replay_settings& settings,
                const std::vector<arrival>& arrivals,
                const std::vector<incident>& incidents, duration limit);

/// Builds a cell with three workers in each rack and four failure domains.
void build_cell(kernel::cell_state& cell, const replay_settings& settings);

/// Marks all workers of a failure domain as usable or not. Gangs on a domain
/// that becomes unusable stop and their jobs are queued again.
void set_domain_usable(replay& state, int domain, bool usable);

/// Cancels all waiting jobs.
void cancel_waiting(replay& state);

double mean(const std::vector<double>& values);
double quantile(std::vector<double> values, double q);

} // namespace celerylift::bench
