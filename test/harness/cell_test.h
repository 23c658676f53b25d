// What tests with a whole cell share. Only for Catch2 tests.
#pragma once

#include "harness/cell.h"
#include "harness/wait_until.h"

#include <catch2/catch.hpp>
#include <ostream>

namespace sesamespar {

/// Lets Catch2 print a status by its name.
inline std::ostream &operator<<(std::ostream &stream, answer_status status)
{
    return stream << answerStatusName(status);
}

} // namespace sesamespar

namespace sesamespar::harness {

/// Far above what anything in these tests takes, also on a busy machine.
constexpr milliseconds generous{60000};

/// Starts a cell with testConfiguration in force and every data centre serving.
inline std::unique_ptr<cell> startTestCell(const cell_shape &shape = {}, bool services = false)
{
    auto started = startCell(shape);
    INFO((started ? std::string() : started.error().message));
    REQUIRE(started);
    std::unique_ptr<cell> running = std::move(started.value());
    REQUIRE(prepare(*running, services));
    return running;
}

/// Ends a test: no invariant was broken.
inline void requireInvariants(cell &running)
{
    std::string text;
    for (const std::string &fault : invariantViolations(running)) {
        text += fault;
        text += '\n';
    }
    INFO(text);
    REQUIRE(text.empty());
}

/// Requires every answer to have that status.
inline void requireAll(const std::vector<job_answer> &answers, answer_status expected)
{
    for (const job_answer &answer : answers) {
        INFO(answer.id << ' ' << answer.reason);
        CHECK(answer.status == expected);
    }
}

} // namespace sesamespar::harness
