// Runs test scenarios: YAML files of timed steps.
#pragma once

#include "core/EventQueue.h"
#include "core/YamlReader.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpitch {

/// Executes one step. Reads the keys of this kind of step from the reader.
using StepHandler = std::function<void(YamlReader &)>;
/// Handlers of the steps that a subsystem's scenarios may use, by the value of
/// the key `do`.
using StepHandlers = std::map<std::string, StepHandler>;

/// Runs the scenario in a file: executes each step at its virtual time, then
/// runs the queue until the time of the last step. A step is a mapping with
/// `at` (a duration since the start, not less than that of the previous step),
/// `do` (the name of its handler) and the keys that the handler reads. Problems
/// in the file, including unknown steps, are reported as test failures with
/// file and line. Not thread-safe.
void runScenario(const std::string &Path, EventQueue &Queue,
                 const StepHandlers &Handlers);

/// The paths of the YAML files in tests/scenarios/<Folder>, sorted.
std::vector<std::string> scenarioFiles(const std::string &Folder);

/// The GoogleTest parameter name for a scenario: the name of its file without
/// extension, with each character that is not alphanumeric replaced by `_`.
std::string scenarioName(const std::string &Path);

} // namespace turmericpitch
