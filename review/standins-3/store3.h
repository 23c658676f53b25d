// The platform's store, as PROTOCOL.md describes it: items with revisions, leases, watches and transactions.
#pragma once

#include "http3.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

class platform_store3
{
public:
    platform_store3();
    ~platform_store3();
    std::string address() const
    {
        return server.address();
    }
    /// Writes by the operator and the workers, which don't go through the daemons' calls.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// For a time, transactions that write a key with the text in it get no answer and are carried out later.
    void holdWrites(const std::string &text, int forMs, int delayMs);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<item> written;
    };
    struct lease {
        std::int64_t ttlMs = 0;
        std::chrono::steady_clock::time_point ends;
    };

    std::optional<http_reply3> handle(const http_request3 &request);
    http_reply3 range(const http_request3 &request);
    http_reply3 watch(const http_request3 &request);
    http_reply3 transact(const http_request3 &request);
    bool isHeld(const http_request3 &request);
    void endLeases();
    void set(const std::string &key, const std::string &value, std::uint64_t leaseNumber);
    void erase(const std::string &key);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::deque<event> events;
    std::map<std::uint64_t, lease> leases;
    std::uint64_t revision = 100;
    std::uint64_t nextLease = 70000;
    std::string heldText; ///< Empty unless a write is to be held up.
    int heldMs = 0;
    std::chrono::steady_clock::time_point heldUntil;
    bool ended = false;
    http_server3 server;
};
