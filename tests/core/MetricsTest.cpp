#include "core/Metrics.h"

#include <gtest/gtest.h>
#include <thread>

namespace turmericpitch {
namespace {

TEST(Metrics, SumsCountersOfAllThreads) {
  Metrics Registry;
  std::thread Thread([&] { Registry.count("decisions_total", "route"); });
  Thread.join();
  Registry.count("decisions_total", "route");
  Registry.count("decisions_total", "refuse");
  EXPECT_EQ(Registry.counterValue("decisions_total", "route"), 2U);
  EXPECT_EQ(Registry.counterValue("decisions_total", "promote"), 0U);
}

TEST(Metrics, ScrapesPrometheusTextFormat) {
  Metrics Registry;
  Registry.count("decisions_total", "route");
  Registry.observe("statement_seconds", "read", std::chrono::milliseconds(3));
  std::string Text = Registry.scrape();
  EXPECT_NE(Text.find("turmericpitch_decisions_total{kind=\"route\"} 1"),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("turmericpitch_statement_seconds_count{kind=\"read\"} 1"),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("turmericpitch_statement_seconds_sum{kind=\"read\"} "
                      "0.003"),
            std::string::npos)
      << Text;
}

TEST(Metrics, GaugesShowTheLastValue) {
  Metrics Registry;
  Registry.set("table_entries", "sessions", 7);
  Registry.set("table_entries", "sessions", 3);
  std::string Text = Registry.scrape();
  EXPECT_NE(Text.find("# TYPE turmericpitch_table_entries gauge"),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("turmericpitch_table_entries{kind=\"sessions\"} 3"),
            std::string::npos)
      << Text;
}

} // namespace
} // namespace turmericpitch
