#ifndef AUBURNRAIL_WIRE_DETAIL_CONSENSUSHANDLER_H
#define AUBURNRAIL_WIRE_DETAIL_CONSENSUSHANDLER_H

#include "../ConsensusConverter.h"

#include <Consensus.h>
#include <consensus/Message.h>

#include <functional>
#include <utility>

namespace auburnrail::detail {

/// Server side of the Thrift service: converts messages and passes them on. Messages that can't be
/// converted are dropped.
class ConsensusHandler : public wire::ConsensusIf
{
public:
    explicit ConsensusHandler(std::function<auto(const Message &)->void> receiver)
        : received(std::move(receiver))
    {
    }

    auto deliver(const wire::Message &message) -> void override
    {
        const auto converted = fromWire(message);
        if (converted.ok())
            this->received(*converted);
    }

private:
    const std::function<auto(const Message &)->void> received;
};

} // namespace auburnrail::detail

#endif
