/* The wire formats: JSON text <-> structs, for users, workers, cloud, state service and peers.
 *
 * Nothing here knows the scheduler; a client may link this package alone. A parser returns 0; or -1
 * for text that is not what the protocol says, and then leaves nothing allocated. A function named
 * *_text returns a message that the caller frees. Durations are in seconds, sizes in GB. Field and
 * type names follow the protocol's words; docs/architecture.md says what each of them means. */
#ifndef TW_WIRE_H
#define TW_WIRE_H
#include <stddef.h>
#include <stdint.h>

/* Room for names, job ids and keys of the state service, with their ends. */
#define TW_WIRE_NAME_SIZE 64
#define TW_WIRE_ID_SIZE 32
#define TW_WIRE_KEY_SIZE 256
/* Most tasks of a job, and machine types that it may name. */
#define TW_WIRE_MAX_TASKS 100000
#define TW_WIRE_MAX_MACHINE_TYPES 32

/* ---- users: POST /v1/jobs, GET /v1/jobs/{id} ---- */

/* Priority, lowest first. */
enum { TW_PRIORITY_IDLE, TW_PRIORITY_NORMAL, TW_PRIORITY_HIGH, TW_PRIORITY_PROD };

/* A job as submitted. */
typedef struct {
    char id[TW_WIRE_ID_SIZE], job_class[TW_WIRE_NAME_SIZE], team[TW_WIRE_NAME_SIZE],
        image[TW_WIRE_NAME_SIZE];
    char zone[TW_WIRE_NAME_SIZE]; /* "": any */
    int service, gang;            /* neither: a batch */
    int priority, task_count;
    double cores, gpus, memory_gb, image_gb;
    int machine_type_count; /* -1: any */
    char (*machine_types)[TW_WIRE_NAME_SIZE];
    int single_zone, spread, spot;
    double expected_run_s, checkpoint_s, save_s;
    double deadline_s; /* -1: none */
} tw_wire_job;

/* Whether a job's id has the form that the protocol gives it. */
int tw_wire_id_ok(const char *id, size_t len);
/* *why: what is wrong, in a few words (a constant). Free the job with tw_wire_job_free. */
int tw_wire_job_parse(tw_wire_job *j, const char *text, size_t len, const char **why);
void tw_wire_job_free(tw_wire_job *j);
/* The job as it stands in its record. */
char *tw_wire_job_text(const tw_wire_job *j);

/* State of a job, as users are told it. */
enum { TW_JOB_PENDING, TW_JOB_RUNNING, TW_JOB_DONE, TW_JOB_CANCELLED };
/* {"id":..,"stage":..,"done":..,"running":..}; counts < 0 are left out. Free the result. */
char *tw_wire_job_status_text(const char *id, int stage, long done, long running);

/* ---- workers: POST /hello, POST /orders ---- */

/* State of a task on its machine. */
enum {
    TW_TASK_FETCHING,
    TW_TASK_RUNNING,
    TW_TASK_SAVING,
    TW_TASK_EXITED,
    TW_TASK_WAITING /* has its image, waits for the others of its gang */
};
/* Why a task exited, or was refused. */
enum {
    TW_CAUSE_NONE,
    TW_CAUSE_DONE,
    TW_CAUSE_STOPPED,
    TW_CAUSE_ERROR,
    TW_CAUSE_NO_ROOM,
    TW_CAUSE_BUSY,
    TW_CAUSE_UNKNOWN_TASK,
    TW_CAUSE_GANG_BROKEN,     /* another task of its gang is gone */
    TW_CAUSE_GANG_INCOMPLETE, /* its gang was not complete in time */
    TW_CAUSE_OTHER
};

/* A task on a machine, by its job and number. */
typedef struct {
    char job[TW_WIRE_ID_SIZE];
    int index, state, cause, saved;
    uint64_t attempt;
} tw_wire_task;

/* A worker's report. The one with the larger (shift, tick) is the newer one. */
typedef struct {
    char worker[TW_WIRE_NAME_SIZE], endpoint[TW_WIRE_NAME_SIZE], machine_type[TW_WIRE_NAME_SIZE],
        zone[TW_WIRE_NAME_SIZE];
    int spot;
    uint64_t incarnation, sequence, fencing_token;
    double preemption_notice_s; /* -1: none */
    int task_count;
    tw_wire_task *tasks;
} tw_wire_heartbeat;

int tw_wire_heartbeat_parse(tw_wire_heartbeat *r, const char *text, size_t len);
void tw_wire_heartbeat_free(tw_wire_heartbeat *r);

