#include "fake_backend.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace celerylift::fakes {

namespace {
constexpr duration default_work{10};
}

std::string answer_for(const std::string& job, const std::string& payload) {
    return fmt::format("{}: {:016x}", job,
                       XXH3_64bits(payload.data(), payload.size()));
}

duration work_of(const std::string& payload) {
    const auto at = payload.find("work_ms=");
    if (at == std::string::npos)
        return default_work;
    return duration{std::atoll(payload.c_str() + at + 8)};
}

fake_backend::execution fake_backend::execute(const std::string& job,
                                              const std::string& payload,
                                              time_point now) {
    ++executions_[job];
    last_request_ = now;
    return {answer_for(job, payload), work_of(payload)};
}

int fake_backend::executions(const std::string& job) const {
    auto it = executions_.find(job);
    return it == executions_.end() ? 0 : it->second;
}

} // namespace celerylift::fakes
