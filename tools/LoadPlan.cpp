#include "tools/LoadPlan.h"

#include "core/NameTable.h"
#include "core/YamlReader.h"

namespace turmericpitch {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr NameTable<LoadFaultKind, 9> FaultNames{{
    {LoadFaultKind::CrashPrimary, "crash_primary"},
    {LoadFaultKind::PausePrimary, "pause_primary"},
    {LoadFaultKind::ResumeMembers, "resume_members"},
    {LoadFaultKind::LagReplicas, "lag_replicas"},
    {LoadFaultKind::CrashInstance, "crash_instance"},
    {LoadFaultKind::DrainInstance, "drain_instance"},
    {LoadFaultKind::StartInstance, "start_instance"},
    {LoadFaultKind::PlatformOutage, "platform_outage"},
    {LoadFaultKind::PlatformRecovery, "platform_back"},
}};

constexpr NumberBounds CountBounds{.Min = 1, .Max = 64};
constexpr NumberBounds RateBounds{.Min = 1, .Max = 100'000};
constexpr NumberBounds SessionBounds{.Min = 1, .Max = 10'000};
constexpr NumberBounds WeightBounds{.Min = 0, .Max = 1000};
constexpr NumberBounds PortBounds{.Min = 1024, .Max = 60'000};
constexpr DurationBounds LengthBounds{.Min = seconds(1), .Max = hours(1)};
constexpr DurationBounds DeadlineBounds{.Min = milliseconds(10),
                                        .Max = seconds(30)};
constexpr DurationBounds LagBounds{.Min = Duration{0}, .Max = seconds(60)};

template <typename T, typename From> T narrow(From Value) {
  return static_cast<T>(Value);
}

FleetOptions readFleet(YamlReader Reader) {
  FleetOptions Fleet;
  Fleet.BasePort = narrow<std::uint16_t>(
      Reader.number("base_port", PortBounds, Fleet.BasePort));
  Fleet.BrandName = Reader.name("brand", Fleet.BrandName);
  Fleet.BrandHost = Reader.name("host", Fleet.BrandHost);
  Fleet.AccountName = Reader.name("client_account", Fleet.AccountName);
  Fleet.ServiceName = Reader.name("database_service", Fleet.ServiceName);
  Fleet.DatabasePrefix = Reader.name("database_prefix", Fleet.DatabasePrefix);
  std::vector<std::string> Zones = Reader.texts("availability_zones");
  if (!Zones.empty())
    Fleet.Zones = std::move(Zones);
  Fleet.Databases = narrow<std::size_t>(Reader.number(
      "databases", CountBounds, narrow<std::int64_t>(Fleet.Databases)));
  Fleet.MembersPerDatabase = narrow<std::size_t>(
      Reader.number("members_each", {.Min = 1, .Max = 7},
                    narrow<std::int64_t>(Fleet.MembersPerDatabase)));
  Fleet.Instances = narrow<std::size_t>(Reader.number(
      "instances", CountBounds, narrow<std::int64_t>(Fleet.Instances)));
  Fleet.ConnectionLimit = narrow<std::uint32_t>(
      Reader.number("connection_limit", RateBounds, Fleet.ConnectionLimit));
  Fleet.Slots =
      narrow<std::uint32_t>(Reader.number("slots", CountBounds, Fleet.Slots));
  Fleet.ApplyLag =
      Reader.duration("replication_lag", LagBounds, Fleet.ApplyLag);
  Reader.finish();
  return Fleet;
}

LoadMix readMix(YamlReader Reader) {
  LoadMix Mix;
  auto Weight = [&](const std::string &Key, std::uint32_t Default) {
    return narrow<std::uint32_t>(Reader.number(Key, WeightBounds, Default));
  };
  Mix.Bookings = Weight("bookings", Mix.Bookings);
  Mix.Dispatches = Weight("dispatches", Mix.Dispatches);
  Mix.SessionReads = Weight("session_reads", Mix.SessionReads);
  Mix.CatalogueReads = Weight("catalogue_reads", Mix.CatalogueReads);
  if (Mix.Bookings + Mix.Dispatches + Mix.SessionReads + Mix.CatalogueReads ==
      0)
    Reader.problem("bookings", "every weight is 0",
                   "give at least one operation a weight");
  Reader.finish();
  return Mix;
}

LoadFault readFault(YamlReader &Reader, const FleetOptions &Fleet) {
  LoadFault Fault;
  Fault.StartsAt = Reader.duration("at", {.Min = Duration{0}, .Max = hours(1)});
  std::string Name = Reader.text("do");
  auto Kind = findValue(FaultNames, Name);
  Fault.Kind = Kind.value_or(Fault.Kind);
  if (!Kind)
    Reader.problem("do", "unknown fault '" + Name + "'",
                   "use crash_primary, pause_primary, resume_members, "
                   "lag_replicas, crash_instance, drain_instance, "
                   "start_instance, platform_outage or platform_back");
  auto Index = [&](const std::string &Key, std::size_t Count) {
    NumberBounds Bounds{.Min = 0, .Max = narrow<std::int64_t>(Count) - 1};
    return narrow<std::size_t>(Reader.number(Key, Bounds, 0));
  };
  Fault.Database = Index("database", Fleet.Databases);
  Fault.Instance = Index("instance", Fleet.Instances);
  Fault.Lag = Reader.duration("lag", LagBounds, Duration{0});
  Reader.finish();
  return Fault;
}

} // namespace

std::string_view toString(LoadFaultKind Kind) {
  return findName(FaultNames, Kind);
}

Result<LoadPlan> parseLoadPlan(std::string_view Text, const std::string &File) {
  YamlProblems Problems(File);
  auto Root = parseYamlMapping(Text, Problems);
  if (!Root)
    return boost::leaf::new_error(Problems.asError());
  YamlReader Reader(*Root, "", Problems);
  LoadPlan Plan;
  Plan.Name = Reader.name("name");
  Plan.Fleet = readFleet(Reader.mapping("fleet"));
  Plan.Seed = narrow<std::uint64_t>(Reader.number("seed", NumberBounds{}, 1));
  Plan.Length = Reader.duration("length", LengthBounds, Plan.Length);
  Plan.ArrivalRate = narrow<std::uint32_t>(
      Reader.number("arrivals_per_second", RateBounds, Plan.ArrivalRate));
  Plan.Sessions = narrow<std::uint32_t>(
      Reader.number("sessions", SessionBounds, Plan.Sessions));
  Plan.MaxCatalogueAge =
      Reader.duration("catalogue_age", LagBounds, Plan.MaxCatalogueAge);
  Plan.Deadline = Reader.duration("deadline", DeadlineBounds, Plan.Deadline);
  Plan.Mix = readMix(Reader.mapping("mix"));
  for (YamlReader &Entry : Reader.mappings("faults"))
    Plan.Faults.push_back(readFault(Entry, Plan.Fleet));
  Reader.finish();
  if (!Problems.none())
    return boost::leaf::new_error(Problems.asError());
  return Plan;
}

} // namespace turmericpitch
