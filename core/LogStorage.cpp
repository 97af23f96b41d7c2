// The storage that the logging library asks its user to define once.

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
