#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celerylift::kernel {

/// A backend server as reported by its agent.
struct backend {
    std::string id;
    std::string service;
    std::string agent;
    int slots = 0;

    bool operator==(const backend&) const = default;
};

/// Consecutive failures after which the circuit breaker excludes a backend
/// server for `breaker_pause`.
constexpr int breaker_failures = 3;
constexpr duration breaker_pause{5000};

struct backend_state {
    backend spec;
    int used = 0;
    bool leaving = false;
    bool draining = false;
    bool unresponsive = false;
    int failures = 0;
    std::optional<time_point> open_until; // Circuit breaker.
};

struct backend_pool {
    std::map<std::string, backend_state> backends;
    std::map<std::string, std::set<std::string>> by_service;
};

/// Adds a backend server or updates it from a new report.
void update_backend(backend_pool& pool, const backend& spec, bool leaving);

void set_backend_unresponsive(backend_pool& pool, const std::string& id,
                              bool unresponsive);
void set_backend_draining(backend_pool& pool, const std::string& id,
                          bool draining);

/// Picks two backend servers at random and takes a slot on the one with more
/// free slots. Returns nothing if no available server has a free slot.
std::optional<std::string> take_slot(backend_pool& pool,
                                     const std::string& service,
                                     std::uint64_t& random, time_point now);

/// Counts a slot that is already in use, after a change of owner.
void adopt_slot(backend_pool& pool, const std::string& id);

/// What the use of a slot says about its backend server: nothing if it is
/// `untouched`, because the gang did not start or was stopped.
enum class slot_use { untouched, succeeded, failed };

/// Returns a slot. A failure counts towards the circuit breaker of the backend
/// server.
void return_slot(backend_pool& pool, const std::string& id, slot_use use,
                 time_point now);

/// Whether the pool knows a backend server of the service.
bool knows_service(const backend_pool& pool, const std::string& service);

} // namespace celerylift::kernel
