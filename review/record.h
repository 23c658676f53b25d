// Writes what was sent, answered and run to record.txt, one line for each event.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

/// Milliseconds since the record was opened.
using record_time = std::int64_t;

/// The record of one run of a case. All stand-ins write into it.
class event_record
{
public:
    explicit event_record(const std::string &path);
    ~event_record();
    event_record(const event_record &) = delete;
    event_record &operator=(const event_record &) = delete;

    record_time now() const;
    void write(const std::string &line);

private:
    const std::chrono::steady_clock::time_point m_began = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

/// Milliseconds since 1970.
std::int64_t unixMilliseconds();

} // namespace review
