// The public header of the library: the decisions of a database proxy with
// session consistency, without sockets, threads or clocks.
#pragma once

#include "configuration/ConfigurationController.h"
#include "configuration/ConfigurationSnapshot.h"
#include "configuration/Ticket.h"
#include "configuration/TicketAcceptance.h"
#include "core/DecisionLog.h"
#include "core/Error.h"
#include "core/Identifiers.h"
#include "core/KeyValue.h"
#include "core/LogPosition.h"
#include "core/Member.h"
#include "core/RandomSource.h"
#include "core/Sharded.h"
#include "core/Time.h"
#include "failover/LossDetector.h"
#include "failover/Promotion.h"
#include "routing/Filters.h"
#include "routing/Router.h"
#include "routing/StatementFlow.h"
#include "routing/UpstreamView.h"
#include "session/SessionToken.h"
