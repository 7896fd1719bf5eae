/* The wire formats: JSON text to and from structs, for users, workers, the cloud, the state service
 * and peers.
 *
 * The package knows no rule of scheduling, and a client may link it alone. The protocol's own field
 * names stand only here, in the tables of the .c files; the structs have the terms of the glossary
 * in docs/architecture.md.
 *
 * Invariants: a parser either fills the whole struct or returns an error and leaves nothing
 * allocated; what a function prints depends on its arguments alone.
 * Ownership: a function named *_text returns a message that the caller frees; what a parser
 * allocates is freed by the *_free function of the struct, or by free() where there is none.
 * Units: durations in seconds, sizes in GB (10^9 bytes), prices per hour. */
#ifndef TW_WIRE_H
#define TW_WIRE_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Sizes of buffers for names, job ids and keys of the state service, with the final zero. */
#define TW_WIRE_NAME_SIZE 64
#define TW_WIRE_ID_SIZE 32
#define TW_WIRE_KEY_SIZE 256
/* Most tasks of a job, and machine types that it may name. */
#define TW_WIRE_MAX_TASKS 100000
#define TW_WIRE_MAX_MACHINE_TYPES 32

/* What a parser returns. */
typedef enum {
    TW_WIRE_OK = 0,
    TW_WIRE_MALFORMED = -1 /* the text is not what the protocol says */
} tw_wire_error;

/* The error as a phrase for log lines; a constant. */
const char *tw_wire_strerror(tw_wire_error error);

/* ---- users: POST /v1/jobs, GET /v1/jobs/{id} ---- */

/* Priority of a job, lowest first. */
typedef enum {
    TW_PRIORITY_IDLE,
    TW_PRIORITY_NORMAL,
    TW_PRIORITY_HIGH,
    TW_PRIORITY_PROD
} tw_wire_priority;

/* A job as submitted. */
typedef struct {
    char id[TW_WIRE_ID_SIZE], job_class[TW_WIRE_NAME_SIZE], team[TW_WIRE_NAME_SIZE],
        image[TW_WIRE_NAME_SIZE];
    char zone[TW_WIRE_NAME_SIZE]; /* "": any */
    bool service, gang;           /* neither: a batch */
    tw_wire_priority priority;
    int task_count;
    double cores, gpus, memory_gb; /* of one task */
    double image_gb;
    int machine_type_count; /* -1: any machine type */
    char (*machine_types)[TW_WIRE_NAME_SIZE];
    bool single_zone; /* all tasks in one zone */
    bool spread;      /* at most half the tasks in a zone */
    bool spot;        /* may run on spot machines */
    double expected_run_s;
    double checkpoint_s; /* between two checkpoints; 0: it saves none */
    double save_s;       /* that a stopped task takes to save */
    double deadline_s;   /* after the submission; -1: none */
} tw_wire_job;

/* Whether a job's id has the form that the protocol gives it. */
bool tw_wire_is_valid_job_id(const char *id, size_t len);
/* Reads a submission. On an error *why says what is wrong in a few words, a constant. Free the job
 * with tw_wire_job_free. */
tw_wire_error tw_wire_job_parse(tw_wire_job *job, const char *text, size_t len,
                                const char **reason);
void tw_wire_job_free(tw_wire_job *job);
/* The job as it stands in its record. */
char *tw_wire_job_text(const tw_wire_job *job);

/* State of a job, as users are told it. */
typedef enum {
    TW_JOB_UNKNOWN = -1, /* of a record that can't be read; never on the wire */
    TW_JOB_PENDING,
    TW_JOB_RUNNING,
    TW_JOB_DONE,
    TW_JOB_CANCELLED
} tw_wire_job_state;
/* What a user is told of a job. done, running: counts of tasks; those below 0 are left out. */
char *tw_wire_job_status_text(const char *id, tw_wire_job_state state, long done, long running);

/* ---- workers: heartbeats (POST /hello), commands (POST /orders) ---- */

/* State of a task on its machine. */
typedef enum {
    TW_TASK_FETCHING, /* its image */
    TW_TASK_RUNNING,
    TW_TASK_SAVING, /* was told to stop, and saves its progress */
    TW_TASK_EXITED,
    TW_TASK_WAITING /* has its image, waits for the others of its gang */
} tw_wire_task_state;

