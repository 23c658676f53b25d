// Access to the fields of JSON objects for the stand-ins.
#pragma once

#include <rapidjson/document.h>

namespace review {

/// The field of an object, or a null value if it is absent.
inline const rapidjson::Value &memberOf(const rapidjson::Value &object, const char *name)
{
    static const rapidjson::Value absent;
    const auto found = object.FindMember(name);
    return found == object.MemberEnd() ? absent : found->value;
}

} // namespace review