/* Reports that came before, so that one which says nothing new need not be parsed. */
typedef struct tw_wire_heartbeat_cache tw_wire_heartbeat_cache;
tw_wire_heartbeat_cache *tw_wire_heartbeat_cache_new(void);
void tw_wire_heartbeat_cache_free(tw_wire_heartbeat_cache *cache);
/* What tw_wire_heartbeat_parse would read, or NULL where that refuses. The set owns the report,
 * which is valid until the next call. */
const tw_wire_heartbeat *tw_wire_heartbeat_cache_read(tw_wire_heartbeat_cache *cache,
                                                      const char *text, size_t len);
/* Lets go the reports that did not come since the last call. Without it the set only grows. */
void tw_wire_heartbeat_cache_sweep(tw_wire_heartbeat_cache *cache);
/* How many are kept: one a worker that reports, and those that stopped lately. */
size_t tw_wire_heartbeat_cache_count(const tw_wire_heartbeat_cache *cache);

/* A command to a worker. mercy_s: of a kill, the time a task gets to save. */
enum { TW_COMMAND_LAUNCH, TW_COMMAND_STOP, TW_COMMAND_FORGET };
typedef struct {
    int kind, index;
    char job[TW_WIRE_ID_SIZE];
    uint64_t attempt;
    double grace_s;
} tw_wire_command;

/* Body of a report's answer (shift 0) or of /orders (shift > 0). */
char *tw_wire_commands_text(uint64_t fencing_token, uint64_t incarnation, const tw_wire_command *o,
                            size_t n);
/* Body of a 421: the node to report to instead; "" or NULL: none. */
char *tw_wire_redirect_text(const char *name);

/* ---- cloud: GET /flavors, GET and POST /rentals ---- */

/* A machine type. Prices are per hour; fetch_gb_s is the rate at which images are fetched. */
typedef struct {
    char name[TW_WIRE_NAME_SIZE];
    double cores, gpus, memory_gb, cache_gb, fetch_gb_s, on_demand_price, spot_price, startup_s;
    int zone_count;
    char zones[16][TW_WIRE_NAME_SIZE];
} tw_wire_machine_type;
int tw_wire_machine_types_parse(tw_wire_machine_type **f, int *n, const char *text, size_t len);

/* A rented machine as the cloud lists it. */
typedef struct {
    char id[TW_WIRE_NAME_SIZE], endpoint[TW_WIRE_NAME_SIZE], machine_type[TW_WIRE_NAME_SIZE],
        zone[TW_WIRE_NAME_SIZE];
    int spot, state; /* 0 booting, 1 running, 2 failed */
    double rented_s;
} tw_wire_rented_machine;
/* *more: machines follow after the last one. */
int tw_wire_rented_machines_parse(tw_wire_rented_machine **t, int *n, int *more, const char *text,
                                  size_t len);
/* A request for n machines, under a name that is never used for another one. */
char *tw_wire_rental_request_text(const char *name, const char *type, const char *zone, int spot,
                                  int n);
/* Names of machines: {"trays":[...]}, of a rental's answer and of a request to release. */
int tw_wire_machine_names_parse(char (**names)[TW_WIRE_NAME_SIZE], int *n, const char *text,
                                size_t len);
char *tw_wire_machine_names_text(char (*names)[TW_WIRE_NAME_SIZE], int n);

/* ---- state service: /kv, /txn, /grants, /follow ---- */

/* A key with its value, the revision of its last change and its lease (0: none). */
typedef struct {
    char key[TW_WIRE_KEY_SIZE];
    uint64_t mod_revision, lease_id;
    char *value; /* JSON text */
} tw_wire_entry;
int tw_wire_entry_parse(tw_wire_entry *e, const char *text, size_t len);
int tw_wire_entries_parse(tw_wire_entry **e, int *n, int *more, const char *text, size_t len);
void tw_wire_entries_free(tw_wire_entry *e, int n);
/* The revision that an answer is of. */
int tw_wire_revision_parse(uint64_t *revision, const char *text, size_t len);
/* Whether a watch shows any change, removals included. */
int tw_wire_watch_has_changes(const char *text, size_t len);
/* Keys written, of /follow's {"log":[...]} (data left out). Free with tw_wire_entries_free. */
int tw_wire_watch_keys_parse(tw_wire_entry **e, int *n, const char *text, size_t len);
/* Changes of /follow's {"log":[...]} or of a transaction's {"apply":[...]}; data NULL: removed;
 * stamp 0 where there is none. Free with tw_wire_entries_free. */
int tw_wire_changes_parse(const char *list, tw_wire_entry **e, int *n, const char *text,
                          size_t len);
