#ifndef AUBURNRAIL_WIRE_CONSENSUSTRANSPORTHOOKS_H
#define AUBURNRAIL_WIRE_CONSENSUSTRANSPORTHOOKS_H

#include <consensus/Message.h>

#include <core/Time.h>

#include <functional>

namespace auburnrail {

/// What a ConsensusTransport does with messages. Hooks run on its threads, with no lock held.
struct ConsensusTransportHooks
{
    /// A message of another member arrived.
    std::function<auto(const Message &)->void> received;

    /// Optional, for tests: false drops the message instead of sending it.
    std::function<auto(const MemberName &from, const MemberName &to)->bool> shouldDeliver;

    /// Optional, for tests: time to hold a message back before it is sent.
    std::function<auto(const MemberName &from, const MemberName &to)->Duration> delay;
};

} // namespace auburnrail

#endif
