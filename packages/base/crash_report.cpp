#include "base/crash_report.h"

#include "base/log.h"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <string_view>

/// Start and end of the executable's image, defined by the linker.
extern "C" const char __executable_start; // NOLINT(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" const char etext;

namespace sesamespar {

namespace {

constexpr std::size_t maxFrames = 48;
constexpr std::size_t alternateStackBytes = std::size_t{64} * 1024;
constexpr std::size_t maxLineBytes = 2048;
constexpr std::array fatalSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

int crashDescriptor = STDOUT_FILENO;
std::array<char, alternateStackBytes> alternateStack;

/// A line of bounded length that is built without allocating, since the heap may be damaged.
struct crash_line {
    std::array<char, maxLineBytes> text{};
    std::size_t length = 0;
};

void append(crash_line &line, std::string_view text)
{
    for (const char c : text) {
        if (line.length < line.text.size()) {
            line.text[line.length++] = c;
        }
    }
}

void appendNumber(crash_line &line, std::uintptr_t number, unsigned base)
{
    constexpr std::size_t maxDigits = 24;
    std::array<char, maxDigits> digits{};
    std::size_t first = digits.size();
    do {
        digits[--first] = "0123456789abcdef"[number % base];
        number /= base;
    } while (number > 0);
    append(line, {digits.data() + first, digits.size() - first});
}

void appendFrame(crash_line &line, const void *frame)
{
    constexpr unsigned hexadecimal = 16;
    const auto address = reinterpret_cast<std::uintptr_t>(frame);
    const auto begin = reinterpret_cast<std::uintptr_t>(&__executable_start);
    const auto end = reinterpret_cast<std::uintptr_t>(&etext);
    const bool inExecutable = address >= begin && address < end;
    append(line, inExecutable ? "+0x" : "0x");
    appendNumber(line, inExecutable ? address - begin : address, hexadecimal);
}

void handleCrash(int signal)
{
    constexpr unsigned decimal = 10;
    writePendingLines(crashDescriptor);
    crash_line line;
    append(line, "level=error event=crash signal=");
    appendNumber(line, static_cast<std::uintptr_t>(signal), decimal);
    append(line, " stack=");
    std::array<void *, maxFrames> frames{};
    const int count = backtrace(frames.data(), maxFrames);
    for (int index = 0; index < count; ++index) {
        append(line, index == 0 ? "" : ",");
        appendFrame(line, frames[static_cast<std::size_t>(index)]);
    }
    append(line, "\n");
    // A failed write leaves nothing else to do.
    [[maybe_unused]] const ssize_t written = write(crashDescriptor, line.text.data(), line.length);
    // The handler was reset before this call, so the signal ends the process with its usual status.
    raise(signal);
}

} // namespace

void reportCrashes(int descriptor)
{
    crashDescriptor = descriptor;
    // The first call of backtrace() loads a library, which is not safe in a signal handler.
    std::array<void *, 1> frame{};
    backtrace(frame.data(), 1);
    stack_t stack{};
    stack.ss_sp = alternateStack.data();
    stack.ss_size = alternateStack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action {
    };
    action.sa_handler = handleCrash;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
    for (const int signal : fatalSignals) {
        sigaction(signal, &action, nullptr);
    }
}

} // namespace sesamespar
