#pragma once

#include <api.pb.h>

namespace celerylift::protocol {

/// Whether a job in this state has ended for good.
inline bool is_ended(v1::JobState state) {
    return state >= v1::ANSWERED;
}

} // namespace celerylift::protocol
