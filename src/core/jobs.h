/* Declarations that the job modules share. Not for other packages.
 *
 * Each module has one part of the work: life cycle (job.c), classes (job_class.c), records as the
 * store sees them (job_persistence.c), requests of users (user_requests.c), queries answered from a
 * record (job_lookup.c), requests forwarded to the leader (request_forwarding.c), cancellations
 * (cancellation.c), rejected admissions (rejected_admissions.c), jobs admitted without the leader
 * (peer_admissions.c). */
#ifndef TW_CORE_JOBS_H
#define TW_CORE_JOBS_H
#include "core/core_int.h"
#include "core/completed_jobs.h"
#include <stdbool.h>

/* Kind of a user's request, stored with the call that was made for it. */
typedef enum {
    TW_OPERATION_QUERY,
    TW_OPERATION_SUBMIT,
    TW_OPERATION_CANCEL,
    TW_OPERATION_REFUSE /* a submission that can never run, refused unless it was admitted before */
} tw_user_operation;

/* A submission that is not durable after this time is rejected. Users wait 5 s for its answer. */
#define TW_ADMISSION_WAIT_S 3.0
/* Retry time given to users for a submission that is too large to be written until all nodes read
 * chunked records. */
#define TW_TOO_LARGE_RETRY_S 5

/* ---- job.c ---- */

/* Registers the user at that connection to be answered when the job is durable or, if cancels is
 * set, known to have ended. */
void tw_job_add_waiting_client(tw_core *core, tw_job *job, uint64_t connection, bool cancels);
/* Removes a waiting client from the job's list and returns it; the caller frees it. Returns NULL if
 * the list is empty. */
tw_waiting_client *tw_job_take_waiting_client(tw_job *job);
/* Removes a client that waits for a cancellation from the job's list and returns it; the caller
 * frees it. Returns NULL if there is none. */
tw_waiting_client *tw_job_take_waiting_cancellation(tw_job *job);
/* Rejects all clients that wait for the job, because its record can't be written. */
void tw_job_reject_waiting_clients(tw_core *core, tw_job *job);
/* Answers the waiting clients whose job is durable or, if they cancel it, has durably ended.
 * status: status code of answers to submissions, 201 or 200. */
void tw_job_answer_waiting_clients(tw_core *core, tw_job *job, int status);
/* Frees what only an active job needs if the job has durably ended and none of its tasks may run.
 * Also frees the job itself if no machine has to forget a task of it; the caller must not use the
 * job afterwards. */
void tw_job_release(tw_core *core, tw_job *job);
/* Adds a job to the completed jobs. None of its tasks may run. done: how many of them were done. */
void tw_job_note_completed(tw_core *core, const char *id, tw_wire_job_state state, int done);
/* Returns whether the leader has the job in memory, completed or not. */
bool tw_job_is_known(tw_core *core, const char *id);
/* Returns whether the leader's state of the job in memory is at least as recent as any answer that
 * a node has given about it. */
bool tw_job_is_answerable(const tw_job *job);

/* ---- cancellation.c ---- */

/* Cancels a pending job at the leader. The user at that connection is answered once the
 * cancellation is durable, or rejected as soon as it can't be confirmed for now. */
void tw_job_cancel(tw_core *core, uint64_t connection, tw_job *job);
/* Rejects a cancellation that this node can't accept now. retry_s: time after which the user is to
 * retry. */
void tw_cancellation_reject(tw_core *core, uint64_t connection, const char *id, double retry_s,
                            const char *why);
/* Continues a cancellation that could not be confirmed yet: stops the tasks that may still start
 * and confirms the cancellation as soon as that is safe. Rejects the users who wait for it if it
 * can't be confirmed for now. */
void tw_job_cancellation_tick(tw_core *core, tw_job *job);
/* Stores the ids of cancelled jobs that may still run in ids, at most max_ids of them. Returns the
 * number of all such jobs. */
int tw_jobs_list_cancelled(const tw_core *core, const char **ids, int max_ids);

/* ---- job_class.c ---- */

/* Updates the class's arrival rate, batch size and sample with a job that was submitted. */
void tw_job_class_note_arrival(tw_core *core, tw_job_class *class, const tw_job *job);

/* ---- job_persistence.c ---- */

/* Returns the callbacks through which the store accesses the core's jobs. */
tw_store_owner tw_job_store_owner(tw_core *core);

/* ---- rejected_admissions.c ---- */

/* Rejects a submission that can't be admitted now. retry_s: time after which the user is
 * to retry. */
void tw_admission_reject(tw_core *core, uint64_t connection, const char *id, double retry_s,
                         const char *why);
/* Stores a submission that was rejected for retry_s, so that machines are rented for it. Moves the
 * contents out of spec, unless the submission is stored already or the memory limit is reached. */
void tw_rejected_admission_note(tw_core *core, tw_wire_job *spec, double retry_s);

/* ---- user_requests.c ---- */

/* Returns whether this node leads, has read all records, and has the authority to answer users from
 * memory. */
bool tw_leader_may_answer(const tw_core *core);
/* Answers a query or a cancellation from the leader's memory, whether the job is completed or not;
 * a cancellation may be answered later. Returns false, without an answer, if the job is not in
 * memory. */
bool tw_job_answer_from_memory(tw_core *core, uint64_t connection, const char *id,
                               tw_user_operation operation);

/* ---- job_lookup.c ---- */

/* Reads a job's record from the state service to answer the user at that connection. connection 0:
 * the node itself needs the record, and nobody is answered. */
void tw_job_look_up(tw_core *core, uint64_t connection, const char *id,
                    tw_user_operation operation);
/* Handles the response to the read of a record. status 0: no response arrived. */
void tw_job_look_up_response(tw_core *core, tw_call *call, int status, const char *body,
                             size_t length);

/* ---- request_forwarding.c ---- */

/* Forwards a user's request about the job with that id to the leader. Takes ownership of body;
 * NULL: the request has none. Returns false, without an answer to the user, if no responsive leader
 * is known. */
bool tw_request_forward(tw_core *core, uint64_t connection, tw_user_operation operation,
                        const char *method, const char *path, const char *id, char *body,
                        double timeout_s);
/* Handles the leader's answer to a forwarded request. status 0: no answer arrived. */
void tw_request_forward_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length);

/* ---- peer_admissions.c ---- */

/* Admits a job without the leader. The user is answered when the job's record is written. */
void tw_peer_admission_create(tw_core *core, uint64_t connection, const tw_wire_job *spec);

#endif
