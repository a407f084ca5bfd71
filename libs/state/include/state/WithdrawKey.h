#ifndef AUBURNRAIL_STATE_WITHDRAWKEY_H
#define AUBURNRAIL_STATE_WITHDRAWKEY_H

#include <string>

namespace auburnrail {

/// Withdraws a key permanently.
struct WithdrawKey
{
    std::string key; ///< Key id.

    auto operator==(const WithdrawKey &) const -> bool = default;
};

} // namespace auburnrail

#endif
