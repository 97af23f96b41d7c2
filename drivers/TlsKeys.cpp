#include "drivers/TlsKeys.h"

#include <boost/asio/ssl/context.hpp>
#include <openssl/evp.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

namespace turmericpitch {

namespace ssl = boost::asio::ssl;

namespace {

using ErrorCode = boost::system::error_code;

constexpr int MinRsaBits = 2048;
constexpr int MinCurveBits = 256;

Error refused(std::string Message, std::string Remedy) {
  return {.Kind = ErrorKind::BadRequest,
          .Message = std::move(Message),
          .Remedy = std::move(Remedy)};
}

TlsContext makeContext(ssl::context::method Method) {
  auto Context = std::make_shared<ssl::context>(Method);
  SSL_CTX_set_min_proto_version(Context->native_handle(), TLS1_2_VERSION);
  return Context;
}

Status checkStrengthAndExpiry(SSL_CTX *Context) {
  EVP_PKEY *Key = SSL_CTX_get0_privatekey(Context);
  int Bits = Key ? EVP_PKEY_bits(Key) : 0;
  bool Rsa = Key && EVP_PKEY_base_id(Key) == EVP_PKEY_RSA;
  if (Bits < (Rsa ? MinRsaBits : MinCurveBits))
    return refused(
        "the private key is too short: " + std::to_string(Bits) + " bits",
        "use an RSA key of at least 2048 bits or an elliptic-curve key of "
        "at least 256 bits");
  X509 *Certificate = SSL_CTX_get0_certificate(Context);
  bool Expired = !Certificate ||
                 X509_cmp_current_time(X509_get0_notAfter(Certificate)) < 0;
  if (Expired)
    return refused("the certificate has expired",
                   "renew the certificate and send SIGHUP to the instance");
  return std::monostate{};
}

Outcome<TlsContext> loadContext(const TlsFiles &Files) {
  TlsContext Context = makeContext(ssl::context::tls_server);
  ErrorCode Failure;
  Context->use_certificate_chain_file(Files.Certificate, Failure);
  if (Failure)
    return refused("can't use the certificate " + Files.Certificate + ": " +
                       Failure.message(),
                   "provide a readable PEM certificate chain");
  Context->use_private_key_file(Files.PrivateKey, ssl::context::pem, Failure);
  if (Failure)
    return refused("can't use the private key " + Files.PrivateKey + ": " +
                       Failure.message(),
                   "provide a readable PEM key that matches the certificate");
  if (SSL_CTX_check_private_key(Context->native_handle()) != 1)
    return refused("the private key does not match the certificate",
                   "provide the private key of the certificate");
  Status Checked = checkStrengthAndExpiry(Context->native_handle());
  if (!Checked)
    return Checked.error();
  return Context;
}

} // namespace

Outcome<std::shared_ptr<TlsKeys>> TlsKeys::load(TlsFiles Files) {
  std::shared_ptr<TlsKeys> Keys(new TlsKeys(std::move(Files)));
  Status Loaded = Keys->reload();
  if (!Loaded)
    return Loaded.error();
  return Keys;
}

Status TlsKeys::reload() {
  auto Loaded = loadContext(this->Files);
  if (!Loaded)
    return Loaded.error();
  std::lock_guard Lock(this->Mutex);
  this->Current = Loaded.value();
  return std::monostate{};
}

TlsContext TlsKeys::current() const {
  std::lock_guard Lock(this->Mutex);
  return this->Current;
}

Outcome<TlsContext> loadTlsAuthorities(const std::string &File) {
  TlsContext Context = makeContext(ssl::context::tls_client);
  ErrorCode Failure;
  Context->load_verify_file(File, Failure);
  if (Failure)
    return refused("can't read certificate authorities from " + File + ": " +
                       Failure.message(),
                   "provide a readable PEM file");
  Context->set_verify_mode(ssl::verify_peer, Failure);
  return Context;
}

} // namespace turmericpitch
