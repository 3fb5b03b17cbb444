#include <celerylift/fleet/config.hpp>

#include <algorithm>

namespace celerylift::fleet {

QueueTerms to_record(const queue_config& queue) {
    QueueTerms terms;
    terms.set_service(queue.service);
    terms.set_priority(queue.priority);
    terms.set_max_attempts(queue.max_attempts);
    terms.set_stretch(queue.stretch);
    terms.set_allowance_ms(queue.allowance.count());
    terms.set_host(queue.host);
    terms.set_path_prefix(queue.path_prefix);
    return terms;
}

queue_config from_record(const QueueTerms& terms, const std::string& name) {
    return {name,
            terms.host(),
            terms.path_prefix(),
            terms.service(),
            terms.priority(),
            terms.max_attempts(),
            terms.stretch(),
            duration{terms.allowance_ms()}};
}

const queue_config* find_queue(const fleet_config& config,
                               const std::string& host,
                               const std::string& path) {
    const queue_config* best = nullptr;
    for (const auto& queue : config.queues) {
        if (queue.host != host || !path.starts_with(queue.path_prefix))
            continue;
        if (!best || queue.path_prefix.size() > best->path_prefix.size())
            best = &queue;
    }
    return best;
}

const queue_config* find_queue(const fleet_config& config,
                               const std::string& name) {
    const auto it = std::ranges::find(config.queues, name, &queue_config::name);
    return it == config.queues.end() ? nullptr : &*it;
}

const organisation_config* find_organisation_by_key(const fleet_config& config,
                                                    const std::string& key) {
    for (const auto& organisation : config.organisations)
        if (std::ranges::find(organisation.keys, key) !=
            organisation.keys.end())
            return &organisation;
    return nullptr;
}

const organisation_config* find_organisation(const fleet_config& config,
                                             const std::string& name) {
    const auto it = std::ranges::find(config.organisations, name,
                                      &organisation_config::name);
    return it == config.organisations.end() ? nullptr : &*it;
}

} // namespace celerylift::fleet
