#include <control/ControlTables.h>

#include <absl/strings/str_cat.h>

#include <future>
#include <memory>
#include <utility>

namespace auburnrail {

auto ControlTables::makeCommand(CommandBody body) -> Command
{
    auto command = Command();
    command.header.commandId =
        absl::StrCat("system-", absl::Hex(this->random()), absl::Hex(this->random()));
    command.header.baseRevision = this->store.revision();
    command.header.operatorName = "auburnrail";
    command.body = std::move(body);
    return command;
}

auto ControlTables::run(const Command &command, CommandWait wait, Duration timeLimit)
    -> absl::StatusOr<CommandResult>
{
    const auto begin = this->executor.now();
    const auto promise = std::make_shared<std::promise<absl::StatusOr<CommandResult>>>();
    auto future = promise->get_future();
    const auto done = [promise](absl::StatusOr<CommandResult> result) {
        promise->set_value(std::move(result));
    };
    if (wait == CommandWait::InForce)
        this->pipeline.submitAndAwaitInForce(command, done);
    else
        this->pipeline.submit(command, done);
    auto result = future.wait_for(timeLimit) == std::future_status::ready
                      ? future.get()
                      : absl::DeadlineExceededError("the outcome was not known in time");
    this->metrics.countCommand(result.status(), this->executor.now() - begin);
    return result;
}

auto ControlTables::runUntilInForce(CommandBody body, Duration timeLimit) -> absl::Status
{
    const auto result =
        this->run(this->makeCommand(std::move(body)), CommandWait::InForce, timeLimit);
    if (!result.ok())
        return result.status();
    if (result->status == CommandStatus::Applied)
        return absl::OkStatus();
    return result->status == CommandStatus::Invalid ? absl::InvalidArgumentError(result->message)
                                                    : absl::UnavailableError(result->message);
}

auto ControlTables::submitInternal(CommandBody body) -> void
{
    this->pipeline.submit(
        this->makeCommand(std::move(body)),
        [this, begin = this->executor.now()](const absl::StatusOr<CommandResult> &result) {
            this->metrics.countCommand(result.status(), this->executor.now() - begin);
        });
}

} // namespace auburnrail
