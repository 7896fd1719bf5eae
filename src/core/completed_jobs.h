/* Completed jobs, which are kept for the answers to their users: of each its id, how it ended and
 * how many of its tasks were done, in 12 bytes. A job of which something may still run is not kept
 * here. The module depends on nothing but the protocol's form of ids. Not for other packages.
 *
 * Invariants:
 *   - an entry never changes, since a job that has ended stays as it is;
 *   - memory is bounded: the table consists of generations, and when the newest is full and there
 * are as many as there may be, the oldest is evicted as a whole. A job that was evicted is read
 * from the state service again when somebody asks for it. */
#ifndef TW_CORE_COMPLETED_JOBS_H
#define TW_CORE_COMPLETED_JOBS_H
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct tw_completed_jobs tw_completed_jobs;

/* How a job ended. */
typedef struct {
    tw_wire_job_state state; /* TW_JOB_DONE or TW_JOB_CANCELLED */
    int done_count;          /* tasks that were done, 0 to TW_WIRE_MAX_TASKS */
} tw_completion;

/* An empty table that takes at most so many bytes, but has room for a few entries in any case. The
 * caller frees it with tw_completed_jobs_free. */
tw_completed_jobs *tw_completed_jobs_new(size_t most_bytes);
/* NULL stands for a table without entries, here and below. */
void tw_completed_jobs_free(tw_completed_jobs *table);
/* Adds a job, whose id is of the protocol's form. A job that is in the table stays as it is. */
void tw_completed_jobs_add(tw_completed_jobs *table, const char *id, const tw_completion *ending);
/* Whether the job is in the table; if so, *ending tells how it ended. ending may be NULL. */
bool tw_completed_jobs_find(const tw_completed_jobs *table, const char *id, tw_completion *ending);
/* How many jobs are in the table. */
size_t tw_completed_jobs_count(const tw_completed_jobs *table);
/* How many times a generation with entries was evicted. */
uint64_t tw_completed_jobs_evictions(const tw_completed_jobs *table);

#endif
