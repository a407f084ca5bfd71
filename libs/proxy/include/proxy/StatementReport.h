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

/// Account of one statement or refused session, for logs and metrics.
struct StatementReport
{
    std::string id; ///< The caller's; empty for a session that was not opened.
    StatementKind kind = StatementKind::Malformed;
    std::string database;
    std::string organisation;
    std::string endpoint; ///< Empty when no server was tried.
    std::uint32_t attempts = 0;
    std::optional<StatementFailure> failure;
    std::optional<Position> position;
    Revision revision = 0; ///< Of the fleet state that decided.
    Duration duration{};
};

} // namespace auburnrail

#endif
