// Structured logs: one line of key=value pairs for each event, written through glog or to standard output.
#pragma once

#include <cstdint>
#include <sstream>
#include <string>

namespace sesamespar {

/// Severity of a log line.
enum class log_level {
    Info,
    Warning,
    Error,
};

/// True if occurrence number `count` (from 1) of an event is logged: 1, 2, 4, 8 and so on. Bounds the number of log
/// lines about events that may occur very often.
constexpr bool shouldLogOccurrence(std::uint64_t count)
{
    return (count & (count - 1)) == 0;
}

/// Starts a thread that writes log lines to standard output. Lines that standard output does not accept in time are
/// dropped and counted, so that no other thread blocks on output. Without this thread, lines go through glog.
void startLogWriter();

/// Writes the pending lines and ends the thread of startLogWriter().
void stopLogWriter();

/// Writes the pending lines to the file descriptor from a crash handler. Writes nothing if the writer is being used by
/// a thread at that moment.
void writePendingLines(int descriptor);

/// A log line, written when the object goes out of scope: event=NAME followed by the fields in the order given.
/// Values with spaces, quotes, equal signs or control characters are quoted and escaped.
class log_event
{
public:
    explicit log_event(const char *name, log_level level = log_level::Info);
    ~log_event();
    log_event(const log_event &) = delete;
    log_event &operator=(const log_event &) = delete;

    /// Adds KEY=VALUE; the value needs a stream operator.
    template<typename Value>
    log_event &with(const char *key, const Value &value)
    {
        std::ostringstream text;
        text << value;
        append(key, text.str());
        return *this;
    }

private:
    void append(const char *key, const std::string &value);

    std::string m_line;
    log_level m_level;
};

} // namespace sesamespar