/* The lease that was granted. */
int tw_wire_lease_id_parse(uint64_t *lease_id, const char *text, size_t len);
/* Keys whose conditions failed: a 409's {"failed":[...]}. */
int tw_wire_failed_compares_parse(char (**keys)[TW_WIRE_KEY_SIZE], int *n, const char *text,
                                  size_t len);

/* A condition: the key's revision; 0: it does not exist. */
typedef struct {
    const char *key;
    uint64_t mod_revision;
} tw_wire_compare;
typedef struct {
    const char *key, *value; /* data NULL: remove */
    uint64_t lease_id;       /* 0: none */
} tw_wire_write;
char *tw_wire_txn_text(const tw_wire_compare *c, size_t nc, const tw_wire_write *w, size_t nw);

/* Formats of records: a node that says the later one reads the earlier ones, too. */
enum { TW_RECORD_FORMAT_WHOLE = 1, TW_RECORD_FORMAT_CHUNKED };
/* Room for the name of a set of slices. */
#define TW_WIRE_CHUNK_SET_SIZE 48
/* A task that may run, and its machine. */
typedef struct {
    int index;
    uint64_t attempt;
    char worker[TW_WIRE_NAME_SIZE];
} tw_wire_assignment;
/* A job's record in the state service: the job as submitted and what became of it. */
typedef struct {
    int has_job;
    tw_wire_job job; /* when has_job */
    const char
        *job_text; /* when has_job, to be written instead of it: tw_wire_job_text of it; or NULL */
    int state;     /* PENDING while unfinished, DONE or ABORTED */
    int task_count, done_count;
    double submitted_at; /* time of day */
    uint64_t next_attempt;
    char *done_ranges; /* "0-5,7" or NULL */
    int assignment_count;
    tw_wire_assignment *assignments;
    /* A divided record holds its stage and counts only; its whole text is in these slices. */
    char chunk_set[TW_WIRE_CHUNK_SET_SIZE]; /* "": it isn't divided */
    int chunk_count, running_count;         /* how many slices; of its tasks, those that may run */
} tw_wire_record;
/* id: the job that its key names. Free the record with tw_wire_record_free. */
int tw_wire_record_parse(tw_wire_record *r, const char *id, const char *text, size_t len);
/* A record within a list of the state service, read without a text of its own in between. */
typedef struct {
    char key[TW_WIRE_KEY_SIZE];
    uint64_t mod_revision;
    int readable; /* else there is nothing in the record */
    tw_wire_record record;
} tw_wire_listed_record;
/* Records whose keys are prefix and the job's id. *more: keys follow after the last one. */
int tw_wire_records_parse(tw_wire_listed_record **records, int *n, int *more, const char *prefix,
                          const char *text, size_t len);
void tw_wire_records_free(tw_wire_listed_record *records, int n);
/* Only its state, TW_JOB_*; -1: can't be read. */
int tw_wire_record_state(const char *text, size_t len);
void tw_wire_record_free(tw_wire_record *r);
char *tw_wire_record_text(const tw_wire_record *r);
/* The record that names the slices of its text. */
char *tw_wire_chunked_record_text(const tw_wire_record *r);
/* A slice of a text as a JSON value of at most `most` bytes, and in *taken the bytes of the text
 * that it holds. It ends between two characters. */
char *tw_wire_chunk_text(const char *text, size_t most, size_t *taken);
/* What a slice holds; NULL: it is none. */
char *tw_wire_chunk_parse(const char *json);

/* ---- peers ---- */

/* What a node says of itself, and what it answers to that. */
typedef struct {
    char name[TW_WIRE_NAME_SIZE], leader[TW_WIRE_NAME_SIZE];
    uint64_t
        highest_token; /* highest token this node knows of; it answers no worker with a lower one */
    int store_reachable; /* its calls to the state service succeed */
    int is_leader;
    double uptime_s;                /* since it started */
    double since_delegate_answer_s; /* since it last answered a worker as a deputy, or started */
    int record_format;              /* what it can read, TW_RECORD_*; 1 where nothing is said */
} tw_wire_peer_heartbeat;
int tw_wire_peer_heartbeat_parse(tw_wire_peer_heartbeat *p, const char *text, size_t len);
/* aborted: cancelled jobs that may still run, said by a leader. */
char *tw_wire_peer_heartbeat_text(const tw_wire_peer_heartbeat *p, const char *const *cancelled,
                                  int cancelled_count);
/* The cancelled jobs that a ping names. */
int tw_wire_cancelled_jobs_parse(char (**ids)[TW_WIRE_ID_SIZE], int *n, const char *text,
                                 size_t len);

#endif
