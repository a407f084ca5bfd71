#include <observe/BurnObjectives.h>

namespace auburnrail {

namespace {

constexpr auto WINDOW_DEFAULT = Duration(std::chrono::hours(24 * 28));
/// Part of the events that has to be within a latency or gap objective's limit.
constexpr auto THRESHOLD_TARGET = 0.99;

auto toBurnObjective(const Objective &objective, const std::shared_ptr<const FleetObjects> &objects)
    -> BurnObjective
{
    auto result = BurnObjective();
    result.name = objective.name;
    result.kind = objective.kind;
    const auto hasThreshold =
        objective.kind == ObjectiveKind::Latency || objective.kind == ObjectiveKind::FailoverGap;
    result.target = hasThreshold ? THRESHOLD_TARGET : objective.target;
    if (hasThreshold)
        result.threshold = std::chrono::milliseconds(static_cast<std::int64_t>(objective.target));
    result.window = objective.window > Duration() ? objective.window : WINDOW_DEFAULT;
    result.applies = [objects, selector = objective.selector](std::string_view service,
                                                              std::string_view /*organisation*/) {
        const auto *found = objects->find<Service>(service);
        return found != nullptr && selector.matches(found->labels);
    };
    return result;
}

} // namespace

auto burnObjectivesOf(const std::shared_ptr<const FleetObjects> &objects)
    -> std::vector<BurnObjective>
{
    auto objectives = std::vector<BurnObjective>();
    objects->table<Objective>().forEach([&](const Objective &objective) {
        objectives.push_back(toBurnObjective(objective, objects));
    });
    return objectives;
}

} // namespace auburnrail
