#ifndef AUBURNRAIL_STATE_SHA256ENGINE_H
#define AUBURNRAIL_STATE_SHA256ENGINE_H

#include <Poco/SHA2Engine.h>

#include <cstddef>

namespace auburnrail::detail {

/// SHA-256 with the size constants that Poco::HMACEngine requires of its engine; Poco::SHA2Engine
/// lacks them.
class Sha256Engine : public Poco::SHA2Engine
{
public:
    static constexpr auto BLOCK_SIZE = std::size_t(64);  ///< Bytes.
    static constexpr auto DIGEST_SIZE = std::size_t(32); ///< Bytes.

    Sha256Engine()
        : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
    {
    }
};

} // namespace auburnrail::detail

#endif
