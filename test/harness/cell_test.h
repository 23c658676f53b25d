// Helpers for Catch2 tests that run a complete cell.
#pragma once

#include "harness/cell.h"
#include "harness/wait_until.h"

#include <catch2/catch.hpp>
#include <ostream>

namespace sesamespar {

/// Makes Catch2 print the name of a status.
inline std::ostream &operator<<(std::ostream &stream, answer_status status)
{
    return stream << answerStatusName(status);
}

} // namespace sesamespar

namespace sesamespar::harness {

/// Far above the duration of any single step of these tests, also on a loaded machine.
constexpr milliseconds testTimeout{60000};

/// Starts a cell with testConfiguration, and waits until every data centre serves requests.
inline std::unique_ptr<cell> startTestCell(const cell_shape &shape = {}, bool services = false)
{
    auto started = startCell(shape);
    INFO((started ? std::string() : started.error().message));
    REQUIRE(started);
    std::unique_ptr<cell> running = std::move(started.value());
    REQUIRE(prepare(*running, services));
    return running;
}

/// Requires that no invariant was violated; called at the end of a test.
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

/// Checks that every answer has the expected status.
inline void requireAll(const std::vector<job_answer> &answers, answer_status expected)
{
    for (const job_answer &answer : answers) {
        INFO(answer.id << ' ' << answer.reason);
        CHECK(answer.status == expected);
    }
}

} // namespace sesamespar::harness
