#include "record.h"

#include <stdexcept>

namespace review {

event_record::event_record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (m_file == nullptr) {
        throw std::runtime_error("cannot write the record");
    }
}

event_record::~event_record()
{
    std::fclose(m_file);
}

record_time event_record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_began).count();
}

void event_record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(now()) / 1000, line.c_str());
    std::fflush(m_file);
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace review
