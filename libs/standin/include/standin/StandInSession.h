#ifndef AUBURNRAIL_STANDIN_STANDINSESSION_H
#define AUBURNRAIL_STANDIN_STANDINSESSION_H

#include <standin/StandInTransaction.h>

#include <optional>

namespace auburnrail {

/// What an emulated server keeps for one connection.
struct StandInSession
{
    std::optional<StandInTransaction> transaction;
};

} // namespace auburnrail

#endif
