/* All that the files of the core share, by one include: each of these headers says what it owns.
 * What only the modules of one part share stands in a header of theirs (cluster.h, workers.h,
 * jobs.h, autoscaler_int.h, record_chunks.h, heartbeat_forwarder.h, scheduler_int.h). Not for other
 * packages. */
#ifndef TW_CORE_INT_H
#define TW_CORE_INT_H
#include "core/attempt_termination.h"
#include "core/rate_limiter.h"
#include "core/call.h"
#include "core/core.h"
#include "core/counters.h"
#include "core/expiring_name.h"
#include "core/gang.h"
#include "core/job.h"
#include "core/machine.h"
#include "core/memory.h"
#include "core/peers.h"
#include "core/placement.h"
#include "core/autoscaler.h"
#include "core/capacity.h"
#include "core/scheduler.h"
#include "core/state.h"
#include "core/status.h"
#include "log/log.h"
#include "wire/wire.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#endif