/* Why a task exited, or was refused. */
typedef enum {
    TW_CAUSE_NONE,
    TW_CAUSE_DONE,
    TW_CAUSE_STOPPED,
    TW_CAUSE_ERROR,
    TW_CAUSE_NO_CAPACITY,
    TW_CAUSE_BUSY,
    TW_CAUSE_UNKNOWN_TASK,
    TW_CAUSE_GANG_BROKEN,     /* another task of its gang is gone */
    TW_CAUSE_GANG_INCOMPLETE, /* its gang was not complete in time */
    TW_CAUSE_OTHER
} tw_wire_exit_cause;

/* A task on a machine, by its job and number. */
typedef struct {
    char job[TW_WIRE_ID_SIZE];
    int index;
    tw_wire_task_state state;
    tw_wire_exit_cause cause; /* when EXITED */
    bool saved;               /* its progress is kept */
    uint64_t attempt;
} tw_wire_task;

/* A worker's heartbeat. Of two, the one with the larger (incarnation, sequence) is the newer. */
typedef struct {
    char worker[TW_WIRE_NAME_SIZE], endpoint[TW_WIRE_NAME_SIZE], machine_type[TW_WIRE_NAME_SIZE],
        zone[TW_WIRE_NAME_SIZE];
    bool spot;
    uint64_t incarnation, sequence;
    uint64_t fencing_token;     /* highest one that the worker has seen */
    double preemption_notice_s; /* until its spot machine is taken; -1: no notice */
    int task_count;
    tw_wire_task *tasks;
} tw_wire_heartbeat;

/* Free the heartbeat with tw_wire_heartbeat_free. */
tw_wire_error tw_wire_heartbeat_parse(tw_wire_heartbeat *heartbeat, const char *text, size_t len);
void tw_wire_heartbeat_free(tw_wire_heartbeat *heartbeat);

/* Heartbeats that came before, with their texts, so that one that says nothing new need not be
 * parsed. The cache owns the heartbeats in it. */
typedef struct tw_wire_heartbeat_cache tw_wire_heartbeat_cache;
/* max_long_bytes: what texts longer than 8 KiB and their heartbeats may take together; those
 * beyond it are parsed each time. */
tw_wire_heartbeat_cache *tw_wire_heartbeat_cache_new(size_t max_long_bytes);
void tw_wire_heartbeat_cache_free(tw_wire_heartbeat_cache *cache);
/* What tw_wire_heartbeat_parse would read, valid until the next call; NULL where that refuses. */
const tw_wire_heartbeat *tw_wire_heartbeat_cache_read(tw_wire_heartbeat_cache *cache,
                                                      const char *text, size_t len);
/* Evicts the heartbeats that did not come since the last call. Without it the cache only grows. */
void tw_wire_heartbeat_cache_sweep(tw_wire_heartbeat_cache *cache);
/* How many are kept: one a worker that sends heartbeats, and those of workers that stopped lately.
 */
size_t tw_wire_heartbeat_cache_count(const tw_wire_heartbeat_cache *cache);

typedef enum { TW_COMMAND_LAUNCH, TW_COMMAND_STOP, TW_COMMAND_FORGET } tw_wire_command_kind;

/* A command to a worker, about one attempt to run a task. */
typedef struct {
    tw_wire_command_kind kind;
    int index;
    char job[TW_WIRE_ID_SIZE];
    uint64_t attempt;
    double grace_s; /* STOP: time that the task gets to save */
} tw_wire_command;

/* Body of the answer to a heartbeat (incarnation 0), or of a direct command message (> 0). */
char *tw_wire_commands_text(uint64_t fencing_token, uint64_t incarnation,
                            const tw_wire_command *commands, size_t n);
/* Body of a 421: the node to send heartbeats to instead; "" or NULL: none is named. */
char *tw_wire_redirect_text(const char *name);

/* ---- cloud: machine types (GET /flavors), rentals (GET and POST /rentals) ---- */

