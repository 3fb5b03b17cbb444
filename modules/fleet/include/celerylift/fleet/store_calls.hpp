#pragma once

#include <celerylift/fleet/store.hpp>

#include <fleet.pb.h>

#include <functional>

namespace celerylift::fleet {

/// Makes a call for another entry. Ends with exactly one reply, which carries
/// the call's number.
void make_call(store& at, const StoreCall& call,
               std::function<void(const StoreReply&)> done);

StoreTransaction to_record(const store_transaction& transaction);

/// The parts of a reply that a kind of call has.
void from_record(const StoreReply& record, transaction_reply& reply);
void from_record(const StoreReply& record, read_reply& reply);
void from_record(const StoreReply& record, range_reply& reply);
void from_record(const StoreReply& record, watch_reply& reply);
void from_record(const StoreReply& record, lease_reply& reply);

} // namespace celerylift::fleet
