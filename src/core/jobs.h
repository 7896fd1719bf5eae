/* What the modules of jobs share: life cycle (job.c), records (job_record.c, job_store.c), requests
 * of users (user_requests.c), submissions turned away (rejected_admissions.c), jobs that other
 * nodes accepted (peer_admissions.c). Not for other packages. */
#ifndef TW_CORE_JOBS_H
#define TW_CORE_JOBS_H
#include "core/core_int.h"
#include "core/completed_jobs.h"
#include <stdbool.h>

/* What a request of a user is about, kept with the call that was made for it. */
typedef enum {
    TW_OPERATION_QUERY,
    TW_OPERATION_SUBMIT,
    TW_OPERATION_CANCEL,
    TW_OPERATION_REFUSE,
    TW_OPERATION_CREATE
} tw_user_operation;

/* Users give a submission 5 s: what can't be durable by then is refused. */
#define TW_ADMISSION_WAIT_S 3.0
/* Path of a job's record in the state service, and room for it. */
#define TW_JOB_KEY_SIZE (TW_WIRE_ID_SIZE + sizeof TW_JOB_KEY)
#define TW_JOB_PATH "/kv/" TW_JOB_KEY
#define TW_JOB_PATH_SIZE (TW_WIRE_ID_SIZE + sizeof TW_JOB_PATH)
/* Keys that tell the leader of jobs that another node accepted. */
#define TW_PEER_ADMISSION_KEY "new/"
#define TW_PEER_ADMISSION_KEY_SIZE (TW_WIRE_ID_SIZE + sizeof TW_PEER_ADMISSION_KEY)

/* job.c */
/* The user at conn waits until the job is durable, or (cancels) known to be over. */
void tw_job_add_waiting_client(tw_core *core, tw_job *job, uint64_t connection, bool cancels);
/* Turns away all who wait for the job: its record can't be written. */
void tw_job_reject_waiting_clients(tw_core *core, tw_job *job);
/* Answers all who waited for what is durable now; status: of accepted submissions, 201 or 200. */
void tw_job_answer_waiting_clients(tw_core *core, tw_job *job, int status);
/* Lets go what only an unfinished job needs, if it is over and nothing of it may run; and the job
 * itself once no machine has to forget a task of it. The caller doesn't use the job after it. */
void tw_job_release(tw_core *core, tw_job *job);
/* Notes a job that is over, by its record, and of which nothing may run. */
void tw_job_note_completed(tw_core *core, const char *id, int state, int done);
/* Whether the leader has the job in memory, finished or not. */
bool tw_job_is_known(tw_core *core, const char *id);
/* Whether what the leader has in memory is as new as anything that any node has told of the job. */
bool tw_job_is_answerable(const tw_job *job);

/* cancellation.c */
/* Whether all nodes that may answer the job's machines without the leader, for longer than a
 * cancellation leaves time for, know that it is cancelled. tell: those that don't are told. */
tw_cancellation_safety tw_job_cancellation_safety(tw_core *core, const tw_job *job, bool tell);
/* Fills in the ids of at most `most` cancelled jobs that may still run; returns how many there are.
 */
int tw_jobs_list_cancelled(const tw_core *core, const char **ids, int most);

/* job_class.c */
/* Notes that a job of the class was submitted: its rate, size and shape are expected again. */
void tw_job_class_note_arrival(tw_core *core, tw_job_class *class, const tw_job *job);

/* job_store.c */
/* The job's record was read at the state service. */
void tw_job_store_record_read(tw_core *core, tw_job *job, const tw_wire_entry *entry);
/* Asks for records whose revision isn't known. */
void tw_job_store_tick(tw_core *core);

/* rejected_admissions.c */
/* Refuses a submission that can't be taken now: at once, with the time to come back. */
void tw_admission_reject(tw_core *core, uint64_t connection, const char *id, double retry_s,
                         const char *why);
/* How long a new write would wait behind those queued. */
double tw_write_backlog_s(tw_core *core);
/* Rents for a submission that was turned away for retry_s; takes the job's contents. */
void tw_rejected_admission_note(tw_core *core, tw_wire_job *spec, double retry_s);

/* user_requests.c */
/* Reads a job's record for the user at conn (0: for ourselves). */
void tw_job_look_up(tw_core *core, uint64_t connection, const char *id,
                    tw_user_operation operation);

#endif
