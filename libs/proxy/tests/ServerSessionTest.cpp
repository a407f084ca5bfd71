#include <proxy/ServerSession.h>

#include <catch2/catch.hpp>

namespace auburnrail {

namespace {

/// Makes the connection ready for `prepared`; returns the statement's name on it.
auto prepareOn(ServerSession &session, const PreparedStatement &prepared) -> std::string
{
    for (const auto &request : session.preparations({}, prepared, false))
        session.applied(request);
    return session.nameOnServer(prepared);
}

} // namespace

// Guards against a statement that runs in place of another one under the same name.
TEST_CASE("each statement prepared on a connection has a name of its own, which is one word")
{
    auto session = ServerSession();
    const auto shapes = std::vector<std::string>{"x", "x WRITE y",           " x", "x ", "WRITE x",
                                                 "1", std::string(5000, 'x')};
    auto statementsByName = std::map<std::string, PreparedStatement>();
    for (const auto &shape : shapes) {
        for (const auto writes : {false, true}) {
            const auto statement = PreparedStatement{.shape = shape, .writes = writes};
            const auto name = prepareOn(session, statement);
            CHECK(name.find(' ') == std::string::npos);
            CHECK(name.size() < 10);
            CHECK(statementsByName.emplace(name, statement).second);
        }
    }
    for (const auto &[name, statement] : statementsByName) {
        CHECK(session.preparations({}, statement, false).empty());
        CHECK(session.nameOnServer(statement) == name);
    }
}

// Guards against a name of before a reset that now stands for another statement.
TEST_CASE("a name is not used again after a reset of its connection")
{
    auto session = ServerSession();
    const auto first = prepareOn(session, {.shape = "x"});
    session.applied(ServerRequest{.operation = ServerOperation::ResetSession});
    CHECK(prepareOn(session, {.shape = "y"}) != first);
    CHECK(session.preparations({}, PreparedStatement{.shape = "x"}, false).size() == 1);
}

// Guards against connections that keep as much text as clients prepare on them.
TEST_CASE("a connection that holds many bytes of prepared statements is reset")
{
    auto session = ServerSession();
    const auto isReset = [&session](bool inTransaction) {
        const auto requests = session.preparations({}, std::nullopt, inTransaction);
        return !requests.empty() && requests[0].operation == ServerOperation::ResetSession;
    };
    std::ignore =
        prepareOn(session, {.shape = std::string(ServerSession::MAX_PREPARED_BYTES - 1, 'x')});
    CHECK_FALSE(isReset(false));
    std::ignore = prepareOn(session, {.shape = "y"});
    CHECK_FALSE(isReset(true));
    CHECK(isReset(false));
    session.applied(ServerRequest{.operation = ServerOperation::ResetSession});
    CHECK_FALSE(isReset(false));
}

} // namespace auburnrail
