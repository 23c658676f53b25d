#include "base/log.h"

#include <glog/logging.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>

namespace sesamespar {

namespace {

/// Maximum size of the pending lines in bytes; further lines are dropped. A busy daemon writes about 100 KB a second.
constexpr std::size_t maxPendingBytes = std::size_t{256} * 1024;
/// Lines are collected for this time and written together, to reduce the number of system calls.
constexpr std::chrono::milliseconds writePeriod{100};

/// Lines that wait to be written to standard output, and the thread that writes them.
struct log_writer {
    std::mutex mutex;
    std::condition_variable wake;
    std::string pending;
    std::uint64_t droppedLines = 0;
    bool stopping = false;
    std::thread thread;
};

std::atomic<log_writer *> activeWriter = nullptr;

void writeAll(int descriptor, const std::string &text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t count = write(descriptor, text.data() + written, text.size() - written);
        if (count <= 0) {
            return;
        }
        written += static_cast<std::size_t>(count);
    }
}

void runWriter(log_writer &writer)
{
    std::unique_lock lock(writer.mutex);
    while (!writer.stopping || !writer.pending.empty()) {
        writer.wake.wait(lock, [&writer] { return writer.stopping || !writer.pending.empty(); });
        if (!writer.stopping) {
            writer.wake.wait_for(lock, writePeriod, [&writer] { return writer.stopping; });
        }
        std::string text;
        text.swap(writer.pending);
        if (writer.droppedLines > 0) {
            text += "level=warning event=log_lines_left_out count=" + std::to_string(writer.droppedLines) + '\n';
            writer.droppedLines = 0;
        }
        lock.unlock();
        writeAll(STDOUT_FILENO, text);
        lock.lock();
    }
}

const char *levelName(log_level level)
{
    switch (level) {
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    default:
        return "error";
    }
}

void writeLine(log_writer &writer, log_level level, const std::string &line)
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    constexpr long nanosecondsPerMillisecond = 1000000;
    const std::string start = "time_ms=" + std::to_string(now.tv_sec * 1000 + now.tv_nsec / nanosecondsPerMillisecond)
        + " level=" + levelName(level) + ' ';
    const std::lock_guard lock(writer.mutex);
    if (writer.pending.size() + start.size() + line.size() >= maxPendingBytes) {
        ++writer.droppedLines;
        return;
    }
    const bool wasEmpty = writer.pending.empty();
    writer.pending += start;
    writer.pending += line;
    writer.pending += '\n';
    if (wasEmpty) {
        writer.wake.notify_one();
    }
}

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

void startLogWriter()
{
    if (activeWriter == nullptr) {
        auto *writer = new log_writer;
        writer->thread = std::thread([writer] { runWriter(*writer); });
        activeWriter = writer;
    }
}

void stopLogWriter()
{
    log_writer *writer = activeWriter.exchange(nullptr);
    if (writer == nullptr) {
        return;
    }
    {
        const std::lock_guard lock(writer->mutex);
        writer->stopping = true;
    }
    writer->wake.notify_one();
    writer->thread.join();
    // Another thread may still be appending a line, so the writer is not freed.
}

void writePendingLines(int descriptor)
{
    log_writer *writer = activeWriter;
    if (writer == nullptr || !writer->mutex.try_lock()) {
        return;
    }
    writeAll(descriptor, writer->pending);
    writer->pending.clear();
    writer->mutex.unlock();
}

log_event::~log_event()
{
    if (log_writer *writer = activeWriter) {
        writeLine(*writer, m_level, m_line);
        return;
    }
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
