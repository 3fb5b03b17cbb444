// The timers of a process wake it when they are due, not at its next tick.
#include <celerylift/base/timer_service.hpp>
#include <celerylift/net/control_loop.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace celerylift::test {

namespace {

using base::timer_service;

time_point at(int ms) {
    return time_point{duration{ms}};
}

} // namespace

TEST(timer_service, reports_a_call_that_is_due_before_all_others) {
    timer_service timers;
    std::vector<time_point> sooner;
    timers.on_earlier_timer([&](time_point t) { sooner.push_back(t); });
    timers.once(at(50), [](time_point) {});
    timers.once(at(80), [](time_point) {});
    timers.once(at(20), [](time_point) {});
    EXPECT_EQ(sooner, (std::vector{at(50), at(20)}));
}

TEST(control_loop, runs_an_alarm_once_and_drops_one_that_is_replaced) {
    net::control_loop loop;
    int replaced = 0;
    int runs = 0;
    loop.set_alarm(duration{1}, [&] { ++replaced; });
    loop.set_alarm(duration{5}, [&] {
        ++runs;
        loop.set_alarm(duration{5}, [&] {
            ++runs;
            loop.end();
        });
    });
    loop.run();
    EXPECT_EQ(runs, 2);
    EXPECT_EQ(replaced, 0);
}

} // namespace celerylift::test
