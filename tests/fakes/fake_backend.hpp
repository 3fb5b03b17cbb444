#pragma once

#include <celerylift/protocol/platform_calls.hpp>

#include <map>
#include <string>
#include <vector>

namespace celerylift::fakes {

/// The answer to a request. It depends on the job id and the payload, so that
/// an answer delivered to the wrong caller is detected.
std::string answer_for(const std::string& job, const std::string& payload);

/// The processing time of a request, from `work_ms=N` in its payload.
duration work_of(const std::string& payload);

/// A backend server that counts the executions of each job.
class fake_backend {
public:
    /// The answer to an executed request and its processing time.
    struct execution {
        std::string answer;
        duration takes{0};
    };

    execution execute(const std::string& job, const std::string& payload,
                      time_point now = {});

    /// Arrival time of the last request.
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
