/* The world around the controllers: stand-ins for the state service, the cloud, the workers and the
 * users' jobs, and the judge of the protocol's rules.
 *
 * Invariants:
 * - Requests come and answers go as text; nothing here knows a network or keeps a clock. Whoever
 *   uses the world sets `now` (seconds, never decreasing) and carries the messages, so that the
 *   simulation, the end-to-end test and the soak share it.
 * - Everything is owned by the tw_simulator_world and freed with it. Workers and jobs are never
 *   removed and keep their index and address; a machine that is no more is `gone`.
 * - Only the first broken rule is kept, in `rule` and `detail`, and apart from it the first one
 *   that broke while `earlier_alone` was set.
 * - Random numbers come from `seed` alone, one stream for each kind of draw. */
#ifndef TW_SIMULATOR_WORLD_H
#define TW_SIMULATOR_WORLD_H
#include "simulator.h"
#include "wire/wire.h"
#include <cjson/cJSON.h>
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define TW_SIMULATOR_MAX_NODES 8
#define TW_SIMULATOR_MAX_TYPES 8
#define TW_SIMULATOR_MAX_TEAMS 8
#define TW_SIMULATOR_MAX_REMOVALS 64 /* removals that a watch can still see */
#define TW_SIMULATOR_MAX_IMAGES 16
#define TW_SIMULATOR_NAME 64
#define TW_SIMULATOR_KEY 200
#define TW_SIMULATOR_TITLE 160
#define TW_SIMULATOR_MESSAGE 400

/* HTTP status codes of answers. */
enum {
    TW_SIMULATOR_OK = 200,
    TW_SIMULATOR_CREATED = 201,
    TW_SIMULATOR_MALFORMED = 400,
    TW_SIMULATOR_UNKNOWN = 404,
    TW_SIMULATOR_CONFLICT = 409,
    TW_SIMULATOR_REDIRECTED = 421,
    TW_SIMULATOR_IMPOSSIBLE = 422,
    TW_SIMULATOR_TOO_MANY = 429,
    TW_SIMULATOR_FAILURES = 500, /* from here on */
    TW_SIMULATOR_UNAVAILABLE = 503
};

/* ---- state service ---- */

typedef struct {
    char *key, *value;
    uint64_t version, lease;
} tw_simulator_key;
typedef struct {
    char key[TW_SIMULATOR_KEY];
    uint64_t revision;
} tw_simulator_removal;
typedef struct {
    uint64_t id;
    double ttl, until;
} tw_simulator_lease;
typedef struct {
    double write_rps;         /* puts and deletes a second */
    double value_kb, txn_ops; /* largest value, in KiB; puts and deletes in a transaction */
} tw_simulator_limits;
typedef struct {
    tw_simulator_key *keys; /* in key order */
    size_t key_count, key_capacity;
    tw_simulator_removal removals[TW_SIMULATOR_MAX_REMOVALS];
    int removal_count;
    uint64_t revision, last_lease;
    tw_simulator_lease *leases;
    int lease_count, lease_capacity;
    double down_since; /* since when there is an outage; < 0: there is none */
    double write_tokens, write_at;
    tw_simulator_limits limits;           /* that hold now */
    tw_simulator_limits announced_limits; /* as the nodes' settings have them */
    int too_large_count;                  /* transactions refused for what they hold */
} tw_simulator_state;

/* ---- machines and jobs ---- */

/* An attempt of a gang; see gang.c. */
enum {
    TW_SIMULATOR_GANG_GATHERING,
    TW_SIMULATOR_GANG_RUNNING,
    TW_SIMULATOR_GANG_STOPPING,
    TW_SIMULATOR_GANG_SAVED,
    TW_SIMULATOR_GANG_BROKEN,
    TW_SIMULATOR_GANG_DONE
};
typedef struct {
    uint64_t attempt;
    int state;
    double progress_s, advanced_at; /* of the job, up to that moment */
    double slowdown;                /* of its slowest machine */
    double first_stop_at;           /* when the first task was told to save */
    /* Counted anew all the time: tasks that wait; that run or save; that save; and the slowest. */
    int waiting_count, member_count, saving_count;
    double greatest_slowdown;
} tw_simulator_gang;

typedef struct {
    tw_wire_job spec;
    double run_s;                       /* what a task really takes */
    int fails;                          /* every task fails */
    int submitted, accepted, told_over; /* told_over: TW_JOB_* */
    double first_try, accepted_at, begun_at, told_over_at, told_cancel_at, cancel_asked_at;
    uint8_t *done; /* by task */
    double *saved; /* run time in checkpoints, by task; NULL: none yet */
    int done_count;
    tw_simulator_gang *gangs; /* of a gang: its attempts */
    int gang_count, gang_capacity;
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
    /* The latest attempts that were launched under tokens up to `earlier_token`, by task; NULL:
     * none was. */
    uint64_t *earlier_attempts;
    int index; /* in world.jobs */
    UT_hash_handle hh;
} tw_simulator_job;

