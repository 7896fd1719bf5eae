/* Stand-ins for what is around the controllers: state service, cloud, workers; and the judge of
 * the protocol's rules. They answer requests as text and keep no time of their own, so that the
 * simulation and the end-to-end test over loopback share them. */
#ifndef TW_SIM_WORLD_H
#define TW_SIM_WORLD_H
#include "wire/wire.h"
#include <cjson/cJSON.h>
#include <gsl/gsl_rng.h>
#include <stdint.h>
#include <uthash.h>

#define TW_SIM_MAX_NODES 8
#define TW_SIM_MAX_TYPES 8
#define TW_SIM_MAX_TEAMS 8
#define TW_SIM_MAX_REMOVALS 64 /* removals that a watch can still see */
#define TW_SIM_MAX_IMAGES 16
#define TW_SIM_NAME 64
#define TW_SIM_KEY 200
#define TW_SIM_TITLE 160
#define TW_SIM_MESSAGE 400

/* What requests are answered. */
enum {
    TW_SIM_OK = 200,
    TW_SIM_CREATED = 201,
    TW_SIM_MALFORMED = 400,
    TW_SIM_UNKNOWN = 404,
    TW_SIM_CONFLICT = 409,
    TW_SIM_ELSEWHERE = 421,
    TW_SIM_IMPOSSIBLE = 422,
    TW_SIM_TOO_MANY = 429,
    TW_SIM_FAILURES = 500, /* from here on */
    TW_SIM_UNAVAILABLE = 503
};

/* ---- state service ---- */

typedef struct {
    char *key, *value;
    uint64_t version, lease;
} tw_sim_key;
typedef struct {
    char key[TW_SIM_KEY];
    uint64_t revision;
} tw_sim_removal;
typedef struct {
    uint64_t id;
    double ttl, until;
} tw_sim_lease;
typedef struct {
    double write_rps;         /* puts and deletes a second */
    double value_kb, txn_ops; /* largest value, in KiB; puts and deletes in a transaction */
} tw_sim_limits;
typedef struct {
    tw_sim_key *keys; /* in key order */
    size_t nkeys, keys_cap;
    tw_sim_removal removals[TW_SIM_MAX_REMOVALS];
    int nremovals;
    uint64_t revision, last_lease;
    tw_sim_lease *leases;
    int nleases, leases_cap;
    double down_since; /* < 0: up */
    double write_tokens, write_at;
    tw_sim_limits limits; /* that hold now */
    tw_sim_limits told;   /* as the nodes' settings have them */
    int too_large;        /* transactions refused for what they hold */
} tw_sim_state;

/* ---- machines and jobs ---- */

/* An attempt of a gang; see gang.c. */
enum {
    TW_SIM_GANG_GATHERING,
    TW_SIM_GANG_RUNNING,
    TW_SIM_GANG_STOPPING,
    TW_SIM_GANG_SAVED,
    TW_SIM_GANG_BROKEN,
    TW_SIM_GANG_DONE
};
typedef struct {
    uint64_t attempt;
    int state;
    double progress_s, advanced_at; /* of the job, up to that moment */
    double slow;                    /* of its slowest machine */
    double first_stop_at;           /* when the first task was told to save */
    /* Counted anew all the time: tasks that wait; that run or save; that save; and the slowest. */
    int nwaiting, nmembers, nsaving;
    double slowest;
} tw_sim_gang;

typedef struct {
    tw_wire_job spec;
    double run_s;                       /* what a task really takes */
    int fails;                          /* every task fails */
    int submitted, accepted, told_over; /* told_over: TW_JOB_* */
    double first_try, accepted_at, begun_at, told_over_at, told_cancel_at, cancel_asked_at;
    uint8_t *done; /* by task */
    double *saved; /* run time in checkpoints, by task; NULL: none yet */
    int ndone;
    tw_sim_gang *gangs; /* of a gang: its attempts */
    int ngangs, gangs_cap;
    double gang_saved_s;       /* run time in checkpoints */
    int gang_starts;           /* times that all tasks began together */
    int exits[TW_CAUSE_OTHER]; /* by cause */
    int started;
    int last_status;    /* of the last submission */
    int cancel_status;  /* of the last cancellation */
    double answered_at; /* the last question about it */
    int on_machine;     /* tasks on machines, counted by judge_live.c */
    int unstarted;      /* those of them whose gang has not begun */
    double waits_since; /* > 0: it could have run and doesn't */
    int index;          /* in world.jobs */
    UT_hash_handle hh;
} tw_sim_job;

