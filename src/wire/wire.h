/* The wire formats: converts JSON text to structs and back, for the messages exchanged with users,
 * workers, the cloud, the state service and peers.
 *
 * The package contains no scheduling rules, and a client may link it alone. The protocol's field
 * names appear only in this package, in the tables of its .c files; the structs use the terms of
 * the glossary in docs/architecture.md.
 *
 * Invariants: a parser either fills the whole struct or returns an error and leaves nothing
 * allocated; the text that a function returns depends only on its arguments.
 * Ownership: a function named *_text returns a message that the caller frees with free(). Memory
 * that a parser allocates is freed with the *_free function of the struct, or with free() if there
 * is no such function.
 * Units: durations are in seconds, sizes in GB (10^9 bytes), prices per hour. */
#ifndef TW_WIRE_H
#define TW_WIRE_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Buffer sizes of names, job ids and state service keys, including the terminating null. */
#define TW_WIRE_NAME_SIZE 64
#define TW_WIRE_ID_SIZE 32
#define TW_WIRE_KEY_SIZE 256
/* Maximum number of tasks of a job, and of machine types that a job can list. */
#define TW_WIRE_MAX_TASKS 100000
#define TW_WIRE_MAX_MACHINE_TYPES 32

/* Return values of the parsers. */
typedef enum {
    TW_WIRE_OK = 0,
    TW_WIRE_MALFORMED = -1 /* the text is not a valid message of the protocol */
} tw_wire_error;

/* Returns a description of the error for log lines, as a constant string. */
const char *tw_wire_strerror(tw_wire_error error);

/* ---- users: POST /v1/jobs, GET /v1/jobs/{id} ---- */

/* Priorities of jobs, from lowest to highest. */
typedef enum {
    TW_PRIORITY_IDLE,
    TW_PRIORITY_NORMAL,
    TW_PRIORITY_HIGH,
    TW_PRIORITY_PROD
} tw_wire_priority;

/* A job specification as submitted by a user. */
typedef struct {
    char id[TW_WIRE_ID_SIZE], job_class[TW_WIRE_NAME_SIZE], team[TW_WIRE_NAME_SIZE],
        image[TW_WIRE_NAME_SIZE];
    char zone[TW_WIRE_NAME_SIZE]; /* required zone; "": any zone */
    bool service, gang;           /* kind of job; if both are false, the job is a batch */
    tw_wire_priority priority;
    int task_count;
    double cores, gpus, memory_gb; /* resources of one task */
    double image_gb;
    int machine_type_count; /* -1: any machine type */
    char (*machine_types)[TW_WIRE_NAME_SIZE];
    bool single_zone; /* all tasks in one zone */
    bool spread;      /* at most half of the tasks in any one zone */
    bool spot;        /* tasks may run on spot machines */
    double expected_run_s;
    double checkpoint_s; /* interval between checkpoints; 0: the job writes no checkpoints */
    double save_s;       /* time that a stopped task needs to save its progress */
    double deadline_s;   /* deadline, counted from the submission; -1: none */
} tw_wire_job;

/* Returns whether the text is a valid job id: "run-" followed by digits. */
bool tw_wire_is_valid_job_id(const char *id, size_t len);
/* Parses a job submission. On an error, sets *reason to a constant string that describes the
 * problem, such as "bad dueS". The caller frees the job with tw_wire_job_free. */
tw_wire_error tw_wire_job_parse(tw_wire_job *job, const char *text, size_t len,
                                const char **reason);
void tw_wire_job_free(tw_wire_job *job);
/* Returns the job specification as JSON text, as it is stored in the job's record. */
char *tw_wire_job_text(const tw_wire_job *job);

/* State of a job, as reported to users. */
typedef enum {
    TW_JOB_UNKNOWN = -1, /* the job's record can't be read; never sent in a message */
    TW_JOB_PENDING,
    TW_JOB_RUNNING,
    TW_JOB_DONE,
    TW_JOB_CANCELLED
} tw_wire_job_state;
/* Returns the response to a user's query for a job. done, running: numbers of completed and of
 * running tasks; a negative number is omitted from the response. */
char *tw_wire_job_status_text(const char *id, tw_wire_job_state state, long done, long running);

/* ---- workers: heartbeats (POST /hello), commands (POST /orders) ---- */

/* State of a task on its machine, as reported by the worker. */
typedef enum {
    TW_TASK_FETCHING, /* the machine is fetching the task's image */
    TW_TASK_RUNNING,
    TW_TASK_SAVING, /* the task received a stop command and is saving its progress */
    TW_TASK_EXITED,
    TW_TASK_WAITING /* the image is present; the task waits for the other tasks of its gang */
} tw_wire_task_state;