typedef struct {
    char job_id[TW_WIRE_ID_SIZE];
    tw_simulator_job *job;          /* NULL: no such job */
    int index, stage, cause, saved; /* TW_TASK_*, TW_CAUSE_* */
    uint64_t attempt;
    double ready_at, started_at, end_at;
    double from_s;         /* run time saved before it started */
    double stopped_at_s;   /* run time reached when it was told to stop */
    double peers_at;       /* > 0: finds out then that its gang is broken */
    uint64_t launch_token; /* the fencing token that it was launched under */
    bool ran_cancelled;    /* too long, and only the earlier version had led then */
    bool is_repeated;      /* the machine had carried out the same launch before */
} tw_simulator_task;

/* A launch that a machine has carried out. */
typedef struct {
    const tw_simulator_job *job;
    int index;
    uint64_t attempt;
} tw_simulator_launch;

typedef struct {
    char id[TW_SIMULATOR_NAME], type[TW_SIMULATOR_NAME], zone[TW_SIMULATOR_NAME],
        endpoint[TW_SIMULATOR_NAME];
    int type_index;
    bool spot, up, gone;
    double rented_at, up_at;
    uint64_t incarnation, sequence, fencing_token;
    double lease_from;  /* when the last answered heartbeat was sent */
    int node;           /* the controller that gets its heartbeats */
    uint64_t in_flight; /* number of the heartbeat that waits for its answer, 0: none */
    bool changed;
    double next_heartbeat, last_heartbeat;
    double hung_until, slowdown, preempted_at;
    double unresponsive_until;     /* answers and direct commands don't arrive */
    double refuses_until;          /* connections with direct commands are refused at once */
    double mute_until;             /* its heartbeats reach no controller */
    bool faulty;                   /* every task fails */
    double delay_next_heartbeat_s; /* the next heartbeat arrives that much later */
    tw_simulator_task *tasks;
    int task_count, task_capacity;
    tw_simulator_launch *launches; /* under tokens up to the world's `earlier_token` */
    int launch_count, launch_capacity;
    char images[TW_SIMULATOR_MAX_IMAGES][TW_SIMULATOR_NAME];
    int image_count;
} tw_simulator_worker;

typedef struct {
    char name[TW_SIMULATOR_NAME];
    double gpus_max, cpus_max;
} tw_simulator_team;

typedef struct {
    char request[TW_SIMULATOR_NAME];
    char *answer;
} tw_simulator_rental;

/* Streams of draws. */
enum {
    TW_SIMULATOR_DRAW_TRAVEL,
    TW_SIMULATOR_DRAW_WRITES,
    TW_SIMULATOR_DRAW_HEARTBEATS,
    TW_SIMULATOR_DRAW_COMMANDS,
    TW_SIMULATOR_DRAW_BOOT,
    TW_SIMULATOR_DRAW_LOOKS,
    TW_SIMULATOR_DRAW_CANCELS,
    TW_SIMULATOR_DRAW_ODD,
    TW_SIMULATOR_DRAW_GANGS,
    TW_SIMULATOR_DRAW_REPEATS,
    TW_SIMULATOR_DRAW_FAILED_BOOTS,
    TW_SIMULATOR_DRAW_KINDS
};