typedef struct {
    char job_id[TW_WIRE_ID_SIZE];
    tw_sim_job *job;                /* NULL: no such job */
    int index, stage, cause, saved; /* TW_TASK_*, TW_CAUSE_* */
    uint64_t attempt;
    double ready_at, started_at, end_at;
    double from_s;       /* run time saved before it started */
    double stopped_at_s; /* run time reached when it was told to stop */
    double peers_at;     /* > 0: finds out then that its gang is broken */
} tw_sim_task;

typedef struct {
    char id[TW_SIM_NAME], type[TW_SIM_NAME], zone[TW_SIM_NAME], endpoint[TW_SIM_NAME];
    int spot, type_index, up, gone;
    double rented_at, up_at;
    uint64_t session, tick, token;
    double lease_from;  /* when the last answered report was sent */
    int node;           /* that it reports to */
    uint64_t in_flight; /* number of the report that waits for its answer, 0: none */
    int changed;
    double next_report, last_report;
    double hung_until, slow, warned_at;
    double deaf_until;  /* answers and direct commands don't arrive */
    double mute_until;  /* reports reach no controller */
    int faulty;         /* every task fails */
    double hold_next_s; /* the next report comes that much later */
    tw_sim_task *tasks;
    int ntasks, tasks_cap;
    char images[TW_SIM_MAX_IMAGES][TW_SIM_NAME];
    int nimages;
} tw_sim_worker;

typedef struct {
    char name[TW_SIM_NAME];
    double gpus_max, cpus_max;
} tw_sim_team;

typedef struct {
    char request[TW_SIM_NAME];
    char *answer;
} tw_sim_rental;

/* Streams of draws. */
enum {
    TW_SIM_DRAW_TRAVEL,
    TW_SIM_DRAW_WRITES,
    TW_SIM_DRAW_REPORTS,
    TW_SIM_DRAW_COMMANDS,
    TW_SIM_DRAW_BOOT,
    TW_SIM_DRAW_LOOKS,
    TW_SIM_DRAW_CANCELS,
    TW_SIM_DRAW_ODD,
    TW_SIM_DRAW_GANGS,
    TW_SIM_DRAW_REPEATS,
    TW_SIM_DRAWS
};

typedef struct {
    double now;
    unsigned seed;
    gsl_rng *draws[TW_SIM_DRAWS]; /* made when first used */
    double report_s, lease_s, cancel_s;
    double gang_wait_s, gang_peer_s; /* 0: in proportion to the lease */
    double mem_mb;                   /* memory of a node, 0: as in its settings */
    int nnodes;
    char nodes[TW_SIM_MAX_NODES][TW_SIM_NAME], node_zone[TW_SIM_MAX_NODES][TW_SIM_NAME];
    tw_sim_team teams[TW_SIM_MAX_TEAMS];
    int nteams;
    tw_sim_state state;
    /* cloud */
    tw_wire_machine_type types[TW_SIM_MAX_TYPES];
    int ntypes, capacity[TW_SIM_MAX_TYPES];
    int refuse;        /* no capacity */
    double fast_until; /* machines rented until then are up within two seconds */
    int never_up;      /* that many of the next machines never boot */
    double boot_s;
    tw_sim_rental *rentals;
    int nrentals, rentals_cap;
    tw_sim_worker **workers;
    int nworkers, workers_cap;
    /* users */
    tw_sim_job **jobs;
    int njobs, jobs_cap;
    tw_sim_job *jobs_by_id;
    void (*job_ended)(void *context, tw_sim_job *job); /* its last task completed; may be NULL */
    void *context;
    unsigned crossings; /* older answers to requests sent before the newer answer was told */
    /* judge */
    double troubles_end; /* of those that have begun */
    double served_age_s; /* > 0: jobs older than that must be served at the end */
    /* the first broken rule */
    char rule[32], detail[512];
} tw_sim_world;

/* The number at the start of a text; 0: there is none. */
int tw_sim_int(const char *text);
double tw_sim_number(const char *text);
/* Helpers: abort when memory is out. */
char *tw_sim_text(const char *text);
void *tw_sim_zeroed(size_t size);
/* Makes room for one more item in an array. */
void *tw_sim_grow(void *items, int n, int *cap, size_t size);
const char *tw_sim_json_text(const cJSON *object, const char *field);
double tw_sim_json_number(const cJSON *object, const char *field);
/* Prints and deletes. */
char *tw_sim_json_print(cJSON *object);

void tw_sim_world_init(tw_sim_world *w);
void tw_sim_world_free(tw_sim_world *w);

/* ---- draw.c: from the seed, which must not change after the first draw ---- */

double tw_sim_draw(tw_sim_world *w, int kind, double from, double to);
int tw_sim_draw_index(tw_sim_world *w, int kind, int n); /* 0 .. n - 1 */
void tw_sim_draws_free(tw_sim_world *w);

