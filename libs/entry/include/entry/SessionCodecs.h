#ifndef AUBURNRAIL_ENTRY_SESSIONCODECS_H
#define AUBURNRAIL_ENTRY_SESSIONCODECS_H

#include <proxy/ClientCodec.h>
#include <proxy/ServerCodec.h>

namespace auburnrail {

/// Protocol codecs of an entry's sessions, for the client side and the server side.
struct SessionCodecs
{
    ClientCodec client;
    ServerCodec server;
};

} // namespace auburnrail

#endif