typedef struct {
    double now;
    unsigned seed;
    gsl_rng *draws[TW_SIMULATOR_DRAW_KINDS]; /* made when first used */
    double heartbeat_s, lease_s, cancel_s;
    double gang_wait_s, gang_peer_s; /* 0: in proportion to the lease */
    double mem_mb;                   /* memory of a node, 0: as in its settings */
    int node_count;
    char nodes[TW_SIMULATOR_MAX_NODES][TW_SIMULATOR_NAME],
        node_zone[TW_SIMULATOR_MAX_NODES][TW_SIMULATOR_NAME];
    tw_simulator_team teams[TW_SIMULATOR_MAX_TEAMS];
    int team_count;
    tw_simulator_state state;
    /* cloud */
    tw_wire_machine_type types[TW_SIMULATOR_MAX_TYPES];
    int type_count, capacity[TW_SIMULATOR_MAX_TYPES];
    double failing_share[TW_SIMULATOR_MAX_TYPES]; /* of the machines rented until then never boot */
    double failing_until[TW_SIMULATOR_MAX_TYPES];
    char failing_zone[TW_SIMULATOR_MAX_TYPES][TW_SIMULATOR_NAME]; /* "": in all zones */
    int refuses_rentals;                                          /* no capacity */
    double fast_until; /* machines rented until then are up within two seconds */
    int never_up;      /* that many of the next machines never boot */
    double boot_s;
    tw_simulator_rental *rentals;
    int rental_count, rental_capacity;
    tw_simulator_worker **workers;
    int worker_count, worker_capacity;
    /* users */
    tw_simulator_job **jobs;
    int job_count, job_capacity;
    tw_simulator_job *jobs_by_id;
    void (*job_ended)(void *context,
                      tw_simulator_job *job); /* its last task completed; may be NULL */
    void *context;
    unsigned crossings; /* older answers to requests sent before the newer answer was told */
    /* judge */
    double troubles_end; /* of those that have begun */
    double served_age_s; /* > 0: jobs older than that must be served at the end */
    /* the first broken rule, without those of the next two */
    char rule[32], detail[512];
    double broken_at;
    bool earlier_alone;     /* what breaks now is noted in `by_earlier` instead */
    uint64_t earlier_token; /* the last fencing token while so; 0: never was */
    double earlier_led_at;  /* when a node of the earlier version last led */
    tw_simulator_break by_earlier, aftermath;
    unsigned aftermath_count;
} tw_simulator_world;

/* The number at the start of a text; 0 if there is none. */
int tw_simulator_parse_int(const char *text);
double tw_simulator_parse_number(const char *text);
/* The functions that allocate end the program when there is no memory; free() what they return. */
char *tw_simulator_copy_text(const char *text);
void *tw_simulator_allocate(size_t size);
/* Makes room for one more item in an array of so many items of that size: returns the array, which
 * may have moved, and updates its capacity. */
void *tw_simulator_grow(void *items, int count, int *capacity, size_t size);
const char *tw_simulator_json_text(const cJSON *object, const char *field);
double tw_simulator_json_number(const cJSON *object, const char *field);
/* The object as text without spaces; deletes the object. */
char *tw_simulator_json_print(cJSON *object);

void tw_simulator_world_init(tw_simulator_world *world);
void tw_simulator_world_free(tw_simulator_world *world);

/* ---- draw.c: from the seed, which must not change after the first draw ---- */

double tw_simulator_draw(tw_simulator_world *world, int kind, double from, double to);
int tw_simulator_draw_index(tw_simulator_world *world, int kind, int count); /* 0 .. n - 1 */
void tw_simulator_draws_free(tw_simulator_world *world);

/* ---- state service: status, and the body in *out (free it) ---- */

void tw_simulator_state_init(tw_simulator_state *state);
void tw_simulator_state_free(tw_simulator_state *state);
int tw_simulator_state_request(tw_simulator_state *state, double now, const char *method,
                               const char *path, const char *body, char **out);
/* Ends the leases that have expired and removes their keys. */
void tw_simulator_state_expire(tw_simulator_state *state, double now);
/* Begins or ends an outage; leases start anew when it ends. */
void tw_simulator_state_outage(tw_simulator_state *state, double now, bool on);
/* The version of a key, which is the revision of its last change, also during an outage; 0: there
 * is no such key. */
uint64_t tw_simulator_state_version(const tw_simulator_state *state, const char *key);
/* The value of a key, also during an outage; NULL: there is no such key. Owned by the state. */
const char *tw_simulator_state_value(const tw_simulator_state *state, const char *key);

/* ---- cloud ---- */

int tw_simulator_cloud_request(tw_simulator_world *world, const char *method, const char *path,
                               const char *body, char **out);
/* Adds a machine that is up after boot_s seconds, as if it had been rented; type: index of its
 * machine type. Owned by the world. */
tw_simulator_worker *tw_simulator_add_machine(tw_simulator_world *world, int type, const char *zone,
                                              int spot, double boot_s);
/* NULL: there is no machine of that name. */
tw_simulator_worker *tw_simulator_worker_by_id(const tw_simulator_world *world, const char *id);

/* ---- workers ---- */

/* The worker's next heartbeat; counts its sequence up. Free the text. */
char *tw_simulator_worker_next_heartbeat(const tw_simulator_world *world,
                                         tw_simulator_worker *worker);
/* The worker takes the answer to a heartbeat that it sent at `sent` in that incarnation. */
void tw_simulator_worker_apply_answer(tw_simulator_world *world, tw_simulator_worker *worker,
                                      double sent, uint64_t incarnation, int status,
                                      const char *body);