/* ---- state service: status, and the body in *out (free it) ---- */

void tw_sim_state_init(tw_sim_state *s);
void tw_sim_state_free(tw_sim_state *s);
int tw_sim_state_request(tw_sim_state *s, double now, const char *method, const char *path,
                         const char *body, char **out);
/* Ends the leases whose time is over. */
void tw_sim_state_expire(tw_sim_state *s, double now);
void tw_sim_state_outage(tw_sim_state *s, double now, int on);
/* The value of a key as it stands, also during an outage; NULL: there is none. */
/* The version of a key; 0: there is none. */
uint64_t tw_sim_state_version(const tw_sim_state *s, const char *key);
const char *tw_sim_state_value(const tw_sim_state *s, const char *key);

/* ---- cloud ---- */

int tw_sim_cloud_request(tw_sim_world *w, const char *method, const char *path, const char *body,
                         char **out);
tw_sim_worker *tw_sim_rent(tw_sim_world *w, int type, const char *zone, int spot, double boot_s);
tw_sim_worker *tw_sim_worker_by_id(const tw_sim_world *w, const char *id);

/* ---- workers ---- */

char *tw_sim_worker_report(const tw_sim_world *w, tw_sim_worker *x);
/* The answer to a report sent at `sent` in that session. */
void tw_sim_worker_answer(tw_sim_world *w, tw_sim_worker *x, double sent, uint64_t session,
                          int status, const char *body);
/* A direct request of a controller. */
int tw_sim_worker_request(tw_sim_world *w, tw_sim_worker *x, const char *method, const char *path,
                          const char *body, char **out);
/* Time passes: tasks go on, leases end. */
void tw_sim_worker_tick(tw_sim_world *w, tw_sim_worker *x);
/* Whether a report is due now. */
int tw_sim_worker_due(const tw_sim_world *w, const tw_sim_worker *x);
extern const char *const tw_sim_causes[TW_CAUSE_OTHER];
/* On its machine: waiting for its gang, running or saving. */
int tw_sim_task_active(const tw_sim_task *t);

void tw_sim_task_exit(tw_sim_worker *x, tw_sim_task *t, int cause);
void tw_sim_task_done(tw_sim_world *w, tw_sim_job *job, int index);

/* ---- gang.c ---- */

double tw_sim_gang_wait_s(const tw_sim_world *w);
double tw_sim_gang_peer_s(const tw_sim_world *w);
/* A task of a gang has its image; is told to stop (it hasn't exited); lives on. */
void tw_sim_gang_image_there(tw_sim_world *w, tw_sim_worker *x, tw_sim_task *t);
void tw_sim_gang_stop(tw_sim_world *w, tw_sim_worker *x, tw_sim_task *t, double grace_s);
void tw_sim_gang_task_tick(tw_sim_world *w, tw_sim_worker *x, tw_sim_task *t);
/* Time passes for all gangs; call it before the workers' turns. */
void tw_sim_gangs_tick(tw_sim_world *w);

/* ---- jobs ---- */

tw_sim_job *tw_sim_job_find(const tw_sim_world *w, const char *id);
/* A new one that nobody has submitted yet. */
tw_sim_job *tw_sim_job_new(tw_sim_world *w, const char *id);
int tw_sim_job_running(const tw_sim_world *w, const char *id);
/* How many of its tasks are in that state on their machines. */
int tw_sim_job_in(const tw_sim_world *w, const char *id, int stage);

/* ---- judge ---- */

enum { TW_SIM_SUBMIT = 's', TW_SIM_POLL = 'p', TW_SIM_CANCEL = 'a' };
/* A rule was broken; the first one counts. */
void tw_sim_break(tw_sim_world *w, const char *rule, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* What a user was told in answer to a request sent at `sent`. An answer is older than another only
 * if its request was sent after the other answer was told; what merely crosses it is counted in
 * `crossings`. job NULL: nobody submitted it. */
void tw_sim_judge_told(tw_sim_world *w, tw_sim_job *job, const char *id, int kind, double sent,
                       int status, const char *body);
/* What is told of a job that can't be taken. */
void tw_sim_judge_bad(tw_sim_world *w, const char *id, int status);
/* A task has its image and starts. */
void tw_sim_judge_start(tw_sim_world *w, const tw_sim_worker *x, const tw_sim_task *t);
/* What must hold at any time. */
void tw_sim_judge_now(tw_sim_world *w);

/* ---- judge_live.c: what must hold once all troubles are over ---- */

/* Call it about once a second. */
void tw_sim_judge_live(tw_sim_world *w);
/* At the end, if the scenario asks for it. */
void tw_sim_judge_served(tw_sim_world *w);

#endif
