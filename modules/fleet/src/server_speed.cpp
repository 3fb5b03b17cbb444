#include <celerylift/fleet/server_speed.hpp>

#include <algorithm>
#include <cmath>

namespace celerylift::fleet {

namespace {

/// Standard deviation of the logarithm of run times of one step on one server:
/// the tasks of a job differ by 15 to 30 percent.
constexpr double task_deviation = 0.17;

/// Standard deviation that the logarithm of speeds is assumed to have before
/// anything is known.
constexpr double prior_speed_deviation = 0.4;

/// The error of declared run times while a queue's own is not known, and the
/// least that is assumed for any queue.
constexpr double usual_declared_deviation = 0.3;
constexpr double min_declared_deviation = 0.1;
constexpr int min_steps_for_deviation = 4;

/// Deviations beyond this count less: the run was slow for another reason.
constexpr double max_trusted_deviation = 0.4;

/// More change the estimates by less than a percent.
constexpr int iterations = 25;

/// Estimates of a weight above this stay open to change.
constexpr double max_weight = 20;

/// A factor of 20. Runs that take longer are stopped because they stall.
constexpr double max_log_slowness = 3;

/// Two complete runs tell a server from one that is 1.5 times as fast.
constexpr double min_known_weight = 1.5;

/// What servers may differ by without being treated differently, as a
/// logarithm. Less does not decide whether work is in time.
constexpr double ignored_difference = 0.2;

/// A service is uneven if at least this many servers differ, and this share of
/// the known ones: of many servers, a few seem to differ by chance.
constexpr int min_differing_servers = 2;
constexpr double min_differing_share = 0.05;

/// How many standard deviations a planned run time lies above the expected one:
/// about nine servers of ten are no slower than planned.
constexpr double planned_deviations = 1.2;

/// Width of a class of speeds, as a logarithm. Narrower ones would spread work
/// over servers that differ by less than tasks do.
constexpr double class_width = 0.25;

constexpr double square(double x) {
    return x * x;
}

/// The joint estimate while it is being improved.
struct joint_estimate {
    std::vector<double> log_slowness; // By server.
    std::vector<double> log_work;     // By step.
    std::vector<double> queue_bias;   // Log of work to declared time.
    std::vector<double> queue_deviation;
};

double trust(double residual) {
    const auto size = std::abs(residual);
    return size <= max_trusted_deviation ? 1.0 : max_trusted_deviation / size;
}

/// A weighted mean that starts from a prior value.
struct mean {
    double total = 0;
    double weight = 0;

