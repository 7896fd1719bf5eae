/* Jobs, their classes, and what the whole core may ask of their modules; what these share among
 * themselves stands in jobs.h. Invariants: a user is told only what is durable; a final stage never
 * changes; ver grows with each change of the job, and durable_ver is the one that the state service
 * is known to hold under stamp. Not for other packages. */
#ifndef TW_CORE_JOB_H
#define TW_CORE_JOB_H
#include "core/gang.h"
#include "core/placement.h"
#include "store/store.h"
#include "wire/wire.h"
#include <stdbool.h>
#include <uthash.h>

typedef struct tw_call tw_call;
typedef struct tw_rejected_admission tw_rejected_admission;

/* A request whose answer waits until the job is durable, or known to be over. */
typedef struct tw_waiting_client {
    uint64_t connection;
    bool cancels; /* else: a submission */
    double until;
    struct tw_waiting_client *next;
} tw_waiting_client;

/* A class of jobs: its objectives, and what its jobs were like lately. */
typedef struct tw_job_class {
    char name[TW_NAME_SIZE];
    double start_within_s;  /* start objective, 0: none */
    double finish_within_s; /* objective for the end, from the submission; 0: none */
    int has_deadline;       /* has a deadline objective */
    double run_time_ratio,
        run_time_deviation; /* EMA of actual over estimated run time, and of its deviation */
    double task_rate;       /* EMA of tasks asked per second */
    double batch_tasks;     /* EMA of tasks per job */
    double largest_gang;    /* tasks of the largest gang so far */
    double last_arrival_at;
    tw_wire_job sample; /* shape of its latest job (no racks) */
    int has_sample;
    uint32_t sample_type_mask;
    int reserve,
        reserve_available; /* tasks to keep room for, and that there is room for; see reserve.c */
    UT_hash_handle hh;
} tw_job_class;

typedef struct tw_job {
    char id[TW_WIRE_ID_SIZE];
    bool has_spec;
    tw_wire_job spec;
    char *spec_text;   /* s as in the record, made once; NULL: not yet */
    size_t spec_bytes; /* the length of that text; 0: not measured yet */
    int team;          /* index, -1: unknown */
    tw_job_class *job_class;
    uint32_t type_mask;  /* over core->flavors */
    uint32_t image_hash; /* sum of its image's name */
    int task_count;
    int state; /* TW_JOB_PENDING while unfinished */
    int durable_state;
    double submitted_at; /* steady clock */
    double submitted_wall_s;
    uint8_t *task_states; /* per task; NULL once over */
    int done_count, placed_count;
    int first_unplaced; /* no free task below it */
    uint64_t next_attempt;
    tw_placement *placements;
    int placement_refs;      /* that point to it: live, or not yet forgotten by their machines */
    tw_store_record *record; /* owned; NULL: of a submission that was rejected */
    tw_waiting_client *waiting_clients;
    /* errors */
    int cancelling; /* its user cancels it; not yet safe to tell, see tw_cancellation_safety */
    uint64_t cancellation_sequence;
    int consecutive_errors; /* in a row */
    double retry_at;
    struct tw_machine
        *failed_machines[4]; /* machines it failed on lately, passed over until bad_until */
    int failed_machine_count;
    double failed_machines_until;
    double pending_since;
    int has_run;                /* a task of it has run for a lease */
    bool guaranteed;            /* scratch: within its team's guarantee, see job_queue.c */
    bool capacity_bound;        /* nothing can be rented for it */
    int any_machine;            /* without GPUs, but only GPU machines are to be had */
    bool has_checkpoint;        /* a task's run time is no longer the whole */
    tw_gang gang;               /* of a job whose tasks start together */
    struct tw_job *prev, *next; /* core->active */
    bool in_cancelled_list;
    struct tw_job *cancelled_prev, *cancelled_next; /* core->cancelled */
    UT_hash_handle hh;
} tw_job;

