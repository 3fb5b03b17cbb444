#pragma once

#include <celerylift/time.hpp>

#include <string>
#include <variant>

namespace celerylift {

/// The kind of a failure. The values match ErrorKind of the published schema.
enum class error_kind {
    invalid_argument = 1,
    not_found = 2,
    conflict = 3,
    infeasible = 4,
    overloaded = 5,
    unavailable = 6,
    deadline_exceeded = 7,
    cancelled = 8,
    outcome_unknown = 9,
    execution_failed = 10,
    internal = 11,
};

/// Whether the request that failed was executed.
enum class run_state { unknown = 0, not_run = 1, ran = 2 };

/// A failure. The message states the cause and the remedy. `retry_after` is
/// zero if a retry does not help.
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
    run_state ran = run_state::not_run;
    duration retry_after{0};

    bool operator==(const error&) const = default;
};

/// Either a value or the error that prevented it.
template <class T>
using result = std::variant<T, error>;

/// A success that carries no value.
struct success {
    bool operator==(const success&) const = default;
};

/// The error of a result, or null if it holds a value.
template <class T>
const error* error_of(const result<T>& r) {
    return std::get_if<error>(&r);
}

} // namespace celerylift
