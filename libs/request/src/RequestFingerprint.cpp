#include <RequestFingerprint.h>

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace auburnrail::detail {

auto fingerprintOf(const CallerRequest &request) -> std::string
{
    auto engine = Poco::SHA2Engine(Poco::SHA2Engine::SHA_256);
    for (const auto &part :
         {request.service, std::string(nameOf(request.mode)), request.statement}) {
        // The length prefix distinguishes ("ab", "c") from ("a", "bc").
        engine.update(std::to_string(part.size()) + ":");
        engine.update(part);
    }
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace auburnrail::detail
