/* What the parts of the made-up fleet share. Not for the cases. */
#ifndef TW_BENCH_FLEET_INT_H
#define TW_BENCH_FLEET_INT_H
#include "config/config.h"
#include "core/core.h"
#include "fleet.h"
#include <stdbool.h>
#include <uthash.h>

/* Answers of the services and the other nodes. */
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
    uint64_t sequence; /* of its last message */
    uint64_t fencing_token;
    tw_bench_task *tasks;
    int task_count;
    int task_capacity;
} tw_bench_worker;

/* A call of the node that waits for its answer. */
typedef struct tw_bench_pending {
    uint64_t call;
    unsigned kind; /* tw_bench_kind of its answer */
    double at;
    int status;
    char *body;
    struct tw_bench_pending *prev;
    struct tw_bench_pending *next;
} tw_bench_pending;

/* A submission without a final answer. */
typedef struct tw_bench_submission {
    uint64_t request;
    int job;
    double again_at; /* 0: it waits for its answer */
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
    int next_worker; /* machine whose heartbeat is due next */
    double next_peer_heartbeats;
    uint64_t requests;
    uint64_t revision;
    uint64_t fencing_token;
    tw_bench_pending *pending;
    tw_bench_submission *submissions;
    tw_bench_worker *workers;
    uint64_t heartbeat_request; /* request of the heartbeat on its way, and its machine */
    int heartbeat_worker;
    int submitted;
    int accepted;
    int records;
    bool all_read;
    int returned;
};

/* Zeroed room; ends the program where there is none. */
void *tw_bench_alloc(size_t size);

/* ---- records.c: jobs as the state service holds them ---- */

/* The number of the first job submitted later; all before it have records. */
int tw_bench_jobs_kept(const tw_bench_load *load);
void tw_bench_job_id(char *id, size_t size, int job);
void tw_bench_machine_name(char *name, size_t size, int machine);
/* The task that stands k-th on a machine at the start. */
void tw_bench_task_at(const tw_bench_load *load, int machine, int k, tw_bench_task *task);
/* A page of the records in key order, as asked for by the path. Free the text. */
char *tw_bench_records_page(const tw_bench_load *load, const char *path, int *records, int *more);
/* What a user sends. Free the text. */
char *tw_bench_submission_text(int job);

/* ---- services.c: what the node's calls are answered ---- */

/* Fills status, body and the time of the answer. */
void tw_bench_serve(tw_bench_fleet *fleet, const tw_effect *call, tw_bench_pending *answer);
/* What another node says of itself. Free the text. */
char *tw_bench_peer_text(const tw_bench_fleet *fleet, const char *name);

/* ---- workers.c ---- */

void tw_bench_workers_init(tw_bench_fleet *fleet);
void tw_bench_workers_free(tw_bench_fleet *fleet);
/* The next heartbeat of a machine. Free the text. */
char *tw_bench_worker_heartbeat(tw_bench_fleet *fleet, int machine);
/* Carries out commands: the body of a heartbeat's answer or of direct commands. */
void tw_bench_worker_execute(tw_bench_fleet *fleet, int machine, const char *body);

#endif
