#pragma once

#include <fleet.pb.h>

#include <compare>
#include <cstdint>

namespace celerylift::fleet {

/// Resources that a backend server offers or that a task needs.
struct resources {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other) {
        millicores += other.millicores;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resources& operator-=(const resources& other) {
        millicores -= other.millicores;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
};

/// Whether `need` is at most `available` in every dimension.
inline bool fits(const resources& need, const resources& available) {
    return need.millicores <= available.millicores &&
           need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

inline resources from_record(const Resources& r) {
    return {r.millicores(), r.memory_mb(), r.accelerators()};
}

inline void to_record(const resources& r, Resources* out) {
    out->set_millicores(r.millicores);
    out->set_memory_mb(r.memory_mb);
    out->set_accelerators(r.accelerators);
}

} // namespace celerylift::fleet
