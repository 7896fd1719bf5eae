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
#define TW_WIRE_NAME 64
#define TW_WIRE_ID 32
#define TW_WIRE_KEY 256
/* Most tasks of a job, and machine types that it may name. */
#define TW_WIRE_MAX_PIECES 100000
#define TW_WIRE_MAX_RACKS 32

/* ---- users: POST /v1/jobs, GET /v1/jobs/{id} ---- */

/* Priority, lowest first. */
enum { TW_RANK_IDLE, TW_RANK_NORMAL, TW_RANK_HIGH, TW_RANK_PROD };

/* A job as submitted. */
typedef struct {
    char id[TW_WIRE_ID], lane[TW_WIRE_NAME], crew[TW_WIRE_NAME], bundle[TW_WIRE_NAME];
    char yard[TW_WIRE_NAME]; /* "": any */
    int service, gang;       /* neither: a batch */
    int rank, pieces;
    double cores, gpus, memory_gb, image_gb;
    int nracks; /* -1: any */
    char (*racks)[TW_WIRE_NAME];
    int same_place, apart, loaner;
    double expect_s, snapshot_s, flush_s;
    double due_s; /* -1: none */
} tw_wire_job;

/* Whether a job's id has the form that the protocol gives it. */
int tw_wire_id_ok(const char *id, size_t len);
/* *why: what is wrong, in a few words (a constant). Free the job with tw_wire_job_free. */
int tw_wire_job_parse(tw_wire_job *j, const char *text, size_t len, const char **why);
void tw_wire_job_free(tw_wire_job *j);
/* The job as it stands in its record. */
char *tw_wire_job_text(const tw_wire_job *j);

/* State of a job, as users are told it. */
enum { TW_STAGE_PENDING, TW_STAGE_RUNNING, TW_STAGE_DONE, TW_STAGE_ABORTED };
/* {"id":..,"stage":..,"done":..,"running":..}; counts < 0 are left out. Free the result. */
char *tw_wire_stage_text(const char *id, int stage, long done, long running);

/* ---- workers: POST /hello, POST /orders ---- */

/* State of a task on its machine. */
enum {
    TW_PIECE_PULLING,
    TW_PIECE_RUNNING,
    TW_PIECE_FLUSHING,
    TW_PIECE_EXITED,
    TW_PIECE_WAITING /* has its image, waits for the others of its gang */
};
/* Why a task exited, or was refused. */
enum {
    TW_CAUSE_NONE,
    TW_CAUSE_DONE,
    TW_CAUSE_STOPPED,
    TW_CAUSE_ERROR,
    TW_CAUSE_NO_ROOM,
    TW_CAUSE_BUSY,
    TW_CAUSE_NO_SUCH,
    TW_CAUSE_PEERS, /* another task of its gang is gone */
    TW_CAUSE_ALONE, /* its gang was not complete in time */
    TW_CAUSE_OTHER
};

/* A task on a machine, by its job and number. */
typedef struct {
    char job[TW_WIRE_ID];
    int index, stage, cause, saved;
    uint64_t attempt;
} tw_wire_piece;

/* A worker's report. The one with the larger (shift, tick) is the newer one. */
typedef struct {
    char tray[TW_WIRE_NAME], endpoint[TW_WIRE_NAME], rack[TW_WIRE_NAME], yard[TW_WIRE_NAME];
    int loaner;
    uint64_t shift, tick, baton;
    double warning_s; /* -1: none */
    int npieces;
    tw_wire_piece *pieces;
} tw_wire_report;

int tw_wire_report_parse(tw_wire_report *r, const char *text, size_t len);
void tw_wire_report_free(tw_wire_report *r);

/* Reports that came before, so that one which says nothing new need not be parsed. */
typedef struct tw_wire_reports tw_wire_reports;
tw_wire_reports *tw_wire_reports_new(void);
void tw_wire_reports_free(tw_wire_reports *reports);
/* What tw_wire_report_parse would read, or NULL where that refuses. The set owns the report, which
 * is valid until the next call. */
