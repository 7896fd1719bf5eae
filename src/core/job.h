/* Jobs, job classes, and the functions of the job modules that the rest of the core calls. What the
 * job modules share among themselves is declared in jobs.h. Not for other packages.
 *
 * Only the leader keeps jobs in memory: from the submission (user_requests.c) or the reading of the
 * record (leader_failover.c) until the job has ended and no machine has a task of it. The outcome
 * is kept longer (completed_jobs.h). All times are in seconds of the steady clock unless stated
 * otherwise.
 *
 * Invariants:
 *   - answers to users only contain durable states: durable_state, never state;
 *   - a job that has durably ended never changes its state again;
 *   - each change that must appear in the job's record goes through tw_job_mark_changed;
 *   - a job is in the core's active_jobs as long as it has task_states. */
#ifndef TW_CORE_JOB_H
#define TW_CORE_JOB_H
#include "core/gang.h"
#include "core/placement.h"
#include "store/store.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <uthash.h>

/* Maximum number of zones with an index. Further zones are known by name only. */
#define TW_MAX_ZONES 16
/* Maximum number of machines with failed tasks that a job remembers. */
#define TW_JOB_MAX_FAILED_MACHINES 4

typedef struct tw_call tw_call;
typedef struct tw_rejected_admission tw_rejected_admission;

/* A user's request that is answered when the job is durable or, for a cancellation, has ended. */
typedef struct tw_waiting_client {
    uint64_t connection;
    bool cancels;     /* true for a cancellation, false for a submission */
    double reject_at; /* time at which an unanswered request is rejected */
    struct tw_waiting_client *next;
} tw_waiting_client;

/* A class of jobs: its objectives, and statistics of its recent jobs. The averages are exponential
 * moving averages. */
typedef struct tw_job_class {
    char name[TW_NAME_SIZE];
    double start_within_s;     /* objective for the time from submission to start; 0: none */
    double finish_within_s;    /* objective for the time from submission to end; 0: none */
    bool has_deadline;         /* its jobs have a deadline objective */
    double run_time_ratio;     /* average of actual over estimated run time */
    double run_time_deviation; /* average absolute deviation of that ratio */
    double task_rate;          /* average of tasks submitted per second */
    double batch_tasks;        /* average of tasks per job */
    double largest_gang;       /* number of tasks of the largest gang so far */
    double last_arrival_at;    /* submission time of its latest job; 0: it had no job */
    tw_wire_job sample;        /* specification of its latest job, without machine types */
    bool has_sample;
    uint32_t sample_type_mask; /* machine types that the sample allows, see tw_machine_type_mask */
    int reserve;               /* number of tasks to keep capacity free for, see reserve.c */
    int reserve_available;     /* number of those tasks that free capacity exists for */
    UT_hash_handle hh;         /* entry in the core's job_classes */
} tw_job_class;

/* Assignment of a task; a job's task_states holds one for each of its tasks. */
typedef enum {
    TW_ASSIGNMENT_NONE,   /* neither placed nor done */
    TW_ASSIGNMENT_PLACED, /* has an attempt that may run on a machine */
    TW_ASSIGNMENT_DONE    /* needs no further attempt; in a gang, one may still run */
} tw_assignment;

/* Classes of machines by what is known of their zone, after the zones with an index. */
enum {
    TW_ZONE_UNKNOWN = TW_MAX_ZONES, /* the machine may be in any zone */
    TW_ZONE_UNINDEXED,              /* the zone is known by name only */
    TW_ZONE_CLASSES
};

typedef struct tw_job {
    char id[TW_WIRE_ID_SIZE];
    bool has_spec;     /* the specification is known: spec and the fields derived from it */
    tw_wire_job spec;  /* specification as submitted; owned */
    char *spec_text;   /* specification as text, as in the record; owned; NULL: not generated yet */
    size_t spec_bytes; /* length of the specification's text; 0: not computed yet */
    int team;          /* index into the settings' teams; -1: unknown */
    tw_job_class *job_class;
    uint32_t type_mask;  /* machine types that the job allows, see tw_machine_type_mask */
    uint32_t image_hash; /* hash of its image's name, see tw_image_hash */
    int task_count;

    tw_wire_job_state state;            /* TW_JOB_PENDING until it ends, even while tasks run */
    tw_wire_job_state durable_state;    /* state that the state service is known to hold */
    tw_store_record *record;            /* owned; NULL: the job is part of a rejected admission */
    tw_waiting_client *waiting_clients; /* owned */
    double submitted_at;
    double submitted_wall_s; /* submission time in seconds of the wall clock */

    uint8_t *task_states; /* a tw_assignment per task; owned; NULL after the job's release */
    int done_count;       /* number of tasks that are done */
    int placed_count;     /* number of tasks that may run: length of `placements` */
    int first_unplaced;   /* every task with a lower index is placed or done */
    uint64_t next_attempt;
    tw_placement *placements; /* placements of its tasks that may run */
    /* lengths of the parts of that list by zone: its index, or TW_ZONE_UNKNOWN and so on */
    int placed_in_zone[TW_ZONE_CLASSES];
    int placement_refs; /* number of placements that refer to the job, including those whose task
                         * the machine only has to forget */
    tw_gang gang;       /* state of the current attempt if the job is a gang */

    bool cancelling;                /* its cancellation was requested; it is confirmed once state is
                                       TW_JOB_CANCELLED */
    uint64_t cancellation_sequence; /* sequence number of its cancellation, see
                                       tw_cluster_next_cancellation */
    int consecutive_errors;         /* number of task errors since the last success of a task */
    double retry_at;                /* no task of it is placed before that time */
    struct tw_machine *failed_machines[TW_JOB_MAX_FAILED_MACHINES]; /* machines on which tasks of
                                                                       the job failed; not owned */
    int failed_machine_count;
    double failed_machines_avoided_until; /* no task is placed on them before that time */

    double pending_since; /* time since which a task of it waits for placement */
    bool has_run;         /* a task of it has run for longer than a lease */
    bool guaranteed;      /* scratch field of job_queue.c: the job is within its team's guarantee */
    bool no_capacity_offered;  /* no machine that suits it can be rented */
    bool may_use_gpu_machines; /* it requests no GPU, but may also run on machines with GPUs */
    bool has_checkpoint; /* a task of it has saved progress, so that the run time of its attempt is
                            not that of a whole run */

    struct tw_job *prev, *next; /* neighbors in the core's active_jobs */
    bool in_cancelled_list;
    struct tw_job *cancelled_prev, *cancelled_next; /* neighbors in the core's cancelled_jobs */
    UT_hash_handle hh;                              /* entry in the core's jobs */
} tw_job;

