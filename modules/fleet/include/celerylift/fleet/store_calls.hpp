#pragma once

#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <functional>

namespace celerylift::fleet {

/// Makes a store call on behalf of another entry. Calls `done` exactly once,
/// with a reply that carries the call's number.
void execute_call(store& target, const StoreCall& call,
                  std::function<void(const StoreReply&)> done);

StoreTransaction to_record(const store_transaction& transaction);

/// Read the fields of a record that this kind of reply has.
void from_record(const StoreReply& record, transaction_reply& reply);
void from_record(const StoreReply& record, read_reply& reply);
void from_record(const StoreReply& record, range_reply& reply);
void from_record(const StoreReply& record, watch_reply& reply);
void from_record(const StoreReply& record, lease_reply& reply);

} // namespace celerylift::fleet
