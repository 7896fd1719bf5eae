/* Includes the headers that all modules of the core share. Interfaces that only some of the modules
 * share are declared in separate headers: workers.h, jobs.h, scheduler_int.h, autoscaler_int.h,
 * heartbeat_forwarder.h. Not for other packages. */
#ifndef TW_CORE_INT_H
#define TW_CORE_INT_H
#include "core/attempt_termination.h"
#include "cluster/cluster.h"
#include "context/context.h"
#include "core/core.h"
#include "core/counters.h"
#include "core/gang.h"
#include "core/job.h"
#include "core/machine.h"
#include "core/placement.h"
#include "core/autoscaler.h"
#include "core/capacity.h"
#include "core/scheduler.h"
#include "core/state.h"
#include "log/log.h"
#include "wire/wire.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* rate_limits.c: initializes this node's shares of the rate limits of the state service and
 * the cloud. */
void tw_rate_limiters_init(tw_core *core);

#endif
