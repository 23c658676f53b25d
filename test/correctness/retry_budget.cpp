// Retries stay within their budget and their delays within their bounds. Guards against a retry storm that turns a
// short outage into a long one.
#include "base/backoff.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

TEST_CASE("retries are limited to a share of the first attempts")
{
    retry_budget budget;
    budget.tokens = 0;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        addRetryTokens(budget);
        while (takeRetryToken(budget)) {
            ++retries;
        }
    }
    CHECK(retries <= 200);
    CHECK(retries >= 199);
}

TEST_CASE("a budget never holds more than its capacity")
{
    retry_budget budget;
    for (int request = 0; request < 1000; ++request) {
        addRetryTokens(budget);
    }
    int retries = 0;
    while (takeRetryToken(budget)) {
        ++retries;
    }
    CHECK(retries == 10);
}

TEST_CASE("delays grow up to their bound and are jittered")
{
    std::mt19937_64 random(1);
    const backoff_settings settings{milliseconds(100), milliseconds(800)};
    for (unsigned retry = 0; retry < 40; ++retry) {
        const auto bound = std::min<milliseconds::rep>(800, 100LL << std::min(retry, 10U));
        const auto delay = backoffDelay(settings, retry, random);
        CHECK(delay.count() <= bound);
        CHECK(delay.count() * 2 >= bound);
    }
}
