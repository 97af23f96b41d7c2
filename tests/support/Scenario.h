// The small test language: YAML files of timed steps.
#pragma once

#include "core/EventQueue.h"
#include "core/YamlReader.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpitch {

/// Carries out one step; reads the step's own keys from the reader.
using StepHandler = std::function<void(YamlReader &)>;
/// The steps that a subsystem's scenarios know, by the name after "do".
using StepHandlers = std::map<std::string, StepHandler>;

/// Runs the scenario in a file: each step at its virtual time, then the
/// queue until the last step's time. A step is a mapping with `at` (a
/// duration since the start, never before the step above), `do` (its name)
/// and keys of its own. Problems in the file, unknown steps included, are
/// test failures that give file and line.
void runScenario(const std::string &Path, EventQueue &Queue,
                 const StepHandlers &Handlers);

/// The files in tests/scenarios/<Folder>, sorted.
std::vector<std::string> scenarioFiles(const std::string &Folder);

/// A gtest name made from a scenario's path.
std::string scenarioName(const std::string &Path);

} // namespace turmericpitch
