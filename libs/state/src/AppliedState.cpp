#include <state/AppliedState.h>

#include <state/FleetState.h>

#include <core/RankedLock.h>

#include <absl/strings/str_cat.h>

#include <utility>

namespace auburnrail {

auto AppliedState::snapshot() const -> std::shared_ptr<const FleetObjects>
{
    const RankedLock lock(this->mutex);
    return this->current;
}

auto AppliedState::revision() const -> Revision
{
    return this->snapshot()->revision();
}

auto AppliedState::applyChanges(const FleetUpdate &update) -> absl::Status
{
    // The update is applied to a copy without the mutex held, and again when another update was
    // stored first. The loop ends because each such update raises the revision until this one no
    // longer applies.
    while (true) {
        const auto base = this->snapshot();
        auto next = std::make_shared<FleetObjects>(*base);
        if (auto status = next->applyChanges(update); !status.ok())
            return status;
        const RankedLock lock(this->mutex);
        if (this->current == base) {
            this->current = std::move(next);
            return absl::OkStatus();
        }
    }
}

auto AppliedState::replace(const FleetSnapshot &newState) -> absl::Status
{
    std::shared_ptr<const FleetObjects> next = std::make_shared<FleetObjects>(objectsOf(newState));
    const RankedLock lock(this->mutex);
    if (next->revision() < this->current->revision()) {
        return absl::FailedPreconditionError(absl::StrCat("a snapshot of revision ",
                                                          next->revision(), " is older than ",
                                                          this->current->revision()));
    }
    // The old copy is destroyed after the mutex has been released.
    std::swap(this->current, next);
    return absl::OkStatus();
}

} // namespace auburnrail
