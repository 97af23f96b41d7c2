#include "drivers/TlsKeys.h"

#include "drivers/BlockingClient.h"
#include "drivers/HttpServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509.h>
#include <thread>

namespace turmericpitch {
namespace {

constexpr long HourS = 3600;
constexpr std::uint16_t TestPort = 17411;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

Key curveKey() { return {EVP_EC_gen("P-256"), EVP_PKEY_free}; }
Key shortRsaKey() { return {EVP_RSA_gen(1024), EVP_PKEY_free}; }

Certificate issueCertificate(const Key &OwnKey, long ValidUntilS) {
  Certificate Issued(X509_new(), X509_free);
  X509_set_version(Issued.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(Issued.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(Issued.get()), -2 * HourS);
  X509_gmtime_adj(X509_getm_notAfter(Issued.get()), ValidUntilS);
  X509_NAME *Name = X509_get_subject_name(Issued.get());
  X509_NAME_add_entry_by_txt(
      Name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char *>("localhost"), -1, -1, 0);
  X509_set_issuer_name(Issued.get(), Name);
  X509_set_pubkey(Issued.get(), OwnKey.get());
  X509_sign(Issued.get(), OwnKey.get(), EVP_sha256());
  return Issued;
}

/// Writes the key and the certificate to files named after the running test.
TlsFiles writeFiles(const Key &OwnKey, const Certificate &Issued) {
  std::string Base =
      testing::TempDir() +
      testing::UnitTest::GetInstance()->current_test_info()->name();
  TlsFiles Files{.Certificate = Base + ".crt", .PrivateKey = Base + ".key"};
  FILE *KeyFile = std::fopen(Files.PrivateKey.c_str(), "w");
  PEM_write_PrivateKey(KeyFile, OwnKey.get(), nullptr, nullptr, 0, nullptr,
                       nullptr);
  std::fclose(KeyFile);
  FILE *CertificateFile = std::fopen(Files.Certificate.c_str(), "w");
  PEM_write_X509(CertificateFile, Issued.get());
  std::fclose(CertificateFile);
  return Files;
}

void expectRefused(const TlsFiles &Files, const std::string &Reason) {
  auto Loaded = TlsKeys::load(Files);
  ASSERT_FALSE(Loaded);
  EXPECT_EQ(Loaded.error().Kind, ErrorKind::BadRequest);
  EXPECT_NE(Loaded.error().Message.find(Reason), std::string::npos)
      << Loaded.error().Message;
  EXPECT_FALSE(Loaded.error().Remedy.empty());
}

TEST(TlsKeys, RefusesWeakKey) {
  Key OwnKey = shortRsaKey();
  expectRefused(writeFiles(OwnKey, issueCertificate(OwnKey, HourS)), "small");
}

TEST(TlsKeys, RefusesExpiredCertificate) {
  Key OwnKey = curveKey();
  expectRefused(writeFiles(OwnKey, issueCertificate(OwnKey, -HourS)),
                "expired");
}

TEST(TlsKeys, RefusesKeyOfAnotherCertificate) {
  Key OwnKey = curveKey();
  Key Other = curveKey();
  expectRefused(writeFiles(Other, issueCertificate(OwnKey, HourS)),
                "private key");
}

TEST(TlsKeys, RefusesMissingFiles) {
  expectRefused({.Certificate = "/nowhere", .PrivateKey = "/nowhere"},
                "can't use the certificate");
}

TEST(TlsKeys, FailedReloadKeepsCurrentKeys) {
  Key OwnKey = curveKey();
  auto Keys =
      TlsKeys::load(writeFiles(OwnKey, issueCertificate(OwnKey, HourS)));
  ASSERT_TRUE(Keys) << Keys.error().Message;
  TlsContext Before = Keys.value()->current();
  writeFiles(OwnKey, issueCertificate(OwnKey, -HourS));
  EXPECT_FALSE(Keys.value()->reload());
  EXPECT_EQ(Keys.value()->current(), Before);
  writeFiles(OwnKey, issueCertificate(OwnKey, HourS));
  EXPECT_TRUE(Keys.value()->reload());
  EXPECT_NE(Keys.value()->current(), Before);
}

TEST(TlsKeys, ServesTlsClientThatTrustsItAndRefusesPlainTcp) {
  Key OwnKey = curveKey();
  TlsFiles Files = writeFiles(OwnKey, issueCertificate(OwnKey, HourS));
  auto Keys = TlsKeys::load(Files);
  ASSERT_TRUE(Keys) << Keys.error().Message;
  boost::asio::io_context Context;
  auto Work = boost::asio::make_work_guard(Context);
  HttpServerOptions Options;
  Options.Listen = {.Address = "127.0.0.1", .Port = TestPort};
  Options.CurrentTls = [Shared = Keys.value()] { return Shared->current(); };
  HttpServer Server(Context.get_executor(), Options, []() -> HttpHandler {
    return [](HttpRequest Request) -> Awaitable<HttpReply> {
      HttpReply Reply;
      Reply.Body = Request.Target;
      co_return Reply;
    };
  });
  Status Started = Server.start();
  ASSERT_TRUE(Started) << Started.error().Message;
  std::thread Serving([&] { Context.run(); });
  auto Trusting = loadTlsAuthorities(Files.Certificate);
  ASSERT_TRUE(Trusting);
  HttpRequest Request;
  Request.Target = "/hello";
  Duration Timeout = std::chrono::seconds(10);
  auto Reply = callAndWait(Options.Listen, Request, Timeout, Trusting.value());
  auto Plain = callAndWait(Options.Listen, Request, Timeout);
  Context.stop();
  Serving.join();
  ASSERT_TRUE(Reply) << Reply.error().Message;
  EXPECT_EQ(Reply.value().Body, "/hello");
  EXPECT_FALSE(Plain);
}

} // namespace
} // namespace turmericpitch
