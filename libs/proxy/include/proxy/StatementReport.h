#ifndef AUBURNRAIL_PROXY_STATEMENTREPORT_H
#define AUBURNRAIL_PROXY_STATEMENTREPORT_H

#include <proxy/StatementFailure.h>
#include <proxy/StatementKind.h>

#include <core/Position.h>
#include <core/Revision.h>
#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// Record of one statement or refused session, for logs and metrics.
struct StatementReport
{
    std::string id; ///< Id given by the client; empty for a session that was not opened.
    StatementKind kind = StatementKind::Malformed;
    std::string database;
    std::string organisation;
    std::string endpoint; ///< Last server tried; empty when none was.
    std::uint32_t attempts = 0;
    std::optional<StatementFailure> failure;
    std::optional<Position> position;
    Revision revision = 0; ///< Revision of the fleet state when the report was made.
    Duration duration{};
};

} // namespace auburnrail

#endif
