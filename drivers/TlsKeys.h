// TLS certificate and private key of an instance's servers.
#pragma once

#include "core/Error.h"
#include "drivers/ByteStream.h"

#include <memory>
#include <mutex>
#include <string>

namespace turmericpitch {

/// Paths of the certificate chain and the private key, both in PEM format.
struct TlsFiles {
  std::string Certificate;
  std::string PrivateKey;

  bool operator==(const TlsFiles &) const = default;
};

/// Loads and validates TLS keys and replaces them at run time. Thread-safe.
class TlsKeys {
public:
  /// Loads and validates the files. Errors: BadRequest with a remedy if a file
  /// can't be read, the key doesn't match the certificate, the key is too short
  /// or the certificate has expired.
  static Outcome<std::shared_ptr<TlsKeys>> load(TlsFiles Files);

  /// Reads the files again. On an error the current keys remain in use.
  /// Errors: see load().
  Status reload();
  /// The TLS context for new connections.
  [[nodiscard]] TlsContext current() const;

private:
  explicit TlsKeys(TlsFiles Files) : Files(std::move(Files)) {}

  TlsFiles Files;
  mutable std::mutex Mutex;
  TlsContext Current;
};

/// Creates a client context that accepts only servers whose certificate chains
/// to an authority in the file. Errors: BadRequest if the file can't be read.
Outcome<TlsContext> loadTlsAuthorities(const std::string &File);

} // namespace turmericpitch
