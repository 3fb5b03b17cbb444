// The event loop of a process and its signals.
#include <celerylift/net/control_loop.hpp>

#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <memory>
#include <thread>

namespace celerylift::test {

namespace {

constexpr duration time_to_end{100};
constexpr int max_signals = 5000;

/// A process that ends on SIGTERM and takes some time for it.
[[noreturn]] void run_process(int ready) {
    auto loop = std::make_unique<net::control_loop>();
    loop->every(duration{10}, [] {});
    loop->on_termination([&] { loop->end(); });
    if (write(ready, "r", 1) != 1)
        _exit(1);
    loop->run();
    std::this_thread::sleep_for(time_to_end);
    loop.reset();
    std::this_thread::sleep_for(time_to_end);
    _exit(0);
}

} // namespace

// A SIGTERM that was repeated ended a process that was about to end: its
// handler was gone by then.
TEST(process, that_ends_on_sigterm_is_not_killed_by_the_next_one) {
    int ready[2];
    ASSERT_EQ(pipe(ready), 0);
    const pid_t child = fork();
    ASSERT_GE(child, 0);
    if (child == 0)
        run_process(ready[1]);
    char byte = 0;
    ASSERT_EQ(read(ready[0], &byte, 1), 1);
    int status = 0;
    for (int n = 0; n < max_signals && waitpid(child, &status, WNOHANG) == 0;
         ++n) {
        kill(child, SIGTERM);
        std::this_thread::sleep_for(duration{1});
    }
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

} // namespace celerylift::test
