/* Finished jobs, which are kept for the answers to their users: of each its id, how it ended and
 * how many of its tasks were done, in 12 bytes. A job of which something may still run is not kept
 * here.
 *
 * Memory is bounded. The table consists of generations; when the newest is full and there are as
 * many as there may be, the oldest is let go as a whole. What was let go is read from the state
 * service again when somebody asks. Nothing here ever changes: a job that is over stays so. */
#ifndef TW_CORE_FINISHED_H
#define TW_CORE_FINISHED_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct tw_completed_jobs tw_completed_jobs;

/* How a job ended. */
typedef struct {
    int stage; /* TW_JOB_DONE or TW_JOB_CANCELLED */
    int done;  /* tasks that were done, 0 to TW_WIRE_MAX_TASKS */
} tw_completion;

/* An empty table that takes most_bytes at most (and never less than a few entries). */
tw_completed_jobs *tw_completed_jobs_new(size_t most_bytes);
/* NULL is a table without entries, here and below. */
void tw_completed_jobs_free(tw_completed_jobs *table);
/* id: a job's, of the protocol's form. One that is there already stays as it is. */
void tw_completed_jobs_add(tw_completed_jobs *table, const char *id, const tw_completion *ending);
/* Whether the job is there, and how it ended; ending may be NULL. */
bool tw_completed_jobs_find(const tw_completed_jobs *table, const char *id, tw_completion *ending);
/* Jobs in the table. */
size_t tw_completed_jobs_count(const tw_completed_jobs *table);
/* How many times a generation was let go. */
uint64_t tw_completed_jobs_evictions(const tw_completed_jobs *table);

#endif