/* Why a task exited, or why the worker rejected a command for it. */
typedef enum {
    TW_CAUSE_NONE,
    TW_CAUSE_DONE,
    TW_CAUSE_STOPPED,
    TW_CAUSE_ERROR,
    TW_CAUSE_NO_CAPACITY,
    TW_CAUSE_BUSY,
    TW_CAUSE_UNKNOWN_TASK,
    TW_CAUSE_GANG_BROKEN,     /* another task of the gang terminated */
    TW_CAUSE_GANG_INCOMPLETE, /* the tasks of the gang were not all ready in time */
    TW_CAUSE_OTHER
} tw_wire_exit_cause;

/* A task on a machine, identified by its job and its index within the job. */
typedef struct {
    char job[TW_WIRE_ID_SIZE];
    int index;
    tw_wire_task_state state;
    tw_wire_exit_cause cause; /* set if state is TW_TASK_EXITED */
    bool saved;               /* true if the task's progress was saved */
    uint64_t attempt;
} tw_wire_task;

/* A worker's heartbeat. Heartbeats of a worker are ordered by (incarnation, sequence). */
typedef struct {
    char worker[TW_WIRE_NAME_SIZE], endpoint[TW_WIRE_NAME_SIZE], machine_type[TW_WIRE_NAME_SIZE],
        zone[TW_WIRE_NAME_SIZE];
    bool spot;
    uint64_t incarnation, sequence;
    uint64_t fencing_token;     /* highest fencing token that the worker has received */
    double preemption_notice_s; /* time until the spot machine is preempted; -1: no notice */
    int task_count;
    tw_wire_task *tasks;
} tw_wire_heartbeat;

/* Parses a worker's heartbeat. The caller frees it with tw_wire_heartbeat_free. */
tw_wire_error tw_wire_heartbeat_parse(tw_wire_heartbeat *heartbeat, const char *text, size_t len);
void tw_wire_heartbeat_free(tw_wire_heartbeat *heartbeat);

/* A cache of parsed heartbeats, looked up by their texts: a heartbeat that differs from the
 * worker's previous one only in its sequence need not be parsed again. The cache owns its
 * heartbeats. */
typedef struct tw_wire_heartbeat_cache tw_wire_heartbeat_cache;
/* Creates a cache. max_long_bytes: memory limit for texts longer than 8 KiB and their heartbeats;
 * long heartbeats that would exceed it are not cached and are parsed each time. */
tw_wire_heartbeat_cache *tw_wire_heartbeat_cache_new(size_t max_long_bytes);
void tw_wire_heartbeat_cache_free(tw_wire_heartbeat_cache *cache);
/* Returns the heartbeat that tw_wire_heartbeat_parse would read from the text, or NULL if that
 * function would return an error. The heartbeat is valid until the next call on this cache. */
const tw_wire_heartbeat *tw_wire_heartbeat_cache_read(tw_wire_heartbeat_cache *cache,
                                                      const char *text, size_t len);
/* Evicts the heartbeats that were not read since the previous sweep. Unless this is called
 * regularly, the cache only grows. */
void tw_wire_heartbeat_cache_sweep(tw_wire_heartbeat_cache *cache);
/* Returns the number of cached heartbeats: one for each worker that sends heartbeats, and those of
 * workers that stopped sending them and have not been evicted yet. */
size_t tw_wire_heartbeat_cache_count(const tw_wire_heartbeat_cache *cache);

typedef enum { TW_COMMAND_LAUNCH, TW_COMMAND_STOP, TW_COMMAND_FORGET } tw_wire_command_kind;

/* A command to a worker, concerning one attempt to run a task. */
typedef struct {
    tw_wire_command_kind kind;
    int index;
    char job[TW_WIRE_ID_SIZE];
    uint64_t attempt;
    double grace_s; /* TW_COMMAND_STOP: grace period in which the task may save its progress */
} tw_wire_command;

/* Returns the body of a heartbeat response (incarnation 0), or of a direct command message to a
 * worker of the given incarnation (above 0). */
char *tw_wire_commands_text(uint64_t fencing_token, uint64_t incarnation,
                            const tw_wire_command *commands, size_t n);
/* Returns the body of a redirect (HTTP status 421). name: the node to which the worker should send
 * heartbeats instead; "" or NULL: the redirect names no node. */
char *tw_wire_redirect_text(const char *name);

/* ---- cloud: machine types (GET /flavors), rentals (GET and POST /rentals) ---- */

/* A machine type that the cloud offers. */
typedef struct {
    char name[TW_WIRE_NAME_SIZE];
    double cores, gpus, memory_gb;
    double cache_gb;   /* size of the image cache */
    double fetch_gb_s; /* rate at which images are fetched, in GB per second */
    double on_demand_price, spot_price;
    double startup_s;
    int zone_count;
    char zones[16][TW_WIRE_NAME_SIZE];
} tw_wire_machine_type;
/* Parses the list of machine types into an array of *n items, which the caller frees. */
tw_wire_error tw_wire_machine_types_parse(tw_wire_machine_type **types, int *n, const char *text,
                                          size_t len);

