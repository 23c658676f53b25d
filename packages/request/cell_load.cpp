#include "request/cell_load.h"

#include <algorithm>
#include <cmath>

namespace sesamespar {

unsigned sizeClassOf(double work)
{
    const double exponent = std::floor(std::log2(std::max(work, 1.0)));
    return static_cast<unsigned>(std::min(exponent, static_cast<double>(sizeClasses - 1)));
}

} // namespace sesamespar