/* ---- job.c: life cycle ---- */

/* Finds a job in memory, whether it has ended or not. Returns NULL if there is none with
 * that id. */
tw_job *tw_job_find(tw_core *core, const char *id);
/* Creates a job without a specification, adds it to the core's jobs and gives it a store record.
 * The core owns the job. No job with that id may be in memory. */
tw_job *tw_job_new(tw_core *core, const char *id);
/* Sets the job's specification and the fields derived from it. Moves the contents out of spec,
 * which is left empty. */
void tw_job_set_spec(tw_core *core, tw_job *job, tw_wire_job *spec);
/* Marks the job's record as changed, so that the store writes it. urgent: it is written before the
 * records that no request waits for. */
void tw_job_mark_changed(tw_core *core, tw_job *job, bool urgent);
/* Frees the job, which must have no placements. Waiting users get no answer. */
void tw_job_free(tw_core *core, tw_job *job);
/* Removes the reference of a placement that was freed. May free the job, too. */
void tw_job_remove_placement_ref(tw_core *core, tw_job *job);
/* Ends the job in that state, marks its record as changed, and stops those of its tasks that may
 * still run. */
void tw_job_finish(tw_core *core, tw_job *job, tw_wire_job_state state);
/* Adds the job to the list of cancelled jobs, which heartbeats to peers carry. */
void tw_job_note_cancelled(tw_core *core, tw_job *job);
/* Returns the body of a status answer to a user; the caller frees it. */
char *tw_job_status_text(const tw_job *job);
/* Does the leader's periodic work on all active jobs. */
void tw_jobs_tick(tw_core *core);
/* Returns whether a job with this specification can never run. Such a job is refused with
 * TW_HTTP_IMPOSSIBLE. */
bool tw_job_is_impossible(tw_core *core, const tw_wire_job *spec);
/* Returns the machine types that a job allows as a mask: bit i is set for entry i of the core's
 * machine_types. */
uint32_t tw_machine_type_mask(const tw_core *core, const tw_wire_job *spec);

/* ---- job_class.c ---- */

/* Returns the class with that name; creates it on first use. The core owns it. */
tw_job_class *tw_job_class_get(tw_core *core, const char *name);

/* ---- rejected_admissions.c ---- */

/* Removes and frees a rejected admission, so that no machines are rented for it any more. */
void tw_rejected_admission_drop(tw_core *core, tw_rejected_admission *rejected);

/* ---- user_requests.c ---- */

/* Handle a user's submission, query and cancellation, which are answered on that connection.
 * from_peer: another node forwarded the request, so that it isn't forwarded again. */
void tw_user_submit(tw_core *core, uint64_t connection, const char *body, size_t length,
                    bool from_peer);
void tw_user_query(tw_core *core, uint64_t connection, const char *id, bool from_peer);
void tw_user_cancel(tw_core *core, uint64_t connection, const char *id, bool from_peer);

/* ---- peer_admissions.c ---- */

/* Does the periodic work of a leader that may send commands: takes over jobs that other nodes
 * admitted, and watches for further ones. */
void tw_peer_admissions_tick(tw_core *core);
/* Handles the response to a call of peer_admissions.c. status 0: no response arrived. */
void tw_peer_admissions_response(tw_core *core, tw_call *call, int status, const char *body,
                                 size_t length);

/* ---- task_ranges.c: sets of tasks as text, such as "0-5,7" ---- */

/* Returns the indices of the tasks with that assignment as text, which the caller frees; "" if
 * there are none. */
char *tw_task_ranges_text(const uint8_t *states, int count, tw_assignment wanted);
/* Sets the assignment of the tasks that the text lists. Returns how many of them had another
 * assignment before. Ignores indices that are out of range, and stops at the first syntax error. */
int tw_task_ranges_apply(uint8_t *states, int count, const char *text, tw_assignment assignment);

/* ---- record_size.c ---- */

/* Returns how many tasks of the job may run at the same time so that its record fits into one value
 * of the state service. */
int tw_record_max_running(const tw_core *core, tw_job *job);

/* ---- leader_failover.c ---- */

/* Begins reading the records at the start of a term. */
void tw_failover_begin(tw_core *core);
/* Requests the next page of records when it is due and no request for one is in flight. */
void tw_failover_tick(tw_core *core);
/* Handles the response to a request for a page of records. Any status but 200 means that
 * it failed. */
void tw_failover_handle_page(tw_core *core, int status, const char *body, size_t length);
/* Restores a job from its record: adds it to the jobs, or to the completed ones if it has ended and
 * none of its tasks may run. Moves the specification out of the record. revision: the record's mod
 * revision. */
void tw_job_restore(tw_core *core, const char *id, tw_wire_record *record, uint64_t revision);

/* ---- term.c ---- */

/* Clears all state that belongs to a term. */
void tw_term_clear(tw_core *core);

#endif
