#ifndef AUBURNRAIL_OBSERVE_EXPLAINTEXT_H
#define AUBURNRAIL_OBSERVE_EXPLAINTEXT_H

#include <observe/ExplainRecord.h>

#include <string>

namespace auburnrail {

/// The record on one line, for the command line tool.
[[nodiscard]] auto explainText(const ExplainRecord &record) -> std::string;

} // namespace auburnrail

#endif
