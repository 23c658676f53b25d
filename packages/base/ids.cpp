#include "base/ids.h"

#include <boost/container_hash/hash.hpp>

namespace sesamespar {

std::ostream &operator<<(std::ostream &stream, const job_id &id)
{
    return stream << id.team << '/' << id.key;
}

std::ostream &operator<<(std::ostream &stream, const task_id &id)
{
    return stream << id.job << '/' << id.index << '/' << id.attempt;
}

} // namespace sesamespar

std::size_t std::hash<sesamespar::job_id>::operator()(const sesamespar::job_id &id) const noexcept
{
    std::size_t seed = 0;
    boost::hash_combine(seed, id.team.value);
    boost::hash_combine(seed, id.key.value);
    return seed;
}
