#include "base/log.h"

#include <glog/logging.h>

namespace sesamespar {

namespace {

bool needsQuotes(const std::string &value)
{
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\') {
            return true;
        }
    }
    return false;
}

void appendEscaped(std::string &line, const std::string &value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (static_cast<unsigned char>(c) < ' ') {
            line += '?';
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

log_event::log_event(const char *name, log_level level)
    : m_line(std::string("event=") + name)
    , m_level(level)
{
}

log_event::~log_event()
{
    switch (m_level) {
    case log_level::Info:
        LOG(INFO) << m_line;
        break;
    case log_level::Warning:
        LOG(WARNING) << m_line;
        break;
    case log_level::Error:
        LOG(ERROR) << m_line;
        break;
    }
}

void log_event::append(const char *key, const std::string &value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (needsQuotes(value)) {
        appendEscaped(m_line, value);
    } else {
        m_line += value;
    }
}

} // namespace sesamespar
