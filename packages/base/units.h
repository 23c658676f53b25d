// Units of the resources that a VM offers and a task needs.
#pragma once

#include "base/strong_value.h"

#include <cstdint>
#include <ostream>

namespace sesamespar {

/// Processor share in thousandths of a core.
using millicores = strong_value<struct millicores_tag, std::int64_t>;
/// Memory in MiB.
using mebibytes = strong_value<struct mebibytes_tag, std::int64_t>;
/// Whole accelerators.
using accelerators = strong_value<struct accelerators_tag, std::int64_t>;

/// Resources that a task needs or a VM offers. Each component is compared by itself: a surplus of one does not make up
/// for a lack of another.
struct resources {
    millicores processors;
    mebibytes memory;
    accelerators accelerator;

    bool operator==(const resources &) const = default;
};

/// Sum of both, component by component.
resources operator+(const resources &left, const resources &right);

/// Difference of both, component by component. A component may become negative.
resources operator-(const resources &left, const resources &right);

/// Each component multiplied by `count`.
resources operator*(const resources &single, std::int64_t count);

/// True if no component of `need` is above the same component of `available`.
bool fits(const resources &need, const resources &available);

/// Writes processors, memory and accelerators as key=value pairs.
std::ostream &operator<<(std::ostream &stream, const resources &amount);

} // namespace sesamespar
