#include <wire/ConsensusCodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace auburnrail {

using namespace std::chrono_literals;

// Guards against a member of a message that the encoding loses or changes.
TEST_CASE("each kind of message and entry survives its encoding")
{
    const auto configuration = Configuration{{{"m1", 0}, {"m2", ~std::uint64_t(0)}}};
    const auto entries = std::vector<LogEntry>{
        {3, EntryKind::Noop, "", {}},
        {3, EntryKind::Command, std::string("\0\xff payload", 10), {}},
        {4, EntryKind::Configuration, "", configuration},
    };
    const auto bodies = std::vector<MessageBody>{
        VoteRequest{true, 5, 4},
        VoteResponse{false, true},
        AppendRequest{7, 3, 6, 123456789ns, entries},
        AppendResponse{true, 8, 2, 5s},
        SnapshotRequest{9, 4, configuration, 65536, std::string("\0chunk", 6), true, 1ns},
        SnapshotResponse{9, 131072, 2ns},
        JoinRequest{},
    };
    for (const auto &body : bodies) {
        const auto message = Message{{"m2", ~std::uint64_t(0)}, {"m1", 0}, 12, body};
        INFO("alternative " << body.index());
        CHECK(*decodeMessage(encodeMessage(message)) == message);
    }
    for (const auto &entry : entries)
        CHECK(*decodeEntry(encodeEntry(entry)) == entry);
    const auto snapshot = Snapshot{9, 4, configuration, std::string("\0state", 6)};
    CHECK(*decodeConsensusSnapshot(encodeConsensusSnapshot(snapshot)) == snapshot);
}

// Guards against crashes on bytes that are no message.
TEST_CASE("arbitrary bytes are refused or decoded, never fatal")
{
    CHECK_FALSE(decodeMessage("").ok());
    const auto valid = encodeMessage({{"m1", 1}, {"m2", 2}, 3, VoteRequest{true, 5, 4}});
    CHECK(decodeMessage(valid.substr(0, valid.size() / 2)).status().code()
          == absl::StatusCode::kDataLoss);
    REQUIRE(rc::check([](const std::string &bytes) {
        std::ignore = decodeMessage(bytes);
        std::ignore = decodeEntry(bytes);
        std::ignore = decodeConsensusSnapshot(bytes);
    }));
}

} // namespace auburnrail
