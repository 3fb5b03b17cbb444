#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celerylift::kernel {

/// A backend server as its agent reports it.
struct backend {
    std::string id;
    std::string service;
    std::string agent;
    int slots = 0;

    bool operator==(const backend&) const = default;
};

/// Failures in a row after which a backend server is left alone for a while.
constexpr int breaker_failures = 3;
constexpr duration breaker_pause{5000};

struct backend_state {
    backend spec;
    int used = 0;
    bool leaving = false;
    bool draining = false;
    bool silent = false;
    int failures = 0;
    std::optional<time_point> open_until; // Breaker.
};

struct backend_pool {
    std::map<std::string, backend_state> backends;
    std::map<std::string, std::set<std::string>> by_service;
};

/// Adds a backend server or takes over its new report.
void update_backend(backend_pool& pool, const backend& spec, bool leaving);

void set_backend_silent(backend_pool& pool, const std::string& id, bool silent);
void set_backend_draining(backend_pool& pool, const std::string& id,
                          bool draining);

/// Takes a slot on one of two backend servers picked at random, the one with
/// more free slots. Returns nothing where no ready one has a free slot.
std::optional<std::string> take_slot(backend_pool& pool,
                                     const std::string& service,
                                     std::uint64_t& random, time_point now);

/// Counts a slot that is in use already, after a change of owner.
void adopt_slot(backend_pool& pool, const std::string& id);

/// What became of a slot that was taken.
enum class slot_use { untouched, succeeded, failed };

/// Returns a slot; a failure counts towards the backend server's breaker.
void return_slot(backend_pool& pool, const std::string& id, slot_use use,
                 time_point now);

/// Whether any backend server of the service has announced itself.
bool knows_service(const backend_pool& pool, const std::string& service);

} // namespace celerylift::kernel