    void add(double value, double its_weight) {
        total += value * its_weight;
        weight += its_weight;
    }
    double value() const { return weight > 0 ? total / weight : 0; }
};

void improve_work(const std::vector<speed_sample>& samples,
                  const std::vector<step_work>& steps, joint_estimate& joint) {
    std::vector<mean> work(steps.size());
    for (std::size_t i = 0; i < steps.size(); ++i)
        if (steps[i].is_declared)
            work[i].add(steps[i].log_declared_ms +
                            joint.queue_bias[steps[i].queue],
                        1 / square(joint.queue_deviation[steps[i].queue]));
    for (const auto& sample : samples) {
        const auto log_work =
            sample.log_run_time - joint.log_slowness[sample.server];
        work[sample.step].add(
            log_work, sample.weight / square(task_deviation) *
                          trust(log_work - joint.log_work[sample.step]));
    }
    for (std::size_t i = 0; i < steps.size(); ++i)
        joint.log_work[i] = work[i].value();
}

void improve_queues(const std::vector<step_work>& steps,
                    joint_estimate& joint) {
    std::vector<mean> bias(joint.queue_bias.size());
    std::vector<mean> variance(joint.queue_bias.size());
    for (std::size_t i = 0; i < steps.size(); ++i)
        if (steps[i].is_declared)
            bias[steps[i].queue].add(
                joint.log_work[i] - steps[i].log_declared_ms, 1);
    for (std::size_t i = 0; i < steps.size(); ++i)
        if (steps[i].is_declared)
            variance[steps[i].queue].add(square(joint.log_work[i] -
                                                steps[i].log_declared_ms -
                                                bias[steps[i].queue].value()),
                                         1);
    for (std::size_t queue = 0; queue < bias.size(); ++queue) {
        joint.queue_bias[queue] = bias[queue].value();
        if (variance[queue].weight >= min_steps_for_deviation)
            joint.queue_deviation[queue] = std::max(
                min_declared_deviation, std::sqrt(variance[queue].value()));
    }
}

void improve_speeds(const std::vector<speed_sample>& samples,
                    const std::vector<speed_estimate>& earlier,
                    joint_estimate& joint) {
    std::vector<mean> speeds(earlier.size());
    for (std::size_t i = 0; i < earlier.size(); ++i) {
        speeds[i].add(0, 1 / square(prior_speed_deviation));
        speeds[i].add(earlier[i].log_slowness,
                      earlier[i].weight / square(task_deviation));
    }
    for (const auto& sample : samples) {
        const auto slowness = sample.log_run_time - joint.log_work[sample.step];
        speeds[sample.server].add(
            slowness, sample.weight / square(task_deviation) *
                          trust(slowness - joint.log_slowness[sample.server]));
    }
    for (std::size_t i = 0; i < earlier.size(); ++i)
        joint.log_slowness[i] = speeds[i].value();
}

double deviation_of(const speed_estimate& estimate) {
    return 1 / std::sqrt(1 / square(prior_speed_deviation) +
                         estimate.weight / square(task_deviation));
}

} // namespace

std::vector<speed_estimate>
estimate_speeds(const std::vector<speed_sample>& samples,
                const std::vector<step_work>& steps,
                const std::vector<speed_estimate>& earlier) {
    std::size_t queues = 0;
    for (const auto& step : steps)
        queues = std::max(queues, step.queue + 1);
    joint_estimate joint{std::vector<double>(earlier.size()),
                         std::vector<double>(steps.size()),
                         std::vector<double>(queues),
                         std::vector<double>(queues, usual_declared_deviation)};
    for (std::size_t i = 0; i < earlier.size(); ++i)
        joint.log_slowness[i] = earlier[i].log_slowness;
    for (std::size_t i = 0; i < steps.size(); ++i)
        joint.log_work[i] = steps[i].log_declared_ms;
    for (int i = 0; i < iterations; ++i) {
        improve_work(samples, steps, joint);
        improve_queues(steps, joint);
        improve_speeds(samples, earlier, joint);
    }
    std::vector<double> step_weights(steps.size());
    for (const auto& sample : samples)
        step_weights[sample.step] += sample.weight;
    std::vector<speed_estimate> result(earlier.size());
    for (std::size_t i = 0; i < earlier.size(); ++i)
        result[i] = {joint.log_slowness[i], earlier[i].weight};
    // A run counts by what the other runs of its step tell about the work.
    for (const auto& sample : samples) {
        const auto others = step_weights[sample.step] - sample.weight;
        result[sample.server].weight += sample.weight * others / (others + 1);
    }
    for (auto& estimate : result)
        estimate.weight = std::min(estimate.weight, max_weight);
    return result;
}

double weight_of_progress(int percents) {
    if (percents <= 0)
        return 0;
    return square(task_deviation) /
           (square(task_deviation) + 1 / square(percents));
}

bool is_plausible(const speed_estimate& estimate) {
    return std::isfinite(estimate.log_slowness) &&
           std::abs(estimate.log_slowness) <= max_log_slowness &&
           estimate.weight > 0 && estimate.weight <= max_weight;
}

bool is_known(const speed_estimate& estimate) {
    return estimate.weight >= min_known_weight;
}

bool differs(const speed_estimate& estimate) {
    return is_known(estimate) &&
           std::abs(estimate.log_slowness) >
               ignored_difference + 2 * deviation_of(estimate);
}

speed_distribution distribution_of(const std::vector<speed_estimate>& servers,
                                   bool was_uneven) {
    mean variance;
    int known = 0;
    int differing = 0;
    for (const auto& server : servers) {
        if (!is_known(server))
            continue;
        variance.add(square(server.log_slowness), 1);
        ++known;
        differing += differs(server) ? 1 : 0;
    }
    const int needed =
        std::max(min_differing_servers,
                 static_cast<int>(std::ceil(min_differing_share * known)));
    return {differing >= (was_uneven ? needed / 2 : needed),
            std::sqrt(variance.value()), known, differing};
}

double slowest_expected(const speed_distribution& service) {
    return std::exp(2 * service.log_spread);
}

double planned_slowness(const speed_estimate& estimate,
                        const speed_distribution& service) {
    if (!service.is_uneven)
        return 1.0;
    const auto deviation =
        1 / std::sqrt(1 / square(service.log_spread) +
                      estimate.weight / square(task_deviation));
    return std::exp(estimate.log_slowness + planned_deviations * deviation);
}

double expected_slowness(const speed_estimate& estimate,
                         const speed_distribution& service) {
    return service.is_uneven ? std::exp(estimate.log_slowness) : 1.0;
}

int speed_class(double slowness) {
    return static_cast<int>(std::floor(std::log(slowness) / class_width));
}

} // namespace celerylift::fleet
