#include <celerylift/fleet/scheduling_policy.hpp>

namespace celerylift::fleet {

const std::vector<std::pair<std::string, bool scheduling_policy::*>>&
policy_switches() {
    using policy = scheduling_policy;
    static const std::vector<std::pair<std::string, bool policy::*>> switches{
        {"order_by_payoff", &policy::order_by_payoff},
        {"keep_rack_for_urgent", &policy::keep_rack_for_urgent},
        {"settle_before_batch", &policy::settle_before_batch},
        {"reserve_for_gangs", &policy::reserve_for_gangs},
        {"backfill", &policy::backfill},
        {"preempt_beyond_guarantee", &policy::preempt_beyond_guarantee},
        {"weigh_earlier_losses", &policy::weigh_earlier_losses},
        {"pause_after_failures", &policy::pause_after_failures},
        {"move_from_slow_servers", &policy::move_from_slow_servers},
        {"evacuate_leaving_servers", &policy::evacuate_leaving_servers},
        {"use_server_speeds", &policy::use_server_speeds},
        {"avoid_risky_servers", &policy::avoid_risky_servers},
        {"share_by_scarcity", &policy::share_by_scarcity},
        {"pack_by_mix", &policy::pack_by_mix},
        {"refuse_by_load", &policy::refuse_by_load},
    };
    return switches;
}

} // namespace celerylift::fleet
