/* What the modules of jobs share: life cycle (job.c), records (job_record.c, job_store.c), requests
 * of users (user_requests.c), submissions turned away (turned_away.c), jobs that other nodes
 * accepted (accepted_elsewhere.c). Not for other packages. */
#ifndef TW_CORE_JOBS_H
#define TW_CORE_JOBS_H
#include "core/core_int.h"
#include "core/finished.h"

/* What a request of a user is about, kept with the call that was made for it. */
typedef enum { OP_POLL, OP_SUBMIT, OP_ABORT, OP_REFUSE, OP_CREATE } user_operation;

/* Users give a submission 5 s: what can't be durable by then is refused. */
#define ACCEPT_WAIT_S 3.0
/* Path of a job's record in the state service, and room for it. */
#define JOB_KEY "job/"
#define JOB_KEY_SIZE (TW_WIRE_ID_SIZE + sizeof JOB_KEY)
#define JOB_PATH "/kv/" JOB_KEY
#define JOB_PATH_SIZE (TW_WIRE_ID_SIZE + sizeof JOB_PATH)
/* Keys that tell the leader of jobs that another node accepted. */
#define ACCEPTED_KEY "new/"
#define ACCEPTED_KEY_SIZE (TW_WIRE_ID_SIZE + sizeof ACCEPTED_KEY)

/* job.c */
/* The user at conn waits until the job is durable, or (cancels) known to be over. */
void tw_job_wait(tw_core *core, job *job, uint64_t conn, int cancels);
/* Turns away all who wait for the job: its record can't be written. */
void tw_job_turn_away(tw_core *core, job *job);
/* Answers all who waited for what is durable now; status: of accepted submissions, 201 or 200. */
void tw_job_tell(tw_core *core, job *job, int status);
/* Lets go what only an unfinished job needs, if it is over and nothing of it may run; and the job
 * itself once no machine has to forget a task of it. The caller doesn't use the job after it. */
void tw_job_retire(tw_core *core, job *job);
/* Notes a job that is over, by its record, and of which nothing may run. */
void tw_job_ended(tw_core *core, const char *id, int stage, int done);
/* Whether the leader has the job in memory, finished or not. */
int tw_job_known(tw_core *core, const char *id);
/* Whether what the leader has in memory is as new as anything that any node has told of the job. */
int tw_job_answerable(const job *job);

/* job_class.c */
/* Notes that a job of the class was submitted: its rate, size and shape are expected again. */
void tw_lane_arrival(tw_core *core, lane *lane, const job *job);

/* job_store.c */
/* The job's record was read at the state service. */
void tw_job_record_read(tw_core *core, job *job, const tw_wire_entry *entry);
/* Asks for records whose revision isn't known. */
void tw_job_store_tick(tw_core *core);

/* turned_away.c */
/* Refuses a submission that can't be taken now: at once, with the time to come back. */
void tw_turn_away(tw_core *core, uint64_t conn, const char *id, double retry_s, const char *why);
/* How long a new write would wait behind those queued. */
double tw_write_backlog_s(tw_core *core);
/* Rents for a submission that was turned away for retry_s; takes the job's contents. */
void tw_turned_away_note(tw_core *core, tw_wire_job *spec, double retry_s);

/* user_requests.c */
/* Reads a job's record for the user at conn (0: for ourselves). */
void tw_job_lookup(tw_core *core, uint64_t conn, const char *id, user_operation op);

#endif
