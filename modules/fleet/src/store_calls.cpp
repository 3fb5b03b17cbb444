#include <celerylift/fleet/store_calls.hpp>

namespace celerylift::fleet {

namespace {

/// A message between entries is delivered as a whole. A connection on which one
/// takes longer than its heartbeat's timeout is reset, so a reply must pass a
/// narrow link well within that.
constexpr std::size_t max_relayed_bytes = 128UL * 1024;

std::size_t size_of(const store_item& item) {
    return item.key.size() + item.value.size();
}

StoreStatus to_record(store_status status) {
    switch (status) {
    case store_status::ok:
        return STORE_OK;
    case store_status::conflict:
        return STORE_CONFLICT;
    case store_status::not_found:
        return STORE_NOT_FOUND;
    case store_status::compacted:
        return STORE_COMPACTED;
    case store_status::refused:
        return STORE_REFUSED;
    case store_status::unknown:
        break;
    }
    return STORE_UNKNOWN;
}

store_status from_record(StoreStatus status) {
    switch (status) {
    case STORE_OK:
        return store_status::ok;
    case STORE_CONFLICT:
        return store_status::conflict;
    case STORE_NOT_FOUND:
        return store_status::not_found;
    case STORE_COMPACTED:
        return store_status::compacted;
    case STORE_REFUSED:
        return store_status::refused;
    default:
        return store_status::unknown;
    }
}

store_item from_record(const StoredItem& item) {
    return {item.key(), item.value(), item.revision()};
}

void add_item(const store_item& item, StoreReply& reply, bool removed = false) {
    auto* out = reply.add_items();
    out->set_key(item.key);
    out->set_value(item.value);
    out->set_revision(item.revision);
    out->set_removed(removed);
}

store_transaction from_record(const StoreTransaction& record) {
    store_transaction transaction;
    for (const auto& condition : record.expected())
        transaction.expected.push_back({condition.key(), condition.revision()});
    for (const auto& put : record.puts())
        transaction.puts.push_back({put.key(), put.value(), put.lease()});
    for (const auto& key : record.removals())
        transaction.removals.push_back(key);
    return transaction;
}

void fill_record(const transaction_reply& from, StoreReply& reply) {
    reply.set_revision(from.revision);
    for (const auto& item : from.current)
        add_item(item, reply);
}

void fill_record(const read_reply& from, StoreReply& reply) {
    reply.set_as_of(from.as_of);
    add_item(from.item, reply);
}

/// Adds the items of a page up to the limit. The next page begins after them.
void fill_record(const range_reply& from, StoreReply& reply) {
    reply.set_as_of(from.as_of);
    reply.set_has_more(from.has_more);
    std::size_t bytes = 0;
    for (const auto& item : from.items) {
        if (bytes >= max_relayed_bytes)
            return reply.set_has_more(true);
        add_item(item, reply);
        bytes += size_of(item);
    }
}

/// Adds the changes up to the limit, all of a revision or none. The next watch
/// continues after the last one.
void fill_record(const watch_reply& from, StoreReply& reply) {
    reply.set_as_of(from.as_of);
    std::size_t bytes = 0;
    std::int64_t revision = 0;
    for (const auto& change : from.changes) {
        if (bytes >= max_relayed_bytes && change.item.revision > revision)
            return reply.set_as_of(revision);
        revision = change.item.revision;
        add_item(change.item, reply, change.removed);
        bytes += size_of(change.item);
    }
}

void fill_record(const lease_reply& from, StoreReply& reply) {
    reply.set_lease(from.lease);
    reply.set_ttl_ms(from.ttl.count());
}

template <class Reply>
reply_handler<Reply> encode_reply(std::int64_t number,
                                  std::function<void(const StoreReply&)> done) {
    return [number, done = std::move(done)](const Reply& from) {
        StoreReply reply;
        reply.set_number(number);
        reply.set_status(to_record(from.status));
        fill_record(from, reply);
        done(reply);
    };
}

} // namespace

void execute_call(store& target, const StoreCall& call,
                  std::function<void(const StoreReply&)> done) {
    const auto number = call.number();
    const duration timeout{call.timeout_ms()};
    switch (call.call_case()) {
    case StoreCall::kTransaction:
        return target.transact(
            from_record(call.transaction()), timeout,
            encode_reply<transaction_reply>(number, std::move(done)));
    case StoreCall::kReadKey:
        return target.read(call.read_key(), timeout,
                           encode_reply<read_reply>(number, std::move(done)));
    case StoreCall::kRange:
        return target.range(call.range().prefix(), call.range().after(),
                            timeout,
                            encode_reply<range_reply>(number, std::move(done)));
    case StoreCall::kWatch:
        return target.watch(call.watch().prefix(), call.watch().after(),
                            duration{call.watch().wait_ms()}, timeout,
                            encode_reply<watch_reply>(number, std::move(done)));
    case StoreCall::kGrantTtlMs:
        return target.grant_lease(
            duration{call.grant_ttl_ms()}, timeout,
            encode_reply<lease_reply>(number, std::move(done)));
    case StoreCall::kRenewLease:
        return target.renew_lease(
            call.renew_lease(), timeout,
            encode_reply<lease_reply>(number, std::move(done)));
    case StoreCall::kEndLease:
        return target.end_lease(
            call.end_lease(), timeout,
            encode_reply<lease_reply>(number, std::move(done)));
    case StoreCall::CALL_NOT_SET:
        break;
    }
    // A kind of call of a newer version; it has no effect here.
    StoreReply reply;
    reply.set_number(number);
    reply.set_status(STORE_REFUSED);
    done(reply);
}

StoreTransaction to_record(const store_transaction& transaction) {
    StoreTransaction record;
    for (const auto& condition : transaction.expected) {
        auto* out = record.add_expected();
        out->set_key(condition.key);
        out->set_revision(condition.revision);
    }
    for (const auto& put : transaction.puts) {
        auto* out = record.add_puts();
        out->set_key(put.key);
        out->set_value(put.value);
        out->set_lease(put.lease);
    }
    for (const auto& key : transaction.removals)
        record.add_removals(key);
    return record;
}

void from_record(const StoreReply& record, transaction_reply& reply) {
    reply.status = from_record(record.status());
    reply.revision = record.revision();
    for (const auto& item : record.items())
        reply.current.push_back(from_record(item));
}

void from_record(const StoreReply& record, read_reply& reply) {
    reply.status = from_record(record.status());
    reply.as_of = record.as_of();
    if (record.items_size() > 0)
        reply.item = from_record(record.items(0));
}

void from_record(const StoreReply& record, range_reply& reply) {
    reply.status = from_record(record.status());
    reply.as_of = record.as_of();
    reply.has_more = record.has_more();
    for (const auto& item : record.items())
        reply.items.push_back(from_record(item));
}

void from_record(const StoreReply& record, watch_reply& reply) {
    reply.status = from_record(record.status());
    reply.as_of = record.as_of();
    for (const auto& item : record.items())
        reply.changes.push_back({from_record(item), item.removed()});
}

void from_record(const StoreReply& record, lease_reply& reply) {
    reply.status = from_record(record.status());
    reply.lease = record.lease();
    reply.ttl = duration{record.ttl_ms()};
}

} // namespace celerylift::fleet
