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

/// What happens to the cell besides arrivals.
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
    double guaranteed = 0.5; // Share of the cell under guarantees.
};

/// Drives the kernel through arrivals and incidents in virtual time. A gang
/// that is stopped goes on from its checkpoint.
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
        duration remaining_run{0}; // Run time that remains.
        time_point arrived_at{};
        time_point started_at{};
        bool has_started = false;
        bool in_guarantee = false;
        std::set<int> failed_on;
        std::uint64_t incarnation = 0; // Of its present gang.
    };

    std::map<std::string, job_record> jobs;
    std::map<kernel::gang_id, running_gang> gangs;
    std::multimap<time_point, std::function<void()>> events;
    std::set<int> bad_workers;

    // What is measured.
    std::array<std::vector<double>, 2> completion_s; // By urgency.
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

/// Runs everything to its end, or for at most `limit` after the last arrival.
void run_replay(replay& state, const replay_settings& settings,
                const std::vector<arrival>& arrivals,
                const std::vector<incident>& incidents, duration limit);

/// Builds a cell: three workers to a rack, four failure domains.
void build_cell(kernel::cell_state& cell, const replay_settings& settings);

void set_domain_usable(replay& state, int domain, bool usable);
void cancel_waiting(replay& state);

double mean(const std::vector<double>& values);
double quantile(std::vector<double> values, double q);

} // namespace celerylift::bench
