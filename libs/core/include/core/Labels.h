#ifndef AUBURNRAIL_CORE_LABELS_H
#define AUBURNRAIL_CORE_LABELS_H

#include <map>
#include <string>

namespace auburnrail {

/// Labels of an object, by key. Selectors are matched against them.
using Labels = std::map<std::string, std::string, std::less<>>;

} // namespace auburnrail

#endif
