// JSON encoding of the platform's key-value requests: the subset of the etcd
// v3 JSON gateway that is used.
#pragma once

#include "core/KeyValue.h"
#include "drivers/Json.h"

namespace turmericpitch {

/// The path and the body of an encoded request.
struct EncodedKeyValueRequest {
  std::string Target;
  std::string Body;
};

/// A request to watch all keys with a prefix for changes after a revision.
struct WatchRequest {
  std::string Prefix;
  Revision After;
};

// All functions are thread-safe. Decoding errors are BadRequest.

EncodedKeyValueRequest encodeKeyValueRequest(const KeyValueRequest &Request);
Result<KeyValueRequest> decodeKeyValueRequest(std::string_view Target,
                                              std::string_view Body);
std::string encodeKeyValueAnswer(const KeyValueRequest &Request,
                                 const KeyValueAnswer &Answer);
Result<KeyValueAnswer> decodeKeyValueAnswer(std::string_view Body);

inline constexpr std::string_view WatchTarget = "/v3/watch";
std::string encodeWatchRequest(const WatchRequest &Request);
Result<WatchRequest> decodeWatchRequest(std::string_view Body);
/// Encodes one line of a watch stream, without the line end.
std::string encodeWatchBatch(const WatchBatch &Batch);
Result<WatchBatch> decodeWatchBatch(std::string_view Line);

} // namespace turmericpitch
