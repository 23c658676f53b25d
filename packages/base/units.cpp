#include "base/units.h"

namespace sesamespar {

resources operator+(const resources &left, const resources &right)
{
    return {millicores(left.processors.value + right.processors.value),
            mebibytes(left.memory.value + right.memory.value),
            accelerators(left.accelerator.value + right.accelerator.value)};
}

resources operator-(const resources &left, const resources &right)
{
    return left + right * -1;
}

resources operator*(const resources &single, std::int64_t count)
{
    return {millicores(single.processors.value * count),
            mebibytes(single.memory.value * count),
            accelerators(single.accelerator.value * count)};
}

bool fits(const resources &need, const resources &available)
{
    return need.processors <= available.processors && need.memory <= available.memory
        && need.accelerator <= available.accelerator;
}

std::ostream &operator<<(std::ostream &stream, const resources &amount)
{
    return stream << "millicores=" << amount.processors << " mebibytes=" << amount.memory
                  << " accelerators=" << amount.accelerator;
}

} // namespace sesamespar
