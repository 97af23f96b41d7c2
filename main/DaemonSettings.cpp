#include "main/DaemonSettings.h"

#include "core/YamlReader.h"

#include <ctime>
#include <iomanip>
#include <sstream>

namespace turmericpitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t MinSecretLength = 16;
constexpr std::size_t DigestLength = 64;
constexpr NumberBounds ThreadBounds{.Min = 1, .Max = 64};
constexpr DurationBounds ProbeBounds{.Min = milliseconds(10),
                                     .Max = seconds(10)};
constexpr DurationBounds SilenceBounds{.Min = milliseconds(50),
                                       .Max = seconds(15)};
constexpr DurationBounds WaitBounds{.Min = Duration{0}, .Max = seconds(5)};
constexpr DurationBounds TimeoutBounds{.Min = milliseconds(10),
                                       .Max = minutes(10)};

PeerSettings readPeer(YamlReader &Reader) {
  PeerSettings Peer{.Id = InstanceId{Reader.name("instance")},
                    .PeerEndpoint = Reader.endpoint("address"),
                    .Zone = ZoneId{Reader.name("availability_zone")}};
  Reader.finish();
  return Peer;
}

/// Reads a UTC time such as "2027-01-31T18:00:00Z". Returns nothing if the key
/// is absent.
std::optional<WallTime> readWallTime(YamlReader &Reader,
                                     const std::string &Key) {
  std::string Text = Reader.text(Key, "");
  if (Text.empty())
    return std::nullopt;
  std::tm Fields{};
  std::istringstream Stream(Text);
  Stream >> std::get_time(&Fields, "%Y-%m-%dT%H:%M:%SZ");
  if (Stream.fail() || Stream.peek() != std::istringstream::traits_type::eof())
    Reader.problem(Key, "not a UTC time", "write it as 2027-01-31T18:00:00Z");
  return WallTime(std::chrono::seconds(timegm(&Fields)));
}

/// Reads a list of keys. Key is TokenKey or PeerKey.
template <typename Key>
std::vector<Key> readKeys(YamlReader &Parent, const std::string &List) {
  std::vector<Key> Keys;
  for (YamlReader &Reader : Parent.mappings(List)) {
    Key Read{.Id = Reader.name("name"), .Secret = Reader.text("secret")};
    if (Read.Secret.size() < MinSecretLength)
      Reader.problem("secret", "too short",
                     "use at least 16 random characters");
    if constexpr (requires { Read.AcceptedUntil; })
      Read.AcceptedUntil = readWallTime(Reader, "accepted_until");
    Reader.finish();
    Keys.push_back(std::move(Read));
  }
  if (Keys.empty())
    Parent.problem(List, "no keys given",
                   "give at least one key; the first one signs");
  return Keys;
}

std::optional<TlsFiles> readTls(YamlReader &Parent) {
  if (!Parent.has("tls")) {
    // Registers the key, so that error messages list it as allowed.
    Parent.mapping("tls");
    return std::nullopt;
  }
  YamlReader Reader = Parent.mapping("tls");
  TlsFiles Files{.Certificate = Reader.text("certificate"),
                 .PrivateKey = Reader.text("private_key")};
  Reader.finish();
  return Files;
}

void readListen(YamlReader Reader, DaemonSettings &Settings) {
  Settings.CallerEndpoint = Reader.endpoint("callers");
  Settings.OperatorEndpoint = Reader.endpoint("operators");
  Settings.PeerEndpoint = Reader.endpoint("peers");
  Reader.finish();
}

void readRouting(YamlReader Reader, DaemonSettings &Settings) {
  Settings.MaxReplicaWait =
      Reader.duration("replica_wait", WaitBounds, Settings.MaxReplicaWait);
  Settings.MaxRequestTimeout = Reader.duration(
      "maximum_deadline", TimeoutBounds, Settings.MaxRequestTimeout);
  Reader.finish();
}

void readDrain(YamlReader Reader, DrainOptions &Drain) {
  Drain.BalancerNotice =
      Reader.duration("balancer_notice", WaitBounds, Drain.BalancerNotice);
  Drain.Timeout = Reader.duration("limit", TimeoutBounds, Drain.Timeout);
  Reader.finish();
}

void readFailover(YamlReader Reader, DaemonSettings &Settings) {
  Settings.ProbeInterval =
      Reader.duration("probe_interval", ProbeBounds, Settings.ProbeInterval);
  Settings.ProbeTimeout =
      Reader.duration("probe_limit", ProbeBounds, Settings.ProbeTimeout);
  Settings.PrimarySilenceTimeout = Reader.duration(
      "primary_silence_limit", SilenceBounds, Settings.PrimarySilenceTimeout);
  Settings.PromoterRankDelay = Reader.duration(
      "promoter_rank_delay", SilenceBounds, Settings.PromoterRankDelay);
  Reader.finish();
}

} // namespace

Result<DaemonSettings> parseDaemonSettings(std::string_view Text,
                                           const std::string &File) {
  YamlProblems Problems(File);
  auto Root = parseYamlMapping(Text, Problems);
  if (!Root)
    return boost::leaf::new_error(Problems.asError());
  YamlReader Reader(*Root, "", Problems);
  DaemonSettings Settings;
  Settings.Self = InstanceId{Reader.name("instance")};
  Settings.Zone = ZoneId{Reader.name("availability_zone")};
  readListen(Reader.mapping("listen"), Settings);
  Settings.PlatformEndpoint = Reader.endpoint("platform");
  for (YamlReader &Entry : Reader.mappings("peers"))
    Settings.Peers.push_back(readPeer(Entry));
  Settings.TokenKeys = readKeys<TokenKey>(Reader, "token_keys");
  Settings.PeerKeys = readKeys<PeerKey>(Reader, "peer_keys");
  Settings.OperatorCredentialDigest = Reader.text("operator_credential_digest");
  if (Settings.OperatorCredentialDigest.size() != DigestLength)
    Reader.problem("operator_credential_digest", "not a SHA-256 digest",
                   "write the 64 hexadecimal digits");
  Settings.Tls = readTls(Reader);
  Settings.Threads = static_cast<std::uint32_t>(
      Reader.number("threads", ThreadBounds, Settings.Threads));
  readRouting(Reader.mapping("routing"), Settings);
  readFailover(Reader.mapping("failover"), Settings);
  readDrain(Reader.mapping("drain"), Settings.Drain);
  Reader.finish();
  if (!Problems.none())
    return boost::leaf::new_error(Problems.asError());
  return Settings;
}

} // namespace turmericpitch