/* A machine type. */
typedef struct {
    char name[TW_WIRE_NAME_SIZE];
    double cores, gpus, memory_gb;
    double cache_gb;   /* room for images */
    double fetch_gb_s; /* rate at which images are fetched, GB a second */
    double on_demand_price, spot_price;
    double startup_s;
    int zone_count;
    char zones[16][TW_WIRE_NAME_SIZE];
} tw_wire_machine_type;
/* An array of n machine types, to be freed. */
tw_wire_error tw_wire_machine_types_parse(tw_wire_machine_type **types, int *n, const char *text,
                                          size_t len);

typedef enum { TW_RENTED_BOOTING, TW_RENTED_RUNNING, TW_RENTED_FAILED } tw_wire_rented_state;

/* A rented machine as the cloud lists it. */
typedef struct {
    char id[TW_WIRE_NAME_SIZE], endpoint[TW_WIRE_NAME_SIZE], machine_type[TW_WIRE_NAME_SIZE],
        zone[TW_WIRE_NAME_SIZE];
    bool spot;
    tw_wire_rented_state state;
    double rented_s; /* since it was rented */
} tw_wire_rented_machine;
/* A page of the list, to be freed. *more: machines follow after the last one. */
tw_wire_error tw_wire_rented_machines_parse(tw_wire_rented_machine **machines, int *n, int *more,
                                            const char *text, size_t len);
/* A request for n machines, under a name that is never used for another one. */
char *tw_wire_rental_request_text(const char *name, const char *type, const char *zone, bool spot,
                                  int n);
/* Names of machines, of the answer to a rental and of a request to return machines. */
tw_wire_error tw_wire_machine_names_parse(char (**names)[TW_WIRE_NAME_SIZE], int *n,
                                          const char *text, size_t len);
char *tw_wire_machine_names_text(char (*names)[TW_WIRE_NAME_SIZE], int n);

/* ---- state service, a key-value store: /kv, /txn, leases (/grants), watches (/follow) ---- */

/* A key with its value. */
typedef struct {
    char key[TW_WIRE_KEY_SIZE];
    uint64_t mod_revision; /* of the key's last change */
    uint64_t lease_id;     /* 0: none */
    char *value;           /* JSON text */
} tw_wire_entry;
/* One entry; free its value. */
tw_wire_error tw_wire_entry_parse(tw_wire_entry *entry, const char *text, size_t len);
/* A page of entries. *more: keys follow after the last one. Free with tw_wire_entries_free. */
tw_wire_error tw_wire_entries_parse(tw_wire_entry **entries, int *n, int *more, const char *text,
                                    size_t len);
void tw_wire_entries_free(tw_wire_entry *entries, int n);
/* The store revision that an answer is of. */
tw_wire_error tw_wire_revision_parse(uint64_t *revision, const char *text, size_t len);
/* Whether the answer to a watch shows any change, removals included. */
bool tw_wire_watch_has_changes(const char *text, size_t len);
/* The keys that the answer to a watch says were written, without values. Free with
 * tw_wire_entries_free. */
tw_wire_error tw_wire_watch_keys_parse(tw_wire_entry **entries, int *n, const char *text,
                                       size_t len);
/* The changes in a named list: "log" of a watch's answer, "apply" of a transaction. A removed key
 * has no value (NULL); mod_revision is 0 where the list has none. Free with tw_wire_entries_free.
 */
tw_wire_error tw_wire_changes_parse(const char *list, tw_wire_entry **entries, int *n,
                                    const char *text, size_t len);
/* The lease that was granted. */
tw_wire_error tw_wire_lease_id_parse(uint64_t *lease_id, const char *text, size_t len);
/* The keys whose compares failed, of a refused transaction (409). Free the array. */
tw_wire_error tw_wire_failed_compares_parse(char (**keys)[TW_WIRE_KEY_SIZE], int *n,
                                            const char *text, size_t len);

/* A compare of a transaction: the key must have this revision; 0: it must not exist. */
typedef struct {
    const char *key;
    uint64_t mod_revision;
} tw_wire_compare;
/* A write of a transaction. */
typedef struct {
    const char *key, *value; /* value NULL: remove the key */
    uint64_t lease_id;       /* 0: none */
} tw_wire_write;
/* A transaction: all writes are carried out if all compares hold, else none. */
char *tw_wire_txn_text(const tw_wire_compare *compares, size_t compare_count,
                       const tw_wire_write *writes, size_t write_count);

/* ---- records of jobs in the state service ---- */

