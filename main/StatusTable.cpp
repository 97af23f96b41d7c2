#include "main/StatusTable.h"

#include "drivers/Json.h"

#include <iomanip>
#include <sstream>

namespace turmericpitch {

namespace {

constexpr int NameWidth = 24;
constexpr int NumberWidth = 10;

void printMember(std::ostream &Output, const boost::json::object &Json) {
  JsonReader Reader(Json);
  std::string Name = Reader.text("upstream", "?");
  bool Known = Reader.flag("known", false);
  Output << "  " << std::left << std::setw(NameWidth) << Name
         << std::setw(NumberWidth) << (Known ? "known" : "unknown")
         << "applied " << std::setw(NumberWidth) << Reader.number("applied", 0)
         << "failures " << Reader.number("failures", 0) << "\n";
}

void printDatabase(std::ostream &Output, std::string_view Name,
                   const boost::json::object &Json) {
  JsonReader Reader(Json);
  std::string Primary = Reader.text("primary", "");
  Output << std::left << std::setw(NameWidth) << std::string(Name) << "term "
         << std::setw(NumberWidth) << Reader.number("term", 0) << "primary "
         << (Primary.empty() ? "NONE" : Primary) << "\n";
  const boost::json::array *Members = Reader.array("members");
  if (!Members)
    return;
  for (const boost::json::value &Member : *Members)
    if (Member.is_object())
      printMember(Output, Member.as_object());
}

void printInstances(std::ostream &Output, const boost::json::object &Json) {
  Output << "instances";
  for (const char *State :
       {"live", "leaving", "suspect", "unreachable", "dead"})
    if (const auto *Counts = Json.if_contains("counts"))
      if (const auto *Count = Counts->as_object().if_contains(State))
        Output << " " << State << " " << Count->as_int64();
  Output << "\n";
  const auto *NotLive = Json.if_contains("not_live");
  if (!NotLive)
    return;
  for (const auto &Each : NotLive->as_object())
    Output << "  " << std::left << std::setw(NameWidth)
           << std::string(Each.key()) << Each.value().as_string().c_str()
           << "\n";
}

} // namespace

Result<std::string> formatStatus(std::string_view Json) {
  BOOST_LEAF_AUTO(StatusJson, parseJsonObject(Json));
  JsonReader Reader(StatusJson);
  Reader.allowUnknown();
  std::ostringstream Table;
  Table << "instance " << Reader.text("instance") << ", ticket "
        << Reader.number("newest_in_force", 0) << " active, "
        << Reader.number("platform_calls", 0) << " platform calls\n";
  const boost::json::object *Databases = Reader.object("databases");
  const boost::json::object *Instances = Reader.object("instances");
  BOOST_LEAF_CHECK(Reader.finish());
  if (Instances)
    printInstances(Table, *Instances);
  if (Databases)
    for (const auto &Entry : *Databases)
      if (Entry.value().is_object())
        printDatabase(Table, Entry.key(), Entry.value().as_object());
  return Table.str();
}

} // namespace turmericpitch