typedef enum { TW_RENTED_BOOTING, TW_RENTED_RUNNING, TW_RENTED_FAILED } tw_wire_rented_state;

/* A rented machine as listed by the cloud. */
typedef struct {
    char id[TW_WIRE_NAME_SIZE], endpoint[TW_WIRE_NAME_SIZE], machine_type[TW_WIRE_NAME_SIZE],
        zone[TW_WIRE_NAME_SIZE];
    bool spot;
    tw_wire_rented_state state;
    double rented_s; /* time since the machine was rented */
} tw_wire_rented_machine;
/* Parses a page of the list of rented machines into an array of *n items, which the caller frees.
 * *more: whether further machines follow after this page. */
tw_wire_error tw_wire_rented_machines_parse(tw_wire_rented_machine **machines, int *n, int *more,
                                            const char *text, size_t len);
/* Returns a rental request for n machines. name: unique name of the request; another request must
 * not use it again. */
char *tw_wire_rental_request_text(const char *name, const char *type, const char *zone, bool spot,
                                  int n);
/* Parses the machine names in the response to a rental request. The caller frees the array. */
tw_wire_error tw_wire_machine_names_parse(char (**names)[TW_WIRE_NAME_SIZE], int *n,
                                          const char *text, size_t len);
/* Returns a request to return the named machines. */
char *tw_wire_machine_names_text(char (*names)[TW_WIRE_NAME_SIZE], int n);

/* ---- state service, a key-value store: /kv, /txn, leases (/grants), watches (/follow) ---- */

/* A key of the state service with its value. */
typedef struct {
    char key[TW_WIRE_KEY_SIZE];
    uint64_t mod_revision; /* store revision of the key's last change */
    uint64_t lease_id;     /* lease to which the key is attached; 0: none */
    char *value;           /* JSON text */
} tw_wire_entry;
/* Parses a single entry. The caller frees entry->value. */
tw_wire_error tw_wire_entry_parse(tw_wire_entry *entry, const char *text, size_t len);
/* Parses a page of entries. *more: whether further keys follow after this page. The caller frees
 * the entries with tw_wire_entries_free. */
tw_wire_error tw_wire_entries_parse(tw_wire_entry **entries, int *n, int *more, const char *text,
                                    size_t len);
void tw_wire_entries_free(tw_wire_entry *entries, int n);
/* Parses the store revision at which the state service answered. */
tw_wire_error tw_wire_revision_parse(uint64_t *revision, const char *text, size_t len);
/* Returns whether a watch response contains any change, including removals of keys. */
bool tw_wire_watch_has_changes(const char *text, size_t len);
/* Parses the keys in a watch response that were written, without their values; removed keys are
 * skipped. The caller frees the entries with tw_wire_entries_free. */
tw_wire_error tw_wire_watch_keys_parse(tw_wire_entry **entries, int *n, const char *text,
                                       size_t len);
/* Parses a list of changes. list: name of the field that holds it, "log" in a watch response,
 * "apply" in a transaction. The value of a removed key is NULL; mod_revision is 0 if the list
 * contains no revisions. The caller frees the entries with tw_wire_entries_free. */
tw_wire_error tw_wire_changes_parse(const char *list, tw_wire_entry **entries, int *n,
                                    const char *text, size_t len);
/* Parses the id of a newly granted lease. */
tw_wire_error tw_wire_lease_id_parse(uint64_t *lease_id, const char *text, size_t len);
/* Parses the response to a failed transaction (HTTP status 409): the keys whose compares failed.
 * The caller frees the array. */
tw_wire_error tw_wire_failed_compares_parse(char (**keys)[TW_WIRE_KEY_SIZE], int *n,
                                            const char *text, size_t len);

/* A compare of a transaction: it holds if the key has this mod revision, or, if mod_revision is 0,
 * if the key does not exist. */
typedef struct {
    const char *key;
    uint64_t mod_revision;
} tw_wire_compare;
/* A write of a transaction: sets or removes a key. */
typedef struct {
    const char *key, *value; /* value NULL: remove the key */
    uint64_t lease_id;       /* lease to which the key is attached; 0: none */
} tw_wire_write;
/* Returns a transaction request: all writes are applied if all compares hold, otherwise none. */
char *tw_wire_txn_text(const tw_wire_compare *compares, size_t compare_count,
                       const tw_wire_write *writes, size_t write_count);

/* ---- records of jobs in the state service ---- */

/* Record formats: a WHOLE record is stored in a single value, a CHUNKED record in several values. A
 * node that can read a format can also read all earlier formats. */
