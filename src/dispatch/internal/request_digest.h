#ifndef DISPATCH_INTERNAL_REQUEST_DIGEST_H_
#define DISPATCH_INTERNAL_REQUEST_DIGEST_H_

#include <string>

#include "dispatch/dispatch_types.h"

namespace limpetrudder::detail {

// Returns 128 bits of a SHA-256, in hexadecimal, by which a request is known
// again when it comes once more, with another id and at any instance: of its
// method, host, path, query and body, and of the headers by which servers tell
// callers apart, or of the caller's account if it has one, whichever of its
// keys it uses. Nobody can make up a request with the digest of another one.
// Thread safe.
std::string DigestOf(const RequestMessage& message,
                     const std::string& account = {});

}  // namespace limpetrudder::detail

#endif  // DISPATCH_INTERNAL_REQUEST_DIGEST_H_
