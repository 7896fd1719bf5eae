/* What the modules of jobs share. Not for other packages.
 *
 * One job each: life cycle (job.c), classes (job_class.c), records as the store sees them
 * (job_persistence.c), requests of users (user_requests.c), queries answered by a record
 * (job_lookup.c), requests forwarded to the leader (request_forwarding.c), cancellations
 * (cancellation.c), submissions that were rejected (rejected_admissions.c), jobs admitted without
 * the leader (peer_admissions.c). */
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
    TW_OPERATION_REFUSE /* a submission that can never run, refused if it is new */
} tw_user_operation;

/* Users wait 5 s for the answer to a submission: what can't be durable after so many seconds is
 * rejected. */
#define TW_ADMISSION_WAIT_S 3.0
/* A submission that is too large to be written until all nodes read chunked records comes back
 * after so many seconds. */
#define TW_TOO_LARGE_RETRY_S 5

/* ---- job.c ---- */

/* The user at that connection waits until the job is durable, or (cancels) known to have ended. */
void tw_job_add_waiting_client(tw_core *core, tw_job *job, uint64_t connection, bool cancels);
/* Takes a client that waits off the job's list; the caller frees it. NULL: none waits. */
tw_waiting_client *tw_job_take_waiting_client(tw_job *job);
/* The same for a client that cancels. */
tw_waiting_client *tw_job_take_waiting_cancellation(tw_job *job);
/* Rejects all who wait for the job: its record can't be written. */
void tw_job_reject_waiting_clients(tw_core *core, tw_job *job);
/* Answers all who wait for what is durable now. status: for submissions, 201 or 200. */
void tw_job_answer_waiting_clients(tw_core *core, tw_job *job, int status);
/* Frees what only an active job needs, if the job has durably ended and nothing of it may run; and
 * the job itself once no machine has to forget a task of it. The caller doesn't use the job after
 * that. */
void tw_job_release(tw_core *core, tw_job *job);
/* Notes a job that has ended by its record, and of which nothing may run. done: how many of its
 * tasks were done. */
void tw_job_note_completed(tw_core *core, const char *id, tw_wire_job_state state, int done);
/* Whether the leader has the job in memory, completed or not. */
bool tw_job_is_known(tw_core *core, const char *id);
/* Whether what the leader has in memory is as new as anything that any node has told of the job. */
bool tw_job_is_answerable(const tw_job *job);

/* ---- cancellation.c ---- */

/* Cancels a pending job at the leader for the user at that connection, who is answered once that is
 * durable, or refused as soon as it can't be confirmed for now. */
void tw_job_cancel(tw_core *core, uint64_t connection, tw_job *job);
/* Rejects a cancellation that this node can't take now. retry_s: the user is to come back after it.
 */
void tw_cancellation_reject(tw_core *core, uint64_t connection, const char *id, double retry_s,
                            const char *why);
/* Goes on with a cancellation that could not be confirmed yet: settles its launches, confirms it as
 * soon as that is safe, and refuses the users who wait for it where that is out of reach. */
void tw_job_cancellation_tick(tw_core *core, tw_job *job);
/* Fills in the ids of at most `most` cancelled jobs that may still run; returns how many there are.
 */
int tw_jobs_list_cancelled(const tw_core *core, const char **ids, int most);

/* ---- job_class.c ---- */

/* Notes that a job of the class was submitted: its rate, size and shape are expected again. */
void tw_job_class_note_arrival(tw_core *core, tw_job_class *class, const tw_job *job);

/* ---- job_persistence.c ---- */

/* What the store asks and tells of the core's jobs. */
tw_store_owner tw_job_store_owner(tw_core *core);

/* ---- rejected_admissions.c ---- */

/* Rejects a submission that can't be admitted now. retry_s: the user is to come back after it. */
void tw_admission_reject(tw_core *core, uint64_t connection, const char *id, double retry_s,
                         const char *why);
/* Notes a submission that was rejected for retry_s, so that machines are rented for it. spec: what
 * it owns is moved out, unless the submission is known or there is no room for it. */
void tw_rejected_admission_note(tw_core *core, tw_wire_job *spec, double retry_s);

/* ---- user_requests.c ---- */

/* Whether this node leads, has read the records and has the authority to answer users from memory.
 */
bool tw_leader_may_answer(const tw_core *core);
/* Answers a query or a cancellation by what the leader has in memory of the job, completed or not;
 * the answer to a cancellation may come later. false: nothing is known, and the user was not
 * answered. */
bool tw_job_tell_from_memory(tw_core *core, uint64_t connection, const char *id,
                             tw_user_operation operation);

/* ---- job_lookup.c ---- */

/* Reads a job's record from the state service for the user at that connection; 0: for this node
 * itself, and nobody is answered. */
void tw_job_look_up(tw_core *core, uint64_t connection, const char *id,
                    tw_user_operation operation);
/* The response to that read; status 0: none came. */
void tw_job_look_up_response(tw_core *core, tw_call *call, int status, const char *body,
                             size_t length);

/* ---- request_forwarding.c ---- */

/* Forwards a user's request about the job of that id to the leader. body: taken; NULL: the request
 * has none. false: no leader is known that answers, and the user was not answered. */
bool tw_request_forward(tw_core *core, uint64_t connection, tw_user_operation operation,
                        const char *method, const char *path, const char *id, char *body,
                        double timeout_s);
/* The leader's answer to that request; status 0: none came. */
void tw_request_forward_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length);

/* ---- peer_admissions.c ---- */

/* Admits a job without the leader; the user is answered when its record is written. */
void tw_peer_admission_create(tw_core *core, uint64_t connection, const tw_wire_job *spec);

#endif