/* job.c */
/* An unfinished job, or one that something still points to; NULL: none of that id. */
tw_job *tw_job_find(tw_core *core, const char *id);
/* A job without contents, among the jobs. */
tw_job *tw_job_new(tw_core *core, const char *id);
/* Gives the job its contents. */
void tw_job_set_spec(tw_core *core, tw_job *job, tw_wire_job *spec /* taken */);
/* Its record is to be written; urgent: before those that nobody waits for. */
void tw_job_mark_changed(tw_core *core, tw_job *job, bool urgent);
/* Frees the job, of which no placement may be left. */
void tw_job_free(tw_core *core, tw_job *job);
/* A placement of the job is no more; the job may be none either after it. */
void tw_job_placement_gone(tw_core *core, tw_job *job);
/* The job is over, at this stage; that is not durable yet. */
void tw_job_finish(tw_core *core, tw_job *job, int state);
/* Notes it among the cancelled jobs, which heartbeats tell of. */
void tw_job_note_cancelled(tw_core *core, tw_job *job);
/* What its user is told; the caller frees it. */
char *tw_job_status_text(const tw_job *job);
/* Timed work of the leader on all unfinished jobs. */
void tw_jobs_tick(tw_core *core);
/* Whether it can never run: refused with TW_HTTP_IMPOSSIBLE. */
bool tw_job_is_impossible(tw_core *core, const tw_wire_job *spec);
/* The machine types that a job allows, a bit each, over core->flavors. */
uint32_t tw_machine_type_mask(const tw_core *core, const tw_wire_job *spec);

/* job_class.c */
/* The class of that name, made when it is first named. */
tw_job_class *tw_job_class_get(tw_core *core, const char *name);

/* job_persistence.c */
/* The text of its record; the caller frees it. */
char *tw_job_record_text(tw_job *job);

/* rejected_admissions.c */
/* Forgets a submission that was turned away. */
void tw_rejected_admission_drop(tw_core *core, tw_rejected_admission *expected);

/* user_requests.c */
/* Requests of users: a submission, a query, a cancellation. from_peer: handed on by another node.
 */
void tw_user_submit(tw_core *core, uint64_t connection, const char *body, size_t length,
                    bool from_peer);
void tw_user_query(tw_core *core, uint64_t connection, const char *id, bool from_peer);
void tw_user_cancel(tw_core *core, uint64_t connection, const char *id, bool from_peer);
/* A call that was made for a user was answered. */
void tw_user_response(tw_core *core, tw_call *sent, int status, const char *body, size_t length);

/* peer_admissions.c */
/* Takes over jobs that other nodes accepted, and watches for more. */
void tw_peer_admissions_tick(tw_core *core);
/* The state service answered with their keys, or their removal. */
void tw_peer_admissions_response(tw_core *core, tw_call *sent, int status, const char *body,
                                 size_t length);

/* task_ranges.c: states of tasks as text, "0-5,7" */
/* The tasks in the wanted state as text, which the caller frees. */
char *tw_task_ranges_text(const uint8_t *states, int count, int want);
/* Puts the text's tasks into a state; returns how many changed. */
int tw_task_ranges_apply(uint8_t *states, int count, const char *text, int to);

/* record_size.c */
/* How many tasks of the job may be live at once for its record to fit into one value. */
int tw_record_max_running(const tw_core *core, tw_job *job);

/* leader_failover.c */
/* A term begins: the records are read. */
void tw_failover_begin(tw_core *core);
/* Asks for the next page, unless that is under way. */
void tw_failover_tick(tw_core *core);
/* The state service answered with a page of records. */
void tw_failover_page(tw_core *core, int status, const char *body, size_t length);
/* A job as its record has it, among the jobs or, if it is over and nothing of it may run, among the
 * finished ones. Takes what the job was submitted with out of the record. */
void tw_job_restore(tw_core *core, const char *id, tw_wire_record *record, uint64_t revision);

/* term.c */
/* Everything that belongs to a term is forgotten with it. */
void tw_term_clear(tw_core *core);

#endif
