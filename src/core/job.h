/* Jobs, their classes, and what the whole core may ask of the modules of jobs. What these modules
 * share among themselves stands in jobs.h. Not for other packages.
 *
 * A job is in memory at the leader only, from its submission (user_requests.c) or its record
 * (leader_failover.c) until it has ended and no machine has a task of it; its end is kept longer
 * (completed_jobs.h). All times are in seconds of the steady clock if nothing else is said.
 *
 * Invariants:
 *   - a user is told only what is durable: durable_state, never state;
 *   - a job that has ended, durably, never changes its state again;
 *   - each change of a job that its record has to show goes through tw_job_mark_changed;
 *   - a job is in active_jobs of the core as long as it has task_states. */
#ifndef TW_CORE_JOB_H
#define TW_CORE_JOB_H
#include "core/gang.h"
#include "core/placement.h"
#include "store/store.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <uthash.h>

/* How many machines a job remembers that its tasks failed on. */
#define TW_JOB_MAX_FAILED_MACHINES 4

typedef struct tw_call tw_call;
typedef struct tw_rejected_admission tw_rejected_admission;

/* A request whose answer waits until the job is durable, or known to have ended. */
typedef struct tw_waiting_client {
    uint64_t connection;
    bool cancels; /* the request is a cancellation, otherwise a submission */
    double until; /* the request is rejected at that time */
    struct tw_waiting_client *next;
} tw_waiting_client;

/* A class of jobs: its objectives, and what its jobs were like lately. The averages are exponential
 * moving averages. */
typedef struct tw_job_class {
    char name[TW_NAME_SIZE];
    double start_within_s;     /* objective for the start, from the submission; 0: none */
    double finish_within_s;    /* objective for the end, from the submission; 0: none */
    bool has_deadline;         /* its jobs have an objective for their deadlines */
    double run_time_ratio;     /* average of actual over estimated run time */
    double run_time_deviation; /* average of that ratio's deviation */
    double task_rate;          /* average of tasks submitted per second */
    double batch_tasks;        /* average of tasks per job */
    double largest_gang;       /* tasks of the largest gang so far */
    double last_arrival_at;    /* when its latest job was submitted; 0: none was */
    tw_wire_job sample;        /* its latest job, without its machine types */
    bool has_sample;
    uint32_t sample_type_mask; /* machine types that this job allows, see tw_machine_type_mask */
    int reserve;               /* tasks to keep room for, see reserve.c */
    int reserve_available;     /* tasks that there is room for */
    UT_hash_handle hh;         /* job_classes of the core */
} tw_job_class;

/* Assignment of a job's task, of which task_states holds one per task. */
typedef enum {
    TW_ASSIGNMENT_NONE,   /* neither placed nor done */
    TW_ASSIGNMENT_PLACED, /* may run on a machine */
    TW_ASSIGNMENT_DONE    /* needs no further attempt; of a gang, one may still run */
} tw_assignment;

typedef struct tw_job {
    char id[TW_WIRE_ID_SIZE];
    bool has_spec;     /* the contents are known: spec and what follows from it */
    tw_wire_job spec;  /* as submitted; owned */
    char *spec_text;   /* the same as its record has it; owned; NULL: not made yet */
    size_t spec_bytes; /* length of that text; 0: not measured yet */
    int team;          /* index into the settings' teams; -1: unknown */
    tw_job_class *job_class;
    uint32_t type_mask;  /* machine types that it allows, see tw_machine_type_mask */
    uint32_t image_hash; /* of its image's name, see tw_image_hash */
    int task_count;

    tw_wire_job_state state;            /* TW_JOB_PENDING until it ends, even while tasks run */
    tw_wire_job_state durable_state;    /* the same as the state service is known to hold it */
    tw_store_record *record;            /* owned; NULL: of a submission that was rejected */
    tw_waiting_client *waiting_clients; /* owned */
    double submitted_at;
    double submitted_wall_s; /* the same as a time of day */

    uint8_t *task_states; /* a tw_assignment per task; NULL once the job was released */
    int done_count;       /* tasks that are done */
    int placed_count;     /* tasks that may run: the length of `placements` */
    int first_unplaced;   /* no task with a lower index is to be placed */
    uint64_t next_attempt;
    tw_placement *placements; /* its tasks that may run */
    int placement_refs;       /* placements that point to it, also those that only their machines
                                 still have to forget */
    tw_gang gang;             /* of a job whose tasks run together */

    bool cancelling; /* its user cancels it, and can't be told so yet: tw_cancellation_safety */
    uint64_t
        cancellation_sequence; /* number of its cancellation, see tw_cluster_next_cancellation */
    int consecutive_errors;    /* of its tasks, without a success between them */
    double retry_at;           /* nothing of it is placed before */
    struct tw_machine
        *failed_machines[TW_JOB_MAX_FAILED_MACHINES]; /* machines its tasks failed on */
    int failed_machine_count;
    double failed_machines_until; /* until then nothing of it is placed on them */

    double pending_since; /* since when a task of it waits to be placed */
    bool has_run;         /* a task of it has run for longer than a lease */
    bool guaranteed;      /* scratch: it is within its team's guarantee, see job_queue.c */
    bool capacity_bound;  /* nothing can be rented for it */
    bool any_machine;     /* it asks for no GPU, and may take machines with GPUs all the same */
    bool has_checkpoint;  /* a task of it has saved progress: its run time is no longer whole */

    struct tw_job *prev, *next; /* active_jobs of the core */
    bool in_cancelled_list;
    struct tw_job *cancelled_prev, *cancelled_next; /* cancelled_jobs of the core */
    UT_hash_handle hh;                              /* jobs of the core */
} tw_job;

