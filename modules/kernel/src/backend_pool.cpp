#include <celerylift/kernel/backend_pool.hpp>

#include <celerylift/kernel/random.hpp>
#include <celerylift/mutant.hpp>

#include <cassert>

namespace celerylift::kernel {

void update_backend(backend_pool& pool, const backend& spec, bool leaving) {
    auto& b = pool.backends[spec.id];
    if (!b.spec.service.empty() && b.spec.service != spec.service)
        pool.by_service[b.spec.service].erase(spec.id);
    b.spec = spec;
    b.leaving = leaving;
    b.unresponsive = false;
    pool.by_service[spec.service].insert(spec.id);
}

void set_backend_unresponsive(backend_pool& pool, const std::string& id,
                              bool unresponsive) {
    if (auto it = pool.backends.find(id); it != pool.backends.end())
        it->second.unresponsive = unresponsive;
}

void set_backend_draining(backend_pool& pool, const std::string& id,
                          bool draining) {
    if (auto it = pool.backends.find(id); it != pool.backends.end())
        it->second.draining = draining;
}

namespace {

bool ready(const backend_state& b, time_point now) {
    const bool leaving = b.leaving && !is_mutant("use-leaving-servers");
    if (leaving || b.draining || b.unresponsive || b.used >= b.spec.slots)
        return false;
    return !b.open_until || *b.open_until <= now;
}

int free_slots(const backend_state& b) {
    return b.spec.slots - b.used;
}

} // namespace

std::optional<std::string> take_slot(backend_pool& pool,
                                     const std::string& service,
                                     std::uint64_t& random, time_point now) {
    auto ids = pool.by_service.find(service);
    if (ids == pool.by_service.end())
        return std::nullopt;
    std::vector<backend_state*> candidates;
    for (const auto& id : ids->second) {
        auto& b = pool.backends.at(id);
        if (ready(b, now))
            candidates.push_back(&b);
    }
    if (candidates.empty())
        return std::nullopt;
    auto* first = candidates[next_random(random) % candidates.size()];
    auto* second = candidates[next_random(random) % candidates.size()];
    auto* best = free_slots(*second) > free_slots(*first) ? second : first;
    ++best->used;
    return best->spec.id;
}

void adopt_slot(backend_pool& pool, const std::string& id) {
    ++pool.backends[id].used;
}

void return_slot(backend_pool& pool, const std::string& id, slot_use use,
                 time_point now) {
    auto it = pool.backends.find(id);
    if (it == pool.backends.end())
        return;
    auto& b = it->second;
    assert(b.used > 0);
    --b.used;
    if (use == slot_use::untouched)
        return;
    if (use == slot_use::succeeded) {
        b.failures = 0;
        b.open_until.reset();
        return;
    }
    if (++b.failures >= breaker_failures)
        b.open_until = now + breaker_pause;
}

bool knows_service(const backend_pool& pool, const std::string& service) {
    auto it = pool.by_service.find(service);
    return it != pool.by_service.end() && !it->second.empty();
}

} // namespace celerylift::kernel
