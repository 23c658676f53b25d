#include "request/retry_spread.h"

namespace sesamespar {

double spreadOfKey(const job_key &key)
{
    // FNV-1a, whose result does not depend on the library, and a final mix, since keys may differ in the last digits
    // only.
    constexpr std::uint64_t offset = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    constexpr std::uint64_t mixFactor = 0xff51afd7ed558ccdU;
    constexpr unsigned mixShift = 33;
    constexpr unsigned usedBits = 53;
    std::uint64_t hash = offset;
    for (const char digit : key.value) {
        hash = (hash ^ static_cast<unsigned char>(digit)) * prime;
    }
    hash = (hash ^ (hash >> mixShift)) * mixFactor;
    hash = (hash ^ (hash >> mixShift)) * mixFactor;
    hash ^= hash >> mixShift;
    constexpr unsigned wordBits = 64;
    return static_cast<double>(hash >> (wordBits - usedBits)) / static_cast<double>(std::uint64_t(1) << usedBits);
}

} // namespace sesamespar