const tw_wire_report *tw_wire_reports_read(tw_wire_reports *reports, const char *text, size_t len);
/* Lets go the reports that did not come since the last call. Without it the set only grows. */
void tw_wire_reports_sweep(tw_wire_reports *reports);
/* How many are kept: one a worker that reports, and those that stopped lately. */
size_t tw_wire_reports_count(const tw_wire_reports *reports);

/* A command to a worker. mercy_s: of a kill, the time a task gets to save. */
enum { TW_VERB_LAUNCH, TW_VERB_KILL, TW_VERB_FORGET };
typedef struct {
    int verb, index;
    char job[TW_WIRE_ID];
    uint64_t attempt;
    double mercy_s;
} tw_wire_order;

/* Body of a report's answer (shift 0) or of /orders (shift > 0). */
char *tw_wire_orders_text(uint64_t baton, uint64_t shift, const tw_wire_order *o, size_t n);
/* Body of a 421: the node to report to instead; "" or NULL: none. */
char *tw_wire_foreman_text(const char *name);

/* ---- cloud: GET /flavors, GET and POST /rentals ---- */

/* A machine type. Prices are per hour; fetch_gb_s is the rate at which images are fetched. */
typedef struct {
    char label[TW_WIRE_NAME];
    double cores, gpus, memory_gb, cache_gb, fetch_gb_s, hourly, low_price, startup_s;
    int nyards;
    char yards[16][TW_WIRE_NAME];
} tw_wire_flavor;
int tw_wire_flavors_parse(tw_wire_flavor **f, int *n, const char *text, size_t len);

/* A rented machine as the cloud lists it. */
typedef struct {
    char id[TW_WIRE_NAME], endpoint[TW_WIRE_NAME], rack[TW_WIRE_NAME], yard[TW_WIRE_NAME];
    int loaner, stage; /* 0 booting, 1 running, 2 failed */
    double held_s;
} tw_wire_tray;
/* *more: machines follow after the last one. */
int tw_wire_trays_parse(tw_wire_tray **t, int *n, int *more, const char *text, size_t len);
/* A request for n machines, under a name that is never used for another one. */
char *tw_wire_rent_text(const char *ask, const char *rack, const char *yard, int loaner, int n);
/* Names of machines: {"trays":[...]}, of a rental's answer and of a request to release. */
int tw_wire_names_parse(char (**names)[TW_WIRE_NAME], int *n, const char *text, size_t len);
char *tw_wire_names_text(char (*names)[TW_WIRE_NAME], int n);

/* ---- state service: /kv, /txn, /grants, /follow ---- */

/* A key with its value, the revision of its last change and its lease (0: none). */
typedef struct {
    char key[TW_WIRE_KEY];
    uint64_t stamp, hold;
    char *data; /* JSON text */
} tw_wire_entry;
int tw_wire_entry_parse(tw_wire_entry *e, const char *text, size_t len);
int tw_wire_entries_parse(tw_wire_entry **e, int *n, int *more, const char *text, size_t len);
void tw_wire_entries_free(tw_wire_entry *e, int n);
/* The revision that an answer is of. */
int tw_wire_ledger_parse(uint64_t *ledger, const char *text, size_t len);
/* Whether a watch shows any change, removals included. */
int tw_wire_log_any(const char *text, size_t len);
/* Keys written, of /follow's {"log":[...]} (data left out). Free with tw_wire_entries_free. */
int tw_wire_log_parse(tw_wire_entry **e, int *n, const char *text, size_t len);
/* Changes of /follow's {"log":[...]} or of a transaction's {"apply":[...]}; data NULL: removed;
 * stamp 0 where there is none. Free with tw_wire_entries_free. */
int tw_wire_changes_parse(const char *list, tw_wire_entry **e, int *n, const char *text,
                          size_t len);
/* The lease that was granted. */
int tw_wire_hold_parse(uint64_t *hold, const char *text, size_t len);
/* Keys whose conditions failed: a 409's {"failed":[...]}. */
int tw_wire_failed_parse(char (**keys)[TW_WIRE_KEY], int *n, const char *text, size_t len);

