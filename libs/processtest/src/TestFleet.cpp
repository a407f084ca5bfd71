#include <processtest/TestFleet.h>

#include <processtest/FreeAddress.h>

#include <callers/CallerCodec.h>
#include <http/HttpConnection.h>

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace auburnrail {

namespace {

using namespace std::chrono_literals;

constexpr auto START_LIMIT = 30s;
constexpr auto COMMAND_LIMIT = 30s;
constexpr auto RETRY_INTERVAL = 20ms;
constexpr auto CALL_GRACE = 2s;

auto numbered(const std::string &kind, std::size_t index) -> std::string
{
    return kind + "-" + std::to_string(index + 1);
}

auto readFile(const std::string &path) -> std::string
{
    auto stream = std::ifstream(path);
    auto text = std::ostringstream();
    text << stream.rdbuf();
    return text.str();
}

auto join(const std::vector<std::string> &items) -> std::string
{
    auto text = std::string();
    for (const auto &item : items)
        text += (text.empty() ? "" : ", ") + item;
    return text;
}

} // namespace

TestFleet::TestFleet(TestFleetSettings fleetSettings)
    : settings(std::move(fleetSettings))
    , path(Poco::TemporaryFile::tempName())
{
    Poco::File(this->path).createDirectories();
    this->writeFile("secret", "test-cluster-secret\n");
    for (auto index = std::size_t(0); index < this->settings.controls; ++index) {
        this->members[numbered("control", index)] = Member{.program = "auburnrail-control",
                                                           .operatorsAddress = freeAddress(),
                                                           .internalAddress = freeAddress(),
                                                           .entriesAddress = freeAddress()};
    }
    for (auto index = std::size_t(0); index < this->settings.entries; ++index) {
        this->members[numbered("entry", index)] = Member{.program = "auburnrail-entry",
                                                         .address = freeAddress(),
                                                         .operatorsAddress = freeAddress()};
    }
    for (const auto &group : this->settings.groups) {
        for (auto index = std::size_t(0); index < this->settings.endpointsPerGroup; ++index) {
            this->members[numbered(group, index)] =
                Member{.program = "auburnrail-standin", .address = freeAddress()};
        }
    }
    this->writeControls();
    this->writeEntries();
    this->writeEndpoints();
}

TestFleet::~TestFleet()
{
    for (auto &[name, member] : this->members)
        member.process.reset();
    this->links.clear();
    if (std::uncaught_exceptions() == 0)
        Poco::File(this->path).remove(true);
}

auto TestFleet::zoneOf(std::size_t index) const -> std::string
{
    return this->settings.zones[index % this->settings.zones.size()];
}

auto TestFleet::writeFile(const std::string &name, const std::string &text) const -> void
{
    std::ofstream(this->path + "/" + name) << text;
}

auto TestFleet::through(const std::string &sender, const std::string &receiver,
                        const std::string &real) -> std::string
{
    if (!this->settings.links || sender == receiver)
        return real;
    const auto added = this->links.emplace(std::pair(sender, receiver),
                                           std::make_unique<TcpLink>(real, Duration()));
    return added->second->address();
}

auto TestFleet::writeControls() -> void
{
    for (auto index = std::size_t(0); index < this->settings.controls; ++index) {
        const auto name = numbered("control", index);
        auto consensus = std::vector<std::string>();
        auto operators = std::vector<std::string>();
        for (auto other = std::size_t(0); other < this->settings.controls; ++other) {
            const auto peer = numbered("control", other);
            const auto &member = this->members.at(peer);
            consensus.push_back(peer + "@" + this->through(name, peer, member.internalAddress));
            operators.push_back(peer + "@" + member.operatorsAddress);
        }
        const auto &self = this->members.at(name);
        this->writeFile(
            name + ".ini",
            absl::StrCat(
                "[control]\ncluster = test\nmember = ", name, "\nzone = ", this->zoneOf(index),
                "\nconsensus_address = ", self.internalAddress, "\nmembers = ", join(consensus),
                "\nentries_address = ", self.entriesAddress,
                "\noperators_address = ", self.operatorsAddress,
                "\nmember_operators = ", join(operators), "\ndata_directory = ", this->path, "/",
                name, "-data\n[security]\ncluster_secret_file = ", this->path, "/secret\n"));
    }
}

auto TestFleet::writeEntries() -> void
{
    for (auto index = std::size_t(0); index < this->settings.entries; ++index) {
        const auto name = numbered("entry", index);
        auto controls = std::vector<std::string>();
        for (auto other = std::size_t(0); other < this->settings.controls; ++other) {
            const auto control = numbered("control", other);
            controls.push_back(
                control + "@"
                + this->through(name, control, this->members.at(control).entriesAddress));
        }
        const auto &self = this->members.at(name);
        this->writeFile(name + ".ini",
                        absl::StrCat("[entry]\ninstance = ", name, "\nzone = ", this->zoneOf(index),
                                     "\ncallers_address = ", self.address,
                                     "\noperators_address = ", self.operatorsAddress,
                                     "\n[control]\nmembers = ", join(controls),
                                     "\n[security]\ncluster_secret_file = ", this->path,
                                     "/secret\n"));
    }
}

auto TestFleet::writeEndpoints() -> void
{
    auto entries = std::vector<std::string>();
    for (auto index = std::size_t(0); index < this->settings.entries; ++index)
        entries.push_back(this->members.at(numbered("entry", index)).address);
    for (const auto &group : this->settings.groups) {
        for (auto index = std::size_t(0); index < this->settings.endpointsPerGroup; ++index) {
            const auto name = numbered(group, index);
            this->writeFile(name + ".ini",
                            absl::StrCat("[standin]\nendpoint = ", name, "\ngroup = ", group,
                                         "\nzone = ", this->zoneOf(index),
                                         "\naddress = ", this->members.at(name).address,
                                         "\nentries = ", join(entries),
                                         "\nannounce_interval_ms = 200\n",
                                         this->settings.standInExtra, "\n"));
        }
    }
}

auto TestFleet::start() -> void
{
    for (auto index = std::size_t(0); index < this->settings.controls; ++index) {
        const auto name = numbered("control", index);
        auto format = ChildProcess(this->settings.binDirectory + "/auburnrail-control",
                                   {"--init", this->path + "/" + name + ".ini"},
                                   this->path + "/" + name + ".log");
        if (format.waitForExit(START_LIMIT) != 0)
            throw std::runtime_error("--init of " + name + " failed: " + this->logOf(name));
    }
    for (const auto &[name, member] : this->members)
        this->startProcess(name);
    for (auto index = std::size_t(0); index < this->settings.entries; ++index) {
        const auto name = numbered("entry", index);
        const auto ready = this->eventually(START_LIMIT, [&] {
            const auto result = exchangeOnce(this->operatorsAddress(name),
                                             {.method = "GET", .target = "/readyz"}, 1s);
            return result.phase == ExchangePhase::Answered && result.response.status == 200;
        });
        if (!ready)
            throw std::runtime_error(name + " did not get ready: " + this->logOf(name));
    }
}

auto TestFleet::startProcess(const std::string &name) -> void
{
    auto &member = this->members.at(name);
    member.process.reset();
    member.process =
        std::make_unique<ChildProcess>(this->settings.binDirectory + "/" + member.program,
                                       std::vector<std::string>{this->path + "/" + name + ".ini"},
                                       this->path + "/" + name + ".log");
}

auto TestFleet::process(const std::string &name) -> ChildProcess &
{
    return *this->members.at(name).process;
}

auto TestFleet::loseDisk(const std::string &name) -> void
{
    Poco::File(this->path + "/" + name + "-data").remove(true);
}

auto TestFleet::isolate(const std::string &name) -> void
{
    for (auto &[ends, link] : this->links) {
        if (ends.first == name || ends.second == name)
            link->cut();
    }
}

auto TestFleet::reconnect(const std::string &name) -> void
{
    for (auto &[ends, link] : this->links) {
        if (ends.first == name || ends.second == name)
            link->heal();
    }
}

auto TestFleet::command(const std::vector<std::string> &words) -> ProgramResult
{
    auto controls = std::string();
    for (auto index = std::size_t(0); index < this->settings.controls; ++index)
        controls += (index == 0 ? "" : ",") + this->operatorsAddress(numbered("control", index));
    auto arguments = std::vector<std::string>{"--control", controls};
    arguments.insert(arguments.end(), words.begin(), words.end());
    const auto logPath = Poco::TemporaryFile::tempName(this->path);
    auto program = ChildProcess(this->settings.binDirectory + "/auburnrail", arguments, logPath);
    const auto status = program.waitForExit(COMMAND_LIMIT);
    return ProgramResult{.exitStatus = status.value_or(-1), .output = readFile(logPath)};
}

auto TestFleet::mustCommand(const std::vector<std::string> &words) -> std::string
{
    auto result = this->command(words);
    if (result.exitStatus != 0)
        throw std::runtime_error(words.front() + " failed: " + result.output);
    return result.output;
}

auto TestFleet::call(const std::string &entry, const CallerRequest &request) -> CallerResponse
{
    const auto now = std::chrono::steady_clock::now();
    const auto result = exchangeOnce(this->address(entry), encodeCallerRequest(request, now),
                                     request.deadline - now + CALL_GRACE);
    if (result.phase == ExchangePhase::Answered)
        return decodeCallerResponse(result.response);
    auto answer = CallerResponse();
    const auto neverSent =
        result.phase == ExchangePhase::Connecting || result.phase == ExchangePhase::Refused;
    answer.outcome = neverSent ? Outcome::NotRun : Outcome::Unknown;
    answer.reason = ReasonCode::ConnectionLost;
    answer.message = result.error;
    return answer;
}

auto TestFleet::eventually(Duration limit, const std::function<auto()->bool> &attempt) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!attempt()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(RETRY_INTERVAL);
    }
    return true;
}

auto TestFleet::address(const std::string &name) const -> std::string
{
    return this->members.at(name).address;
}

auto TestFleet::operatorsAddress(const std::string &name) const -> std::string
{
    return this->members.at(name).operatorsAddress;
}

auto TestFleet::logOf(const std::string &name) const -> std::string
{
    return readFile(this->path + "/" + name + ".log");
}

auto TestFleet::folder() const -> const std::string &
{
    return this->path;
}

} // namespace auburnrail