/* Formats of records: a node that reads the later one reads the earlier one, too. */
enum { TW_RECORD_FORMAT_WHOLE = 1, TW_RECORD_FORMAT_CHUNKED };
/* Room for the name of a chunk set, with the final zero. */
#define TW_WIRE_CHUNK_SET_SIZE 48

/* A task that may run, and its machine. */
typedef struct {
    int index;
    uint64_t attempt;
    char worker[TW_WIRE_NAME_SIZE];
} tw_wire_assignment;

/* A job's record: the job as submitted and what became of it. A chunked record holds its state and
 * counts only; its whole text is in the chunks of the set that it names. */
typedef struct {
    bool has_job;
    tw_wire_job job;         /* when has_job */
    const char *job_text;    /* tw_wire_job_text of the job, written instead of it; NULL: none */
    tw_wire_job_state state; /* PENDING while unfinished, else DONE or CANCELLED */
    int task_count, done_count;
    double submitted_at; /* time of day */
    uint64_t next_attempt;
    char *done_ranges; /* numbers of the tasks that are done, "0-5,7"; NULL: none */
    int assignment_count;
    tw_wire_assignment *assignments;
    char chunk_set[TW_WIRE_CHUNK_SET_SIZE]; /* "": the record is whole */
    int chunk_count;
    int running_count; /* of a chunked record: tasks that may run */
} tw_wire_record;
/* id: the job that its key names. Free the record with tw_wire_record_free. */
tw_wire_error tw_wire_record_parse(tw_wire_record *record, const char *id, const char *text,
                                   size_t len);
void tw_wire_record_free(tw_wire_record *record);
char *tw_wire_record_text(const tw_wire_record *record);
/* The state alone; TW_JOB_UNKNOWN: the record can't be read. */
tw_wire_job_state tw_wire_record_state(const char *text, size_t len);

/* A record within a list of the state service, read without a text of its own in between. */
typedef struct {
    char key[TW_WIRE_KEY_SIZE];
    uint64_t mod_revision;
    bool readable; /* else there is nothing in the record */
    tw_wire_record record;
} tw_wire_listed_record;
/* A page of records whose keys are prefix and the job's id. *more: keys follow after the last one.
 * Free with tw_wire_records_free. */
tw_wire_error tw_wire_records_parse(tw_wire_listed_record **records, int *n, int *more,
                                    const char *prefix, const char *text, size_t len);
void tw_wire_records_free(tw_wire_listed_record *records, int n);

/* The chunked record, which names the set that holds its text. */
char *tw_wire_chunked_record_text(const tw_wire_record *record);
/* The beginning of a text as a chunk: a JSON value of at most `most` bytes that ends between two
 * characters. *taken: how many bytes of the text it holds. */
char *tw_wire_chunk_text(const char *text, size_t max_bytes, size_t *consumed);
/* The text that a chunk holds, to be freed; NULL: the value is no chunk. */
char *tw_wire_chunk_parse(const char *json);

/* ---- peers ---- */

/* A heartbeat between nodes, and the answer to one: what a node says of itself. */
typedef struct {
    char name[TW_WIRE_NAME_SIZE], leader[TW_WIRE_NAME_SIZE];
    uint64_t highest_token; /* that it has seen; it answers no worker under a lower one */
    bool store_reachable;   /* its calls to the state service succeed */
    bool is_leader;
    double uptime_s;
    double since_delegate_answer_s; /* since it last answered a worker as a delegate, or started */
    int record_format;              /* what it can read, TW_RECORD_FORMAT_*; WHOLE if unsaid */
} tw_wire_peer_heartbeat;
tw_wire_error tw_wire_peer_heartbeat_parse(tw_wire_peer_heartbeat *heartbeat, const char *text,
                                           size_t len);
/* cancelled: ids of cancelled jobs that may still run, said by a leader. */
char *tw_wire_peer_heartbeat_text(const tw_wire_peer_heartbeat *heartbeat,
                                  const char *const *cancelled, int cancelled_count);
/* The cancelled jobs that a peer's heartbeat names. Free the array. */
tw_wire_error tw_wire_cancelled_jobs_parse(char (**ids)[TW_WIRE_ID_SIZE], int *n, const char *text,
                                           size_t len);

#endif