enum { TW_RECORD_FORMAT_WHOLE = 1, TW_RECORD_FORMAT_CHUNKED };
/* Buffer size of a chunk set's name, including the terminating null. */
#define TW_WIRE_CHUNK_SET_SIZE 48

/* A task attempt that may be running, and the worker to which it was assigned. */
typedef struct {
    int index;
    uint64_t attempt;
    char worker[TW_WIRE_NAME_SIZE];
} tw_wire_assignment;

/* A job's record: the job as submitted, its state and its progress. A chunked record holds only the
 * state and the counts, and names the chunk set that contains the full text of the record. */
typedef struct {
    bool has_job;
    tw_wire_job job;         /* set if has_job is true */
    const char *job_text;    /* output of tw_wire_job_text, written in place of job; NULL: none */
    tw_wire_job_state state; /* TW_JOB_PENDING until the job ends, then DONE or CANCELLED */
    int task_count, done_count;
    double submitted_at; /* wall-clock time */
    uint64_t next_attempt;
    char *done_ranges; /* indexes of the completed tasks, such as "0-5,7"; NULL: none */
    int assignment_count;
    tw_wire_assignment *assignments;
    char chunk_set[TW_WIRE_CHUNK_SET_SIZE]; /* "": the record is not chunked */
    int chunk_count;
    int running_count; /* in a chunked record: number of tasks that may be running */
} tw_wire_record;
/* Parses a job's record. id: the job id in the record's key; a record that contains the
 * specification of another job is malformed. The caller frees the record with
 * tw_wire_record_free. */
tw_wire_error tw_wire_record_parse(tw_wire_record *record, const char *id, const char *text,
                                   size_t len);
void tw_wire_record_free(tw_wire_record *record);
char *tw_wire_record_text(const tw_wire_record *record);
/* Parses only the job state of a record. Returns TW_JOB_UNKNOWN if the record can't be read. */
tw_wire_job_state tw_wire_record_state(const char *text, size_t len);

/* A record within a page of entries of the state service. It is parsed directly from the page,
 * without an intermediate text for each record. */
typedef struct {
    char key[TW_WIRE_KEY_SIZE];
    uint64_t mod_revision;
    bool readable; /* if false, record is empty */
    tw_wire_record record;
} tw_wire_listed_record;
/* Parses a page of records. prefix: part of the keys before the job id. *more: whether further keys
 * follow after this page. A record that can't be read does not fail the page; its `readable` is
 * false. The caller frees the records with tw_wire_records_free. */
tw_wire_error tw_wire_records_parse(tw_wire_listed_record **records, int *n, int *more,
                                    const char *prefix, const char *text, size_t len);
void tw_wire_records_free(tw_wire_listed_record *records, int n);

/* Returns the value of a chunked record: its state and counts, and the name of the chunk set that
 * contains the full text of the record. */
char *tw_wire_chunked_record_text(const tw_wire_record *record);
/* Returns the beginning of a text as a chunk: a JSON string of at most max_bytes bytes, which never
 * ends in the middle of a UTF-8 character. *consumed: number of bytes of the text in the chunk. */
char *tw_wire_chunk_text(const char *text, size_t max_bytes, size_t *consumed);
/* Returns the text of a chunk, which the caller frees, or NULL if the value is not a chunk. */
char *tw_wire_chunk_parse(const char *json);

/* ---- peers ---- */

/* A peer heartbeat, and the response to one: the state of the node that sends it. */
typedef struct {
    char name[TW_WIRE_NAME_SIZE], leader[TW_WIRE_NAME_SIZE];
    /* Highest fencing token that the node has seen; it answers no worker under a lower token. */
    uint64_t highest_token;
    bool store_reachable; /* true if the node's calls to the state service succeed */
    bool is_leader;
    double uptime_s;
    /* Time since the node last answered a worker as a lease delegate; if it never has, time since
     * the node started. */
    double since_delegate_answer_s;
    int record_format; /* latest TW_RECORD_FORMAT_* that the node can read; default: WHOLE */
} tw_wire_peer_heartbeat;
tw_wire_error tw_wire_peer_heartbeat_parse(tw_wire_peer_heartbeat *heartbeat, const char *text,
                                           size_t len);
/* Returns a peer heartbeat. cancelled: ids of cancelled jobs that may still have running tasks,
 * sent by a leader. */
char *tw_wire_peer_heartbeat_text(const tw_wire_peer_heartbeat *heartbeat,
                                  const char *const *cancelled, int cancelled_count);
/* Parses the ids of the cancelled jobs in a peer heartbeat. The caller frees the array. */
tw_wire_error tw_wire_cancelled_jobs_parse(char (**ids)[TW_WIRE_ID_SIZE], int *n, const char *text,
                                           size_t len);

#endif
