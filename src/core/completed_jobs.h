/* Table of completed jobs, kept to answer their users. An entry holds the job's id, final state and
 * number of done tasks in 12 bytes. A job with tasks that may still run is not in the table. The
 * module depends only on the protocol's format of ids. Not for other packages.
 *
 * Invariants:
 *   - an entry never changes, since a job that has ended keeps its state;
 *   - memory is bounded: the table consists of generations. When the newest one is full and their
 *     maximum number is reached, the oldest one is evicted as a whole. An evicted job is read from
 *     the state service when it is queried again. */
#ifndef TW_CORE_COMPLETED_JOBS_H
#define TW_CORE_COMPLETED_JOBS_H
#include "wire/wire.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct tw_completed_jobs tw_completed_jobs;

/* Outcome of a job. */
typedef struct {
    tw_wire_job_state state; /* TW_JOB_DONE or TW_JOB_CANCELLED */
    int done_count;          /* number of done tasks, 0 to TW_WIRE_MAX_TASKS */
} tw_completion;

/* Creates an empty table that uses at most max_bytes of memory, but has at least a minimal
 * capacity. The caller frees it with tw_completed_jobs_free. */
tw_completed_jobs *tw_completed_jobs_new(size_t max_bytes);
/* Frees the table. Here and in the functions below, NULL stands for an empty table. */
void tw_completed_jobs_free(tw_completed_jobs *table);
/* Adds a job, whose id must have the protocol's format. Doesn't change the entry of a job that is
 * in the table already. The table must not be NULL. */
void tw_completed_jobs_add(tw_completed_jobs *table, const char *id,
                           const tw_completion *completion);
/* Returns whether the job is in the table and, if so, sets *completion to its outcome. completion
 * may be NULL. */
bool tw_completed_jobs_find(const tw_completed_jobs *table, const char *id,
                            tw_completion *completion);
/* Returns the number of jobs in the table. */
size_t tw_completed_jobs_count(const tw_completed_jobs *table);
/* Returns how many times a non-empty generation was evicted. */
uint64_t tw_completed_jobs_evictions(const tw_completed_jobs *table);

#endif
