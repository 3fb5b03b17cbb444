#pragma once

#include <compare>
#include <cstddef>
#include <vector>

/// Addresses services whose servers run at persistently different speeds that
/// nothing reports: gangs are as slow as their slowest member, and urgent work
/// has less slack than the servers differ by.
namespace celerylift::fleet {

/// How long tasks take on a server, relative to the servers of its service.
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
    std::size_t queue = 0; // An index from 0 on.
    bool is_declared = false;
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

/// Whether a received estimate is finite and within the range of real ones.
bool is_plausible(const speed_estimate& estimate);

/// Whether the speed of a server is known well enough to be acted on.
bool is_known(const speed_estimate& estimate);

/// Whether a server differs from the average by more than its tasks may.
bool differs(const speed_estimate& estimate);

/// What is known of the speeds of a service's servers as a whole.
struct speed_distribution {
    /// Several servers differ. While false, speeds influence no decision.
    bool is_uneven = false;
    /// The standard deviation of the logarithm over the known servers.
    double log_spread = 0;
    int known = 0;
    int differing = 0;

    auto operator<=>(const speed_distribution&) const = default;
};

/// `was_uneven` makes it take fewer differing servers to remain uneven.
speed_distribution distribution_of(const std::vector<speed_estimate>& servers,
                                   bool was_uneven = false);

/// The factor that few servers of a service exceed.
double slowest_expected(const speed_distribution& service);

/// The factor that a server's run times are planned with. It includes the
/// uncertainty of the estimate, so that a server of unknown speed ranks behind
/// an average one. 1 while the service is not uneven.
double planned_slowness(const speed_estimate& estimate,
                        const speed_distribution& service);

/// The expected factor of a server, without its uncertainty. 1 while the
/// service is not uneven.
double expected_slowness(const speed_estimate& estimate,
                         const speed_distribution& service);

/// The class of servers that placement regards as equally fast.
int speed_class(double slowness);

} // namespace celerylift::fleet
