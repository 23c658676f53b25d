// A small HTTP/1.1 server and client on loopback addresses, for the stand-ins of the third review.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

struct http_request3 {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_reply3 {
    int status = 200;
    std::string body = "{}";
};

/// Returns nothing if the call gets no response: its channel then stays open and silent.
using http_handler3 = std::function<std::optional<http_reply3>(const http_request3 &)>;

class http_server3
{
public:
    http_server3(std::string ip, http_handler3 handler);
    ~http_server3();
    /// Listens, at the earlier port if there was one.
    void open();
    /// Closes the listener and all channels, as the end of a process does.
    void close();
    std::string address() const;

private:
    struct shared_state;
    std::string ip;
    http_handler3 handler;
    int port = 0;
    std::shared_ptr<shared_state> state;
};

/// Empty if there was no complete response within the limit.
std::optional<http_reply3> callHttp(const std::string &address,
                                    const std::string &method,
                                    const std::string &target,
                                    const std::map<std::string, std::string> &headers,
                                    const std::string &body,
                                    int limitMs);

/// A port at which each of the offsets 0 to count - 1 is free on the address.
int freePorts(const std::string &ip, int count);
