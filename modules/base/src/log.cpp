#include <celerylift/base/log.hpp>

#include <chrono>
#include <cstdio>

namespace celerylift::base {

void log_line(std::string_view process, std::string_view line) {
    using namespace std::chrono;
    const auto ms =
        duration_cast<milliseconds>(system_clock::now().time_since_epoch())
            .count();
    fmt::print(stderr, "{}.{:03} {} {}\n", ms / 1000, ms % 1000, process, line);
}

} // namespace celerylift::base
