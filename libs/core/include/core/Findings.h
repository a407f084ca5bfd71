#ifndef AUBURNRAIL_CORE_FINDINGS_H
#define AUBURNRAIL_CORE_FINDINGS_H

#include <core/Finding.h>

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace auburnrail {

/// Collects every fault of an input, so that they are reported together instead of one a run.
/// Thread rule: one caller at a time.
class Findings
{
public:
    /// Records a fault at `place`.
    auto add(Place place, std::string message) -> void;

    [[nodiscard]] auto empty() const -> bool;
    [[nodiscard]] auto all() const -> const std::vector<Finding> &;

    /// One line for each finding, in the order they were added.
    [[nodiscard]] auto toString() const -> std::string;

    /// OK when there are none, else `kInvalidArgument` with all of them.
    [[nodiscard]] auto toStatus() const -> absl::Status;

private:
    std::vector<Finding> findings;
};

} // namespace auburnrail

#endif
