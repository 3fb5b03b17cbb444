#pragma once

#include <celerylift/error.hpp>
#include <celerylift/time.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace celerylift::fleet {

/// A queue that callers submit jobs to, and how its jobs are scheduled.
struct queue_config {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service;
    int priority = 0; // 0 is the highest and may preempt others.
    int max_attempts = 1;
    /// A job is due `stretch` times its own run time, plus this allowance,
    /// after it was submitted.
    double stretch = 1.0;
    duration allowance{0};
    bool is_public = false;
    bool needs_advice = false;

    bool operator==(const queue_config&) const = default;
};

/// The terms of a queue as they are kept with its jobs.
QueueTerms to_record(const queue_config& queue);
queue_config from_record(const QueueTerms& terms, const std::string& name);

struct service_config {
    std::string name;
    bool enforces_capacity = false;

    bool operator==(const service_config&) const = default;
};

struct organisation_config {
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteed_accelerators = 0;

    bool operator==(const organisation_config&) const = default;
};

struct limits_config {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 256UL * 1024;
    duration idle_timeout{15'000};

    bool operator==(const limits_config&) const = default;
};

/// One version of the operators' configuration.
struct fleet_config {
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<service_config> services;
    std::vector<organisation_config> organisations;
    limits_config limits;

    bool operator==(const fleet_config&) const = default;
};

/// Decodes a configuration from its text in the store.
using config_decoder =
    std::function<result<fleet_config>(const std::string& text)>;

/// The queue of the host with the longest matching path prefix, or null.
const queue_config* find_queue(const fleet_config& config,
                               const std::string& host,
                               const std::string& path);
const queue_config* find_queue(const fleet_config& config,
                               const std::string& name);

/// The organisation that an API key belongs to, or null.
const organisation_config* find_organisation_by_key(const fleet_config& config,
                                                    const std::string& key);
const organisation_config* find_organisation(const fleet_config& config,
                                             const std::string& name);

} // namespace celerylift::fleet
