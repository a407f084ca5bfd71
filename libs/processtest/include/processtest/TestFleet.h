#ifndef AUBURNRAIL_PROCESSTEST_TESTFLEET_H
#define AUBURNRAIL_PROCESSTEST_TESTFLEET_H

#include <processtest/ChildProcess.h>
#include <processtest/ProgramResult.h>
#include <processtest/TcpLink.h>
#include <processtest/TestFleetSettings.h>

#include <request/CallerRequest.h>
#include <request/CallerResponse.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace auburnrail {

/// A fleet of real processes on loopback: control members, entries and groups of emulated
/// endpoints, each with its INI file, log and data directory under one temporary folder. Process
/// names: `control-1`, `entry-1`, `GROUP-1` and so on, counted from 1. Thread rule: call() is safe
/// from any thread; the rest belongs to one thread.
class TestFleet
{
public:
    /// Writes the settings; starts nothing.
    explicit TestFleet(TestFleetSettings fleetSettings);
    TestFleet(const TestFleet &) = delete;
    auto operator=(const TestFleet &) -> TestFleet & = delete;

    /// Kills every process and removes the folder, unless the test failed by an exception.
    ~TestFleet();

    /// Formats the control members' data directories, starts every process and waits until each
    /// entry is ready. Throws when that takes longer than 30 s.
    auto start() -> void;

    auto startProcess(const std::string &name) -> void;
    [[nodiscard]] auto process(const std::string &name) -> ChildProcess &;

    /// Removes a control member's data directory; the process must not run.
    auto loseDisk(const std::string &name) -> void;

    /// Cuts every link from and to the process, silently. Needs settings.links.
    auto isolate(const std::string &name) -> void;

    /// Restores every link from and to the process.
    auto reconnect(const std::string &name) -> void;

    /// Runs the operators' command line against all control members and waits for its end.
    [[nodiscard]] auto command(const std::vector<std::string> &words) -> ProgramResult;

    /// Like command(); throws with the output when the exit status is not 0.
    auto mustCommand(const std::vector<std::string> &words) -> std::string;

    /// Sends `request` to the entry on a connection of its own.
    [[nodiscard]] auto call(const std::string &entry, const CallerRequest &request)
        -> CallerResponse;

    /// Repeats `attempt` until it returns true; false when `limit` passed first.
    [[nodiscard]] auto eventually(Duration limit, const std::function<auto()->bool> &attempt)
        -> bool;

    /// IP:port of a process's main address: callers, operators (control) or endpoint.
    [[nodiscard]] auto address(const std::string &name) const -> std::string;

    /// IP:port of an entry's or a control member's operators' address.
    [[nodiscard]] auto operatorsAddress(const std::string &name) const -> std::string;

    /// All output of a process so far.
    [[nodiscard]] auto logOf(const std::string &name) const -> std::string;

    [[nodiscard]] auto folder() const -> const std::string &;

private:
    struct Member
    {
        std::string program;
        std::string address;
        std::string operatorsAddress;
        std::string internalAddress; ///< Control: consensus messages.
        std::string entriesAddress;  ///< Control: heartbeats of entries.
        std::unique_ptr<ChildProcess> process;
    };

    /// Address of `receiver` as `sender` has to use it; `real` is where the receiver listens.
    [[nodiscard]] auto through(const std::string &sender, const std::string &receiver,
                               const std::string &real) -> std::string;
    auto writeControls() -> void;
    auto writeEntries() -> void;
    auto writeEndpoints() -> void;
    auto writeFile(const std::string &name, const std::string &text) const -> void;
    [[nodiscard]] auto zoneOf(std::size_t index) const -> std::string;

    TestFleetSettings settings;
    std::string path;
    std::map<std::string, Member> members;
    std::multimap<std::pair<std::string, std::string>, std::unique_ptr<TcpLink>> links;
};

} // namespace auburnrail

#endif
