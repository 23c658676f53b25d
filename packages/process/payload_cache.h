// Payloads of jobs, kept by the daemon that stored the job and by the executors that start its tasks, so that they do
// not pass through the leader. A payload that is missing is requested from the daemon that stored the job and, if that
// does not answer, read from the store.
#pragma once

#include "connection/cell_context.h"

#include <boost/intrusive/list.hpp>
#include <map>
#include <memory>
#include <vector>

namespace sesamespar {

/// A payload in the cache. Linked by the time of its latest use.
struct cached_payload : boost::intrusive::list_base_hook<> {
    job_key job;
    std::string text;
};

/// Callbacks that wait for a payload, and the timer after which it is read from the store.
struct payload_fetch {
    std::vector<payload_callback> waiting;
    timer sourceTimer;
    bool reading = false; ///< The payload is being read from the store.
};

/// Cache of a daemon; lives as long as the process. The least recently used payloads are dropped.
struct payload_cache {
    explicit payload_cache(cell_context &daemonContext)
        : context(daemonContext)
    {
    }
    payload_cache(const payload_cache &) = delete;
    payload_cache &operator=(const payload_cache &) = delete;
    ~payload_cache();

    cell_context &context;
    std::map<job_key, std::unique_ptr<cached_payload>> payloads;
    boost::intrusive::list<cached_payload> byUse; ///< Most recently used first.
    std::size_t bytes = 0;
    std::map<job_key, payload_fetch> fetches;
};

/// Adds a payload.
void keepPayload(payload_cache &cache, const job_key &job, std::string text);

/// Passes the payload of a job to `done`, immediately if it is in the cache. `source` is the address of the daemon that
/// stored the job, or empty if it is unknown. Errors: those of a read of the store.
void loadPayload(const std::shared_ptr<payload_cache> &cache,
                 const job_key &job,
                 const address &source,
                 payload_callback done,
                 const clock_reading &now);

/// Answers another daemon's request from the cache.
void handlePayloadRequest(payload_cache &cache, const payload_request &request);

/// Handles the answer of another daemon. If it does not have the payload, the store is read.
void handlePayloadReply(const std::shared_ptr<payload_cache> &cache,
                        const payload_reply &reply,
                        const clock_reading &now);

} // namespace sesamespar
