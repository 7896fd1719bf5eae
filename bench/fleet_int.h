/* Definitions shared by the source files of the simulated fleet; the cases use fleet.h only. */
#ifndef TW_BENCH_FLEET_INT_H
#define TW_BENCH_FLEET_INT_H
#include "config/config.h"
#include "core/core.h"
#include "fleet.h"
#include <stdbool.h>
#include <uthash.h>

/* HTTP statuses of the stubs and of the node. */
enum {
    TW_BENCH_OK = 200,
    TW_BENCH_CREATED = 201,
    TW_BENCH_UNKNOWN = 404,
    TW_BENCH_UNAVAILABLE = 503
};

typedef struct {
    char job[TW_WIRE_ID_SIZE];
    int index;
    uint64_t attempt;
    bool done;
} tw_bench_task;

typedef struct {
    char zone;
    uint64_t sequence; /* sequence of its last heartbeat */
    uint64_t fencing_token;
    tw_bench_task *tasks;
    int task_count;
    int task_capacity;
} tw_bench_worker;

/* The response to a call of the node, delivered at due_at. */
typedef struct tw_bench_pending {
    uint64_t call;
    unsigned kind; /* tw_bench_input_kind of the response */
    double due_at;
    int status;
    char *body;
    struct tw_bench_pending *prev;
    struct tw_bench_pending *next;
} tw_bench_pending;

/* A submission that the node has not accepted yet. */
typedef struct tw_bench_submission {
    uint64_t request;
    int job;
    double resubmit_at; /* 0 while the node's response is outstanding */
    UT_hash_handle hh;
} tw_bench_submission;

struct tw_bench_fleet {
    tw_bench_load load;
    tw_config conf;
    tw_core *core;
    tw_bench_meter *meter;
    double now;
    double next_tick;
    double next_heartbeat;
    int next_worker; /* index of the machine whose heartbeat is due next */
    double next_peer_heartbeats;
    uint64_t requests;
    uint64_t revision;
    uint64_t fencing_token;
    tw_bench_pending *pending;
    tw_bench_submission *submissions;
    tw_bench_worker *workers;
    uint64_t heartbeat_request; /* request id of the last heartbeat */
    int heartbeat_worker;       /* index of the machine that sent it */
    int submitted;
    int accepted;
    int records;
    bool all_records_read;
    int returned;
};

/* Returns zeroed memory; aborts the program if none is available. */
void *tw_bench_alloc(size_t size);

/* ---- records.c: jobs and their records in the state service ---- */

/* Returns the number of jobs that have a record at the start; jobs submitted later are numbered
 * from there on. */
int tw_bench_recorded_jobs(const tw_bench_load *load);
void tw_bench_job_id(char *id, size_t size, int job);
void tw_bench_machine_name(char *name, size_t size, int machine);
/* Writes the k-th task that runs on a machine at the start. */
void tw_bench_initial_task(const tw_bench_load *load, int machine, int k, tw_bench_task *task);
/* Returns the page of records, in key order, that the path of a range read requests, with the
 * number of records on it and whether more follow. The caller frees the text. */
char *tw_bench_records_page(const tw_bench_load *load, const char *path, int *records, int *more);
/* Returns the body of a job's submission. The caller frees it. */
char *tw_bench_submission_text(int job);

/* ---- services.c: responses to the node's calls ---- */

/* Answers a call: sets kind, due_at, status and body of `answer`, which owns the body. */
void tw_bench_answer_call(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer);
/* Returns the peer heartbeat of the node `name`. The caller frees it. */
char *tw_bench_peer_text(const tw_bench_fleet *fleet, const char *name);

/* ---- workers.c: the simulated workers ---- */

void tw_bench_workers_init(tw_bench_fleet *fleet);
void tw_bench_workers_free(tw_bench_fleet *fleet);
/* Returns the next heartbeat of a machine, with a new sequence number. The caller frees it. */
char *tw_bench_worker_heartbeat(tw_bench_fleet *fleet, int machine);
/* Executes the commands in the body of a heartbeat's response or of a direct command request. */
void tw_bench_worker_execute(tw_bench_fleet *fleet, int machine, const char *body);

#endif
