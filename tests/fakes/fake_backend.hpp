#pragma once

#include <celerylift/protocol/platform_calls.hpp>

#include <map>
#include <string>
#include <vector>

namespace celerylift::fakes {

/// What the backend server answers to a request: made from its id and
/// payload, so that a crossed answer is noticed.
std::string answer_for(const std::string& job, const std::string& payload);

/// How long it works on a request whose payload holds `work_ms=N`.
duration work_of(const std::string& payload);

/// A backend server that counts how often it executed each job.
class fake_backend {
public:
    /// Executes the request and returns when and with what it answers.
    struct execution {
        std::string answer;
        duration takes{0};
    };

    execution execute(const std::string& job, const std::string& payload,
                      time_point now = {});

    /// When the last request arrived.
    time_point last_request() const { return last_request_; }

    int executions(const std::string& job) const;
    const std::map<std::string, int>& all_executions() const {
        return executions_;
    }

private:
    std::map<std::string, int> executions_;
    time_point last_request_{};
};

} // namespace celerylift::fakes
