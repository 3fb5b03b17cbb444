#include <celerylift/kernel/policy.hpp>

namespace celerylift::kernel {

namespace {

std::map<std::string, policy>& registry() {
    static std::map<std::string, policy> policies;
    return policies;
}

} // namespace

policy_registration::policy_registration(const policy& p) {
    registry().emplace(p.name, p);
}

const policy* find_policy(const std::string& name) {
    auto it = registry().find(name);
    return it == registry().end() ? nullptr : &it->second;
}

std::vector<std::string> policy_names() {
    std::vector<std::string> names;
    for (const auto& [name, p] : registry())
        names.push_back(name);
    return names;
}

} // namespace celerylift::kernel