/* ---- job.c: life cycle ---- */

/* A job that is in memory, whether it has ended or not; NULL: none of that id. */
tw_job *tw_job_find(tw_core *core, const char *id);
/* A job without contents, among the jobs and with a record of its own; the core owns it. No job of
 * that id may be in memory. */
tw_job *tw_job_new(tw_core *core, const char *id);
/* Gives the job its contents. spec: what it owns goes to the job, and it is left empty. */
void tw_job_set_spec(tw_core *core, tw_job *job, tw_wire_job *spec);
/* The job's record is to be written. urgent: before those that nobody waits for. */
void tw_job_mark_changed(tw_core *core, tw_job *job, bool urgent);
/* Frees the job, of which no placement may be left. Users who wait for it get no answer. */
void tw_job_free(tw_core *core, tw_job *job);
/* A placement that pointed to the job is freed. The job may be freed by this, too. */
void tw_job_placement_gone(tw_core *core, tw_job *job);
/* The job has ended in that state, which is to be made durable. Tasks of it that may still run are
 * stopped. */
void tw_job_finish(tw_core *core, tw_job *job, tw_wire_job_state state);
/* Notes the job among the cancelled ones, which heartbeats to peers tell of. */
void tw_job_note_cancelled(tw_core *core, tw_job *job);
/* What users are told of the job; the caller frees it. */
char *tw_job_status_text(const tw_job *job);
/* Timed work of the leader on all active jobs. */
void tw_jobs_tick(tw_core *core);
/* Whether a job with these contents can never run: it is refused with TW_HTTP_IMPOSSIBLE. */
bool tw_job_is_impossible(tw_core *core, const tw_wire_job *spec);
/* The machine types that a job allows: bit i is set for entry i of the core's machine_types. */
uint32_t tw_machine_type_mask(const tw_core *core, const tw_wire_job *spec);

/* ---- job_class.c ---- */

/* The class of that name, which is made when it is first asked for; the core owns it. */
tw_job_class *tw_job_class_get(tw_core *core, const char *name);

/* ---- rejected_admissions.c ---- */

/* Forgets a rejected submission, and frees it: no machines are rented for it any more. */
void tw_rejected_admission_drop(tw_core *core, tw_rejected_admission *rejected);

/* ---- user_requests.c ---- */

/* Requests of users, to be answered at that connection: a submission, a query, a cancellation.
 * from_peer: another node forwarded it, so that it isn't forwarded again. */
void tw_user_submit(tw_core *core, uint64_t connection, const char *body, size_t length,
                    bool from_peer);
void tw_user_query(tw_core *core, uint64_t connection, const char *id, bool from_peer);
void tw_user_cancel(tw_core *core, uint64_t connection, const char *id, bool from_peer);

/* ---- peer_admissions.c ---- */

/* Timed work of a leader that may command: takes over jobs that other nodes admitted, and watches
 * for more. */
void tw_peer_admissions_tick(tw_core *core);
/* The response to a call of peer_admissions.c; status 0: none came. */
void tw_peer_admissions_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length);

/* ---- task_ranges.c: sets of tasks as text, "0-5,7" ---- */

/* The tasks with that assignment as text, which the caller frees; "": there are none. */
char *tw_task_ranges_text(const uint8_t *states, int count, tw_assignment wanted);
/* Gives the text's tasks that assignment; returns how many had another one. Indices that are out of
 * range are passed over, and what follows a fault in the text isn't read. */
int tw_task_ranges_apply(uint8_t *states, int count, const char *text, tw_assignment assignment);

/* ---- record_size.c ---- */

/* How many tasks of the job may run at once so that its record fits into one value. */
int tw_record_max_running(const tw_core *core, tw_job *job);

/* ---- leader_failover.c ---- */

/* A term begins: the records are read. */
void tw_failover_begin(tw_core *core);
/* Asks for the next page of records when it is due, unless that is under way. */
void tw_failover_tick(tw_core *core);
/* The state service answered with a page of records, or failed to (any status but 200). */
void tw_failover_handle_page(tw_core *core, int status, const char *body, size_t length);
/* Takes a job in as its record has it: among the jobs, or among the completed ones if it has ended
 * and nothing of it may run. What the job was submitted with is moved out of the record. revision:
 * the record's modification revision. */
void tw_job_restore(tw_core *core, const char *id, tw_wire_record *record, uint64_t revision);

/* ---- term.c ---- */

/* Forgets everything that belongs to a term. */
void tw_term_clear(tw_core *core);

#endif