/* A direct request of a controller. */
int tw_simulator_worker_handle_request(tw_simulator_world *world, tw_simulator_worker *worker,
                                       const char *method, const char *path, const char *body,
                                       char **out);
/* Brings a worker to the world's `now`: it boots, its tasks proceed, its lease may end. */
void tw_simulator_worker_advance(tw_simulator_world *world, tw_simulator_worker *worker);
/* Whether the worker sends a heartbeat now. */
bool tw_simulator_worker_heartbeat_is_due(const tw_simulator_world *world,
                                          const tw_simulator_worker *worker);
/* The names of the causes in the protocol, by TW_CAUSE_*. */
extern const char *const tw_simulator_causes[TW_CAUSE_OTHER];
/* Whether a task occupies its machine: it waits for its gang, runs or saves. */
bool tw_simulator_task_is_active(const tw_simulator_task *task);

/* A task ends with a cause (TW_CAUSE_*), and is reported as exited until it is forgotten. */
void tw_simulator_exit_task(tw_simulator_worker *worker, tw_simulator_task *task, int cause);
/* A task of a job is complete, for good. */
void tw_simulator_complete_task(tw_simulator_world *world, tw_simulator_job *job, int index);

/* ---- gang.c ---- */

/* Seconds that a task waits for the rest of its gang, and within which it finds out that the gang
 * is broken. */
double tw_simulator_gang_wait_s(const tw_simulator_world *world);
double tw_simulator_gang_peer_s(const tw_simulator_world *world);
/* What happens to one task of a gang: its image has been fetched; it is told to stop before it has
 * exited, with that grace period; time passes. */
void tw_simulator_gang_image_fetched(tw_simulator_world *world, tw_simulator_worker *worker,
                                     tw_simulator_task *task);
void tw_simulator_gang_stop_task(tw_simulator_world *world, tw_simulator_worker *worker,
                                 tw_simulator_task *task, double grace_s);
void tw_simulator_gang_task_advance(tw_simulator_world *world, tw_simulator_worker *worker,
                                    tw_simulator_task *task);
/* Brings all gangs to the world's `now`; call it before the workers are advanced. */
void tw_simulator_gangs_advance(tw_simulator_world *world);

/* ---- jobs ---- */

tw_simulator_job *tw_simulator_job_find(const tw_simulator_world *world, const char *id);
/* Adds a job that nobody has submitted yet. Owned by the world. */
tw_simulator_job *tw_simulator_job_new(tw_simulator_world *world, const char *id);
int tw_simulator_job_tasks_running(const tw_simulator_world *world, const char *id);
/* How many tasks of a job are in that stage (TW_TASK_*) on machines that are not gone. */
int tw_simulator_job_tasks_in_stage(const tw_simulator_world *world, const char *id, int stage);

/* ---- judge ---- */

enum { TW_SIMULATOR_SUBMIT = 's', TW_SIMULATOR_POLL = 'p', TW_SIMULATOR_CANCEL = 'a' };
/* Records that a rule of the protocol is broken; does nothing after the first one. */
void tw_simulator_report_violation(tw_simulator_world *world, const char *rule, const char *format,
                                   ...) __attribute__((format(printf, 3, 4)));
/* A node's process has ended by itself: never the earlier version's break if the node isn't of it.
 */
void tw_simulator_judge_process_end(tw_simulator_world *world, bool of_earlier_version,
                                    const char *node, const char *failure);
/* What a user was told in answer to a request sent at `sent`. An answer is older than another only
 * if its request was sent after the other answer was told; what merely crosses it is counted in
 * `crossings`. job NULL: nobody submitted it. */
void tw_simulator_judge_answer(tw_simulator_world *world, tw_simulator_job *job, const char *id,
                               int kind, double sent, int status, const char *body);
/* A user is told that status for a job that no machine can run, or whose text is malformed. */
void tw_simulator_judge_invalid_job(tw_simulator_world *world, const char *id, int status);
/* The machine launches the task, as it was told under that token. */
void tw_simulator_judge_launch(const tw_simulator_world *world, tw_simulator_worker *worker,
                               tw_simulator_task *task, uint64_t fencing_token);
/* A task has its image and starts. */
void tw_simulator_judge_task_start(tw_simulator_world *world, const tw_simulator_worker *worker,
                                   const tw_simulator_task *task);
/* Checks what must hold at any time. */
void tw_simulator_judge_cancelled_tasks(tw_simulator_world *world);

/* ---- judge_live.c: what must hold once all troubles are over ---- */

/* Call it about once a second. */
void tw_simulator_judge_liveness(tw_simulator_world *world);
/* At the end, if the scenario asks for it. */
void tw_simulator_judge_served_jobs(tw_simulator_world *world);

#endif
