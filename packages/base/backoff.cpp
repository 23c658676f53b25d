#include "base/backoff.h"

#include <algorithm>

namespace sesamespar {

milliseconds backoffDelay(const backoff_settings &settings, unsigned retry, std::mt19937_64 &random)
{
    constexpr unsigned maxShift = 20;
    const auto doubled = settings.first.count() << std::min(retry, maxShift);
    const auto bound = std::max<milliseconds::rep>(1, std::min(doubled, settings.longest.count()));
    std::uniform_int_distribution<milliseconds::rep> jitter((bound + 1) / 2, bound);
    return milliseconds(jitter(random));
}

void addRetryTokens(retry_budget &budget)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + budget.tokensPerRequest);
}

bool takeRetryToken(retry_budget &budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace sesamespar
