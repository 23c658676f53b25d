// Structured logs: one line of key=value pairs for each event, written through glog.
#pragma once

#include <sstream>
#include <string>

namespace sesamespar {

/// Severity of a log line.
enum class log_level {
    Info,
    Warning,
    Error,
};

/// Writes one line when it goes out of scope: event=NAME followed by the fields in the order given.
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
