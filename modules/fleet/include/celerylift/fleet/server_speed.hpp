#pragma once

#include <compare>
#include <cstddef>
#include <vector>

/// Answers the load of a service whose servers run at persistently different
/// speeds although nothing reports it: gangs are as slow as their slowest
/// member, and urgent work has less slack than the servers differ by.
namespace celerylift::fleet {

/// How long tasks take on a server beside the servers of its cell.
struct speed_estimate {
    /// Natural logarithm of the factor: 0 for an average server, positive for
    /// a slow one.
    double log_slowness = 0;
    /// For how many complete runs the estimate counts; 0 where nothing is
    /// known.
    double weight = 0;

    auto operator<=>(const speed_estimate&) const = default;
};

/// A run of one task, complete or projected from its progress. The tasks of a
/// step have about the same amount of work.
struct speed_sample {
    std::size_t server = 0; // An index from 0 on, as is the step.
    std::size_t step = 0;
    double log_run_time = 0; // Natural logarithm of the milliseconds.
    double weight = 1;       // 1 for a complete run.

    auto operator<=>(const speed_sample&) const = default;
};

/// What is known of a step's work besides its runs.
struct step_work {
    std::size_t queue = 0;      // An index from 0 on.
    double log_declared_ms = 0; // Natural logarithm of the declared run time.

    auto operator<=>(const step_work&) const = default;
};

/// Estimates the speeds of all servers together with the work of all steps, so
/// that steps which share no server are compared through their declared run
/// times, each queue with its own error. `earlier` holds what is known of each
/// server from before the samples. Runs that do not fit the others count less.
std::vector<speed_estimate>
estimate_speeds(const std::vector<speed_sample>& samples,
                const std::vector<step_work>& steps,
                const std::vector<speed_estimate>& earlier);

/// The weight of a sample that is projected from the progress of a run, which
/// is reported in whole percents.
double weight_of_progress(int percents);

/// Whether an estimate that was received can be one: anything may arrive.
bool is_plausible(const speed_estimate& estimate);

/// Whether the speed of a server is known well enough to be acted on.
bool is_known(const speed_estimate& estimate);

/// Whether a server differs from the average by more than its tasks may.
bool differs(const speed_estimate& estimate);

/// What is known of the speeds of a cell's servers as a whole.
struct speed_distribution {
    /// Several servers differ. While false, speeds influence no decision.
    bool is_uneven = false;
    /// The standard deviation of the logarithm over the known servers.
    double log_spread = 0;

    auto operator<=>(const speed_distribution&) const = default;
};

speed_distribution distribution_of(const std::vector<speed_estimate>& servers);

/// The factor that a server's run times are planned with. It includes the
/// uncertainty of the estimate, so that a server of unknown speed ranks behind
/// an average one. 1 while the cell is not uneven.
double planned_slowness(const speed_estimate& estimate,
                        const speed_distribution& cell);

/// The expected factor of a server, without its uncertainty. 1 while the cell
/// is not uneven.
double expected_slowness(const speed_estimate& estimate,
                         const speed_distribution& cell);

/// The class of servers that placement regards as equally fast.
int speed_class(double slowness);

} // namespace celerylift::fleet
