// Stand-in of the platform's metadata store, as PROTOCOL describes it.
#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <vector>

namespace review {

/// How the store behaves; a case may change it while the store runs.
struct store_behaviour {
    std::atomic<int> delayMs = 4; ///< Time of one call.
    std::atomic<bool> busy = false; ///< Answers new calls of daemons with 503. Leases pause.
};

/// Called after a call of a daemon was executed and before it is answered, with the number of the entrance.
using executed_hook = std::function<void(std::size_t entrance, const http_message &request)>;

class platform_store
{
public:
    /// `entrances` is the number of addresses at which the store can be reached, one for each daemon.
    explicit platform_store(std::size_t entrances = 1);
    ~platform_store();
    platform_store(const platform_store &) = delete;
    platform_store &operator=(const platform_store &) = delete;

    std::string address(std::size_t entrance = 0) const
    {
        return m_servers[entrance]->address();
    }
    /// Resets a share of the channels of an entrance, first those with a call on the path.
    void resetChannels(std::size_t entrance, double share, const std::string &path);
    /// Writes a key for the operator or a worker. The value is raw text.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Value of a key as raw text, if the key exists.
    std::optional<std::string> read(const std::string &key);

    store_behaviour behaviour;
    executed_hook onExecuted; ///< Set before the daemons start.

private:
    using clock = std::chrono::steady_clock;
    struct item {
        std::string value; ///< In base64.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        std::uint64_t revision = 0;
        item written; ///< Of a write.
        bool tombstone = false;
        clock::time_point at;
    };
    struct lease {
        std::chrono::milliseconds ttl{0};
        clock::time_point end;
    };

    std::optional<http_message> handle(std::size_t entrance, const http_message &request);
    http_message execute(const http_message &request);
    http_message readKey(const http_message &request);
    http_message readRange(const http_message &request);
    http_message watch(const http_message &request);
    http_message commit(const http_message &request);
    http_message openLease(const http_message &request);
    http_message keepLease(std::uint64_t number);
    http_message endLease(std::uint64_t number);
    void putLocked(const std::string &key, const std::string &value, std::uint64_t leaseNumber, std::uint64_t revision);
    void removeLocked(const std::string &key, std::uint64_t revision);
    void endLeaseLocked(std::uint64_t number);
    void appendItem(std::string &json, const std::string &key, const item &found) const;
    void expireLeases();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<event> m_history;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_dropped = 100; ///< Highest revision whose event is no longer kept.
    std::uint64_t m_nextLease = 1000;
    std::atomic<bool> m_stopped = false;
    std::vector<std::unique_ptr<http_server>> m_servers;
    std::thread m_expiry;
};

std::string encodeBase64(const std::string &bytes);
std::string decodeBase64(const std::string &text);

} // namespace review