/* A condition: the key's revision; 0: it does not exist. */
typedef struct {
    const char *key;
    uint64_t stamp;
} tw_wire_cond;
typedef struct {
    const char *key, *data; /* data NULL: remove */
    uint64_t hold;          /* 0: none */
} tw_wire_write;
char *tw_wire_txn_text(const tw_wire_cond *c, size_t nc, const tw_wire_write *w, size_t nw);

/* Formats of records: a node that says the later one reads the earlier ones, too. */
enum { TW_RECORD_WHOLE = 1, TW_RECORD_DIVIDED };
/* Room for the name of a set of slices. */
#define TW_WIRE_SET 48
/* A task that may run, and its machine. */
typedef struct {
    int index;
    uint64_t attempt;
    char tray[TW_WIRE_NAME];
} tw_wire_live;
/* A job's record in the state service: the job as submitted and what became of it. */
typedef struct {
    int has_job;
    tw_wire_job job; /* when has_job */
    const char
        *job_text; /* when has_job, to be written instead of it: tw_wire_job_text of it; or NULL */
    int stage;     /* PENDING while unfinished, DONE or ABORTED */
    int pieces, ndone;
    double submitted; /* time of day */
    uint64_t next_try;
    char *done_ranges; /* "0-5,7" or NULL */
    int nlive;
    tw_wire_live *live;
    /* A divided record holds its stage and counts only; its whole text is in these slices. */
    char set[TW_WIRE_SET]; /* "": it isn't divided */
    int slices, set_live;  /* how many slices; of its tasks, those that may run */
} tw_wire_record;
/* id: the job that its key names. Free the record with tw_wire_record_free. */
int tw_wire_record_parse(tw_wire_record *r, const char *id, const char *text, size_t len);
/* A record within a list of the state service, read without a text of its own in between. */
typedef struct {
    char key[TW_WIRE_KEY];
    uint64_t stamp;
    int readable; /* else there is nothing in the record */
    tw_wire_record record;
} tw_wire_listed;
/* Records whose keys are prefix and the job's id. *more: keys follow after the last one. */
int tw_wire_records_parse(tw_wire_listed **records, int *n, int *more, const char *prefix,
                          const char *text, size_t len);
void tw_wire_records_free(tw_wire_listed *records, int n);
/* Only its state, TW_STAGE_*; -1: can't be read. */
int tw_wire_record_stage(const char *text, size_t len);
void tw_wire_record_free(tw_wire_record *r);
char *tw_wire_record_text(const tw_wire_record *r);
/* The record that names the slices of its text. */
char *tw_wire_divided_text(const tw_wire_record *r);
/* A slice of a text as a JSON value of at most `most` bytes, and in *taken the bytes of the text
 * that it holds. It ends between two characters. */
char *tw_wire_slice_text(const char *text, size_t most, size_t *taken);
/* What a slice holds; NULL: it is none. */
char *tw_wire_slice_parse(const char *json);

/* ---- peers ---- */

/* What a node says of itself, and what it answers to that. */
typedef struct {
    char name[TW_WIRE_NAME], leader[TW_WIRE_NAME];
    uint64_t token; /* highest token this node knows of; it answers no worker with a lower one */
    int state_ok;   /* its calls to the state service succeed */
    int leading;
    double up_s;       /* since it started */
    double deputy_s;   /* since it last answered a worker as a deputy, or started */
    int record_format; /* what it can read, TW_RECORD_*; 1 where nothing is said */
} tw_wire_ping;
int tw_wire_ping_parse(tw_wire_ping *p, const char *text, size_t len);
/* aborted: cancelled jobs that may still run, said by a leader. */
char *tw_wire_ping_text(const tw_wire_ping *p, const char *const *aborted, int naborted);
/* The cancelled jobs that a ping names. */
int tw_wire_aborted_parse(char (**ids)[TW_WIRE_ID], int *n, const char *text, size_t len);

#endif
