#ifndef AUBURNRAIL_WIRE_ENCODEDPAYLOADS_H
#define AUBURNRAIL_WIRE_ENCODEDPAYLOADS_H

#include "EncodedPayload.h"

#include <core/RankedLock.h>
#include <core/RankedMutex.h>

#include <absl/base/thread_annotations.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace auburnrail::detail {

/// Encodes and compresses values that are sent to many receivers once each, and keeps the last few
/// results. Thread-safe.
template <typename T>
class EncodedPayloads
{
public:
    /// Entries that are behind by different revisions need different updates.
    static constexpr auto CAPACITY = std::size_t(8);

    explicit EncodedPayloads(std::function<auto(const T &)->std::string> encodeFunction)
        : encode(std::move(encodeFunction))
    {
    }

    [[nodiscard]] auto payloadOf(const std::shared_ptr<const T> &value)
        -> std::shared_ptr<const EncodedPayload>
    {
        // Held while a value is encoded, so that threads that need the same one wait for it.
        const RankedLock lock(this->mutex);
        for (const auto &[known, payload] : this->rows) {
            if (known == value)
                return payload;
        }
        this->rows.emplace_back(value,
                                std::make_shared<EncodedPayload>(toPayload(this->encode(*value))));
        if (this->rows.size() > CAPACITY)
            this->rows.pop_front();
        return this->rows.back().second;
    }

private:
    using Row = std::pair<std::shared_ptr<const T>, std::shared_ptr<const EncodedPayload>>;

    const std::function<auto(const T &)->std::string> encode;
    RankedMutex mutex{LockRank::EncodedPayloads};
    std::deque<Row> rows ABSL_GUARDED_BY(mutex);
};

} // namespace auburnrail::detail

#endif
