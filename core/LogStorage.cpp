// Defines the logging library's global storage, which has to be done exactly
// once per program.

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
