// Stand-in for the platform's metadata store: keys with revisions, conditional transactions, watches and leases, as
// PROTOCOL.md describes them.
#pragma once

#include "http.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

struct stored_item {
    std::string value; ///< As base64.
    long long revision = 0;
    long long created = 0;
    long long lease = 0;
};

struct store_event {
    std::string key;
    long long revision = 0;
    bool removed = false;
    stored_item item;
};

class store
{
public:
    /// Starts to serve and returns the port.
    int serve();

    /// Writes a key as the operator or a worker does.
    void put(const std::string &key, const std::string &value);

    /// Removes a key.
    void remove(const std::string &key);

    /// The value of a key, or nothing if it is absent.
    std::optional<std::string> value(const std::string &key);

    /// Forgets its history: watches hear nothing for the duration, then all of them are cut, and the changes up to that
    /// moment can't be watched any more.
    void compact(long long duration);

    /// If set, decides whether the answer of a transaction is lost: returns the milliseconds after which the
    /// transaction is carried out, or -1 for a normal call. The argument is the body.
    std::function<long long(const std::string &body)> loseTransaction;

private:
    bool handle(const http_message &request, http_message &response);
    void applyTransaction(const std::string &body, http_message &response);
    void write(const std::string &key, const std::string &value, long long lease);
    void erase(const std::string &key);
    void expireLeases();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    long long m_revision = 100;
    long long m_lastLease = 0;
    std::map<std::string, stored_item> m_items;
    std::vector<store_event> m_events;
    long long m_silentUntil = 0; ///< Milliseconds of nowMs(); watches hear nothing before.
    long long m_compacted = 0; ///< Changes up to this revision can't be watched.
    std::map<long long, std::pair<long long, long long>> m_leases; ///< Time to live, and when it ends.
};

std::string encodeBase64(const std::string &text);
std::string decodeBase64(const std::string &text);

/// The text as a JSON string with its quotes.
std::string quoted(const std::string &text);

} // namespace review
