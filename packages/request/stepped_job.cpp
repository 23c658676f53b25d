#include "request/stepped_job.h"

#include <algorithm>
#include <cctype>

namespace sesamespar {

namespace {

constexpr std::size_t jobKeyDigits = 16;
/// Largest amount of a resource that a task may need: a million cores, a petabyte of memory. Sums over all tasks stay
/// far from overflow.
constexpr std::int64_t maxNeed = 1000000000;

bool isNeed(std::int64_t amount)
{
    return amount >= 0 && amount <= maxNeed;
}

void addFinding(findings &found, const std::string &field, const std::string &problem, const std::string &allowed)
{
    found.push_back({"", 0, 0, field, problem, allowed});
}

void checkStep(const job_step &step, std::size_t number, findings &found)
{
    const std::string field = "steps[" + std::to_string(number) + "]";
    if (step.count == 0 || step.count > maxTasks) {
        addFinding(found, field + ".count", "is " + std::to_string(step.count), "1 to " + std::to_string(maxTasks));
    }
    const resources &need = step.need;
    if (!isNeed(need.processors.value) || !isNeed(need.memory.value) || !isNeed(need.accelerator.value)) {
        addFinding(found, field, "has a size out of range", "0 to " + std::to_string(maxNeed));
    }
    for (const std::uint32_t dependency : step.after) {
        if (dependency >= number) {
            addFinding(
                found, field + ".after", "refers to step " + std::to_string(dependency), "numbers of earlier steps");
        }
    }
}

} // namespace

findings checkSteppedJob(const stepped_job &job)
{
    findings found;
    if (job.payload.size() > maxPayloadBytes) {
        addFinding(found, "payload", "is too long", "at most " + std::to_string(maxPayloadBytes) + " bytes");
    }
    if (job.steps.empty() || job.steps.size() > maxSteps) {
        const std::string count = std::to_string(job.steps.size());
        addFinding(found, "steps", "has " + count + " entries", "1 to " + std::to_string(maxSteps));
        return found;
    }
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        checkStep(job.steps[number], number, found);
    }
    if (countTasks(job) > maxTasks) {
        addFinding(found, "steps", "have too many tasks", "at most " + std::to_string(maxTasks));
    }
    return found;
}

std::size_t countTasks(const stepped_job &job)
{
    std::size_t count = 0;
    for (const job_step &step : job.steps) {
        count += step.count;
    }
    return count;
}

bool isJobKey(const std::string &text)
{
    return text.size() == jobKeyDigits
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
}

} // namespace sesamespar
