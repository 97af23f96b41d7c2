// The certificate and key with which an instance answers.
#pragma once

#include "core/Error.h"
#include "drivers/ByteStream.h"

#include <memory>
#include <mutex>
#include <string>

namespace turmericpitch {

/// Where certificate chain and private key lie, in PEM.
struct TlsFiles {
  std::string Certificate;
  std::string PrivateKey;

  bool operator==(const TlsFiles &) const = default;
};

/// Loads and checks keys, and exchanges them while serving. Thread-safe.
class TlsKeys {
public:
  /// Errors: BadRequest naming the remedy if a file can't be read, key and
  /// certificate don't belong together, the key is weak or the certificate
  /// has expired.
  static Outcome<std::shared_ptr<TlsKeys>> load(TlsFiles Files);

  /// Reads the files again; on an error the present keys stay. Errors: as
  /// load().
  Status reload();
  /// The keys for the next connection.
  [[nodiscard]] TlsContext current() const;

private:
  explicit TlsKeys(TlsFiles Files) : Files(std::move(Files)) {}

  TlsFiles Files;
  mutable std::mutex Mutex;
  TlsContext Current;
};

/// The rules with which a client checks an instance: its certificate must
/// lead to one of the authorities in the file. Errors: BadRequest.
Outcome<TlsContext> loadTlsAuthorities(const std::string &File);

} // namespace turmericpitch
