// Interface to a key-value store with conditional transactions, watches and leases. An adapter provides the functions;
// every callback runs once, on a traffic thread.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sesamespar {

/// A stored value. Revision 0 denotes an absent key.
struct store_item {
    std::string key;
    std::string value;
    store_revision revision;
};

/// A page of a listing, or the changes that a watch reports.
struct store_page {
    std::vector<store_item> items;
    std::vector<std::string> removedKeys; ///< Filled by watches only.
    bool truncated = false; ///< More keys follow the last one.
    store_revision storeRevision; ///< Revision of the whole store.
};

/// Condition that the key is at this revision (0: it does not exist).
struct store_condition {
    std::string key;
    store_revision revision;
};

/// A write of one key.
struct store_write {
    std::string key;
    std::string value;
    store_lease lease; ///< 0 for none; the store removes the key when the lease ends.
};

/// Applies all changes if all conditions hold, otherwise none.
struct store_transaction {
    std::vector<store_condition> conditions;
    std::vector<store_write> writes;
    std::vector<std::string> removals;
};

/// Outcome of a transaction.
struct store_commit {
    bool applied = false;
    store_revision revision; ///< Of all keys written, if applied.
    std::vector<store_item> current; ///< State of the keys of the conditions, if not applied.
};

/// A granted lease with its actual length.
struct granted_lease {
    store_lease lease;
    milliseconds length{0};
};

/// Errors: Unreachable or Overloaded if nothing was done, Unknown if the call may have taken effect, now or seconds
/// later, NotFound if the lease has ended or the history that a watch needs is gone, InvalidInput for a malformed
/// response.
template<typename Value>
using store_callback = std::function<void(result<Value>)>;

/// True if a transaction that ended with this error may have been applied, or may be applied later. A malformed
/// response does not say what the store did.
inline bool mayHaveApplied(const error &problem)
{
    return problem.kind == error_kind::Unknown || problem.kind == error_kind::InvalidInput;
}

/// Calls to the store. `limit` bounds the whole call.
struct store_port {
    /// Reads one key. An absent key yields an item with revision 0.
    std::function<void(const std::string &key, milliseconds limit, store_callback<store_item>)> read;
    /// Lists a page of the keys with the prefix that sort after `after`. `mayBeStale` permits a response that is
    /// seconds old.
    std::function<void(const std::string &prefix,
                       const std::string &after,
                       bool mayBeStale,
                       milliseconds limit,
                       store_callback<store_page>)>
        list;
    /// Responds as soon as a key with the prefix has changed after the revision `after`, or with an empty page after
    /// `wait`.
    std::function<void(const std::string &prefix,
                       store_revision after,
                       milliseconds wait,
                       milliseconds limit,
                       store_callback<store_page>)>
        watch;
    std::function<void(const store_transaction &, milliseconds limit, store_callback<store_commit>)> commit;
    std::function<void(milliseconds length, milliseconds limit, store_callback<granted_lease>)> openLease;
    std::function<void(store_lease, milliseconds limit, store_callback<granted_lease>)> renewLease;
    std::function<void(store_lease, milliseconds limit, store_callback<granted_lease>)> endLease;
};

} // namespace sesamespar
