#ifndef AUBURNRAIL_ENTRY_SESSIONCODECS_H
#define AUBURNRAIL_ENTRY_SESSIONCODECS_H

#include <proxy/ClientCodec.h>
#include <proxy/ServerCodec.h>

namespace auburnrail {

/// How an entry's sessions are spoken, on either side.
struct SessionCodecs
{
    ClientCodec client;
    ServerCodec server;
};

} // namespace auburnrail

#endif
