// State of the stand-in key-value store: values with revisions, compare-and-swap, watches and lists.
#pragma once

#include "connection/store_api.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sesamespar::standins {

/// All values, and the revision counter that they share.
struct key_value_store {
    std::map<std::string, store_value> values;
    std::uint64_t lastRevision = 0;
};

/// Value of a key; revision 0 if the key is absent.
store_value readValue(const key_value_store &store, const std::string &key);

/// Writes the value if the key has the expected revision.
store_put_reply putValue(key_value_store &store, const store_put &request);

/// Value of the watched key if its revision is greater than `after`.
std::optional<store_value> watchedValue(const key_value_store &store, const store_watch &request);

/// Keys with the prefix that sort after `after`, in order; at most 1000.
store_keys listKeys(const key_value_store &store, const store_list &request);

} // namespace sesamespar::standins
