#pragma once

#include <api.pb.h>

namespace celerylift::protocol {

/// Whether `state` is terminal.
inline bool is_ended(v1::JobState state) {
    return state >= v1::ANSWERED;
}

} // namespace celerylift::protocol
