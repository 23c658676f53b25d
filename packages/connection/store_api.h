// Calls of daemons to the platform's key-value store. All assumptions on its interface are in this file. Each call,
// and each watch that waits, counts against the limits of the store. Bodies are JSON, with values as base64. The store
// answers with status 200, or with 429 if the call exceeds its rate limit.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <string>
#include <variant>
#include <vector>

namespace sesamespar {

/// Largest value in bytes.
constexpr std::size_t maxStoreValueBytes = 1048576;

/// Maximum number of keys in one answer to a list.
constexpr std::size_t maxStoreListKeys = 1000;

/// Reads one value. GET /v1/kv/KEY.
struct store_get {
    std::string key;
};

/// Writes one value if its revision is `expected` (0: if it is absent). PUT /v1/kv/KEY?expected=N with {value}.
struct store_put {
    std::string key;
    std::string value;
    store_revision expected;
};

/// Waits for at most `wait` until the value's revision is above `after`. GET /v1/kv/KEY?after=N&wait=MS.
struct store_watch {
    std::string key;
    store_revision after;
    milliseconds wait{0};
};

/// Lists the keys with a prefix after a key, in order, at most 1000. GET /v1/keys?prefix=P&after=K.
struct store_list {
    std::string prefix;
    std::string after;
};

/// Reads the VM list. GET /v1/vms.
struct store_vm_list {
};

/// A value; revision 0 if it is absent. {value, revision}.
struct store_value {
    std::string value;
    store_revision revision;
};

/// Outcome of a put. If not applied, `revision` is the current one. {applied, revision}.
struct store_put_reply {
    bool applied = false;
    store_revision revision;
};

/// Result of a list. {keys}.
struct store_keys {
    std::vector<std::string> keys;
};

/// Whether a VM may receive work.
enum class vm_state {
    Live,
    Leaving,
};

/// One VM of the platform that runs a worker.
struct vm_entry {
    worker_id name;
    address worker; ///< HTTP address of its worker.
    data_centre_id dataCentre;
    rack_id rack;
    vm_state state = vm_state::Live;

    bool operator==(const vm_entry &) const = default;
};

/// The list of VMs. It may be seconds out of date.
struct vm_list {
    roster_revision revision;
    std::vector<vm_entry> vms;
};

/// Any call to the store.
using store_request = std::variant<store_get, store_put, store_watch, store_list, store_vm_list>;
/// The answer to a call: a value for get and watch, then one type for each other call.
using store_reply = std::variant<store_value, store_put_reply, store_keys, vm_list>;

} // namespace sesamespar
