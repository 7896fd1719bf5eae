/* The simulated environment of the controllers: models of the state service, the cloud, the workers
 * and the users' jobs, and the judge, which checks the rules of the protocol.
 *
 * Invariants:
 * - Requests and responses are passed as text. The world has no network and no clock: its caller
 *   sets `now` (seconds, never decreasing) and delivers the messages, so that the simulation, the
 *   end-to-end test and the soak test share it.
 * - The tw_simulator_world owns everything and frees it. Workers and jobs are never removed and
 *   keep their index and address; a machine that no longer exists is marked `removed`.
 * - Only the first violation is kept, in `rule` and `detail`, and separately the first one that
 *   occurred while `attributes_to_earlier_version` was set.
 * - All random numbers derive from `seed`, with one stream for each purpose. */
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
#define TW_SIMULATOR_MAX_REMOVALS 64 /* number of latest removals that are kept for watches */
#define TW_SIMULATOR_MAX_IMAGES 16
#define TW_SIMULATOR_NAME_SIZE 64
#define TW_SIMULATOR_KEY_SIZE 200
#define TW_SIMULATOR_TITLE_SIZE 160
#define TW_SIMULATOR_MESSAGE_SIZE 400

/* HTTP status codes. */
enum {
    TW_SIMULATOR_OK = 200,
    TW_SIMULATOR_CREATED = 201,
    TW_SIMULATOR_MALFORMED = 400,
    TW_SIMULATOR_NOT_FOUND = 404,
    TW_SIMULATOR_CONFLICT = 409,
    TW_SIMULATOR_REDIRECTED = 421,
    TW_SIMULATOR_UNPROCESSABLE = 422,
    TW_SIMULATOR_TOO_MANY_REQUESTS = 429,
    TW_SIMULATOR_SERVER_ERRORS = 500, /* lowest status of a server error */
    TW_SIMULATOR_UNAVAILABLE = 503
};

/* ---- state service ---- */

typedef struct {
    char *key, *value;
    uint64_t version, lease;
} tw_simulator_key;
typedef struct {
    char key[TW_SIMULATOR_KEY_SIZE];
    uint64_t revision;
} tw_simulator_removal;
typedef struct {
    uint64_t id;
    double ttl_s, expires_at;
} tw_simulator_lease;
typedef struct {
    double write_rps; /* puts and deletes per second */
    /* largest size of a value in KiB; largest number of puts and deletes in a transaction */
    double value_kb, txn_ops;
} tw_simulator_limits;
typedef struct {
    tw_simulator_key *keys; /* in ascending order of keys */
    size_t key_count, key_capacity;
    tw_simulator_removal removals[TW_SIMULATOR_MAX_REMOVALS];
    int removal_count;
    uint64_t revision, last_lease;
    tw_simulator_lease *leases;
    int lease_count, lease_capacity;
    double down_since; /* start of the current outage; < 0 if there is none */
    double write_tokens, write_tokens_at;
    tw_simulator_limits limits;           /* limits that are enforced now */
    tw_simulator_limits announced_limits; /* limits in the settings of the nodes */
    /* number of transactions that were refused because they exceeded a size limit */
    int too_large_count;
} tw_simulator_state;

/* ---- machines and jobs ---- */

/* States of an attempt of a gang; gang.c describes them. */
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
    double progress_s, advanced_at; /* run time that the job had reached at `advanced_at` */
    double slowdown;                /* slowdown factor of the gang's slowest machine */
    double first_stop_at;           /* when the first task received a stop command */
    /* Recomputed at each step: the number of tasks that wait, of tasks that run or save, and of
     * tasks that save, and the slowdown factor of the slowest machine. */
    int waiting_count, member_count, saving_count;
    double greatest_slowdown;
} tw_simulator_gang;

typedef struct {
    tw_wire_job spec;
    double run_s; /* actual run time of a task */
    int fails;    /* whether every task fails */
    /* reported_end: the final state that a user received (TW_JOB_*), 0 while there is none */
    int submitted, accepted, reported_end;
    /* whether a node of the earlier version may have confirmed the cancellation */
    bool cancelled_under_earlier_version;
    double first_submitted_at, accepted_at, begun_at, reported_end_at, reported_cancel_at,
        cancel_requested_at;
    uint8_t *done; /* whether each task is done, by task index */
    /* run time saved in the checkpoint of each task, by task index; NULL before the first
     * checkpoint */
    double *saved;
    int done_count;
    tw_simulator_gang *gangs; /* the attempts of a gang job */
    int gang_count, gang_capacity;
    double gang_saved_s;       /* run time of a gang job saved in its checkpoint */
    int gang_starts;           /* number of attempts in which all tasks of the gang started */
    int exits[TW_CAUSE_OTHER]; /* number of exited tasks, by cause */
    int started;
    int last_status;             /* status of the last response to a submission */
    int cancel_status;           /* status of the last response to a cancellation */
    double answered_at;          /* time of the last successful response about the job */
    int tasks_on_machines;       /* number of tasks on machines, counted by judge_live.c */
    int tasks_before_gang_start; /* number of those tasks whose gang has not started */
    /* since when the job could have been placed but was not; 0 if it can't be placed */
    double placeable_since;
    /* The latest attempt of each task that was launched under a fencing token up to the world's
     * `earlier_token`, by task index; NULL if there was none. */
    uint64_t *earlier_attempts;
    /* By task index: how many entries machines list, and the position of the latest one in its
     * machine's list. NULL before the first launch. Used for machines with long lists only. */
    uint16_t *listed_counts;
    int *positions;
    char launch_zone[TW_SIMULATOR_NAME_SIZE]; /* zone of the first launch */
    bool launched_in_several_zones;
    int index; /* index in the world's `jobs` */
    UT_hash_handle hh;
} tw_simulator_job;

typedef struct {
    char job_id[TW_WIRE_ID_SIZE];
    tw_simulator_job *job;          /* NULL if there is no job of that id */
    int index, stage, cause, saved; /* stage is TW_TASK_*, cause is TW_CAUSE_* */
    uint64_t attempt;
    double ready_at, started_at, end_at;
    double resumed_from_s; /* run time in the checkpoint from which the task started */
    double stopped_at_s; /* run time that the task had reached when it received the stop command */
    /* when the task detects that its gang is broken; 0 if it is not */
    double gang_failure_known_at;
    uint64_t launch_token; /* fencing token of the launch command */
    /* whether the task violated the rule ran_cancelled while only nodes of the earlier version had
     * been leader */
    bool ran_cancelled;
    bool is_accounted; /* whether its machine's sums contain its resources */
    bool is_repeated;  /* whether the machine had executed the same launch command before */
} tw_simulator_task;

/* A launch command that a machine has executed. */
typedef struct {
    const tw_simulator_job *job;
    int index;
    uint64_t attempt;
} tw_simulator_launch;

typedef struct {
    char id[TW_SIMULATOR_NAME_SIZE], type[TW_SIMULATOR_NAME_SIZE], zone[TW_SIMULATOR_NAME_SIZE],
        endpoint[TW_SIMULATOR_NAME_SIZE];
    int type_index;
    bool spot, up, removed;
    double rented_at, up_at;
    uint64_t incarnation, sequence, fencing_token;
    double lease_started_at; /* when the worker sent the last heartbeat that was answered */
    int node;                /* index of the node to which the worker sends its heartbeats */
    uint64_t in_flight; /* number of the heartbeat that awaits its answer; 0 if there is none */
    bool has_unreported_change; /* the next heartbeat reports a change */
    double next_heartbeat, last_heartbeat;
    double hung_until, slowdown, preempted_at;
    double unresponsive_until;  /* until then, answers to heartbeats and direct commands are lost */
    double messages_held_until; /* until then, these messages are held, and delivered afterwards */
    double refuses_commands_until; /* until then, connections for direct commands are refused */
    double heartbeats_lost_until;  /* until then, the worker's heartbeats are lost */
    bool faulty;                   /* whether every task fails */
    double delay_next_heartbeat_s; /* delay of the next heartbeat */
    tw_simulator_task *tasks;
    int task_count, task_capacity;
    /* tasks that have not exited, and the largest such number so far */
    int active_tasks, most_active_tasks;
    double used_cpus, used_gpus, used_memory; /* of the tasks that have not exited */
    /* launch commands that the machine executed under fencing tokens up to the world's
     * `earlier_token` */
    tw_simulator_launch *launches;
    int launch_count, launch_capacity;
    char images[TW_SIMULATOR_MAX_IMAGES][TW_SIMULATOR_NAME_SIZE];
    int image_count;
} tw_simulator_worker;

typedef struct {
    char name[TW_SIMULATOR_NAME_SIZE];
    double gpus_max, cpus_max;
} tw_simulator_team;

typedef struct {
    char request[TW_SIMULATOR_NAME_SIZE];
    char *answer;
} tw_simulator_rental;

/* Length from which a machine's list of tasks is long: what a search of the whole list would find
 * is then taken from counts. */
#define TW_SIMULATOR_LONG_TASK_LIST 1000

/* Streams of random numbers. */
enum {
    TW_SIMULATOR_DRAW_TRAVEL,
    TW_SIMULATOR_DRAW_WRITES,
    TW_SIMULATOR_DRAW_HEARTBEATS,
    TW_SIMULATOR_DRAW_COMMANDS,
    TW_SIMULATOR_DRAW_BOOT,
    TW_SIMULATOR_DRAW_CLOSE_POLLS,
    TW_SIMULATOR_DRAW_CANCELS,
    TW_SIMULATOR_DRAW_INVALID_REQUESTS,
    TW_SIMULATOR_DRAW_GANGS,
    TW_SIMULATOR_DRAW_REPEATS,
    TW_SIMULATOR_DRAW_FAILED_BOOTS,
    TW_SIMULATOR_DRAW_KINDS
};

typedef struct {
    double now;
    unsigned seed;
    /* one generator for each stream, created on first use */
    gsl_rng *draws[TW_SIMULATOR_DRAW_KINDS];
    double heartbeat_s, lease_s, cancel_s;
    double gang_wait_s, gang_peer_s; /* 0 derives the time from lease_s */
    double mem_mb;                   /* memory limit of a node; 0 keeps the one in its settings */
    int node_count;
    char nodes[TW_SIMULATOR_MAX_NODES][TW_SIMULATOR_NAME_SIZE],
        node_zone[TW_SIMULATOR_MAX_NODES][TW_SIMULATOR_NAME_SIZE];
    tw_simulator_team teams[TW_SIMULATOR_MAX_TEAMS];
    int team_count;
    tw_simulator_state state;
    /* cloud */
    tw_wire_machine_type types[TW_SIMULATOR_MAX_TYPES];
    int type_count, capacity[TW_SIMULATOR_MAX_TYPES];
    /* share of the machines rented before failing_until that never boot */
    double failing_share[TW_SIMULATOR_MAX_TYPES];
    double failing_until[TW_SIMULATOR_MAX_TYPES];
    /* zone of the boots that fail; "" for all zones */
    char failing_zone[TW_SIMULATOR_MAX_TYPES][TW_SIMULATOR_NAME_SIZE];
    int is_out_of_capacity; /* whether all rental requests are refused */
    double fast_boot_until; /* machines rented before that time boot within two seconds */
    int failing_boot_count; /* number of the next rented machines that never boot */
    double boot_s;
    tw_simulator_rental *rentals;
    int rental_count, rental_capacity;
    tw_simulator_worker **workers;
    int worker_count, worker_capacity;
    /* users */
    tw_simulator_job **jobs;
    int job_count, job_capacity;
    tw_simulator_job *jobs_by_id;
    /* called with `context` when the last task of a job completes; may be NULL */
    void (*job_ended)(void *context, tw_simulator_job *job);
    void *context;
    /* number of responses that contradicted a newer response but whose request was sent before the
     * user received the newer one */
    unsigned overlapping_answers;
    /* judge */
    double faults_end_at; /* end of all faults that have begun */
    double served_age_s;  /* age from which a job must be served at the end; 0 disables the check */
    /* the first violation, except those recorded in `earlier_version_violation` and
     * `inherited_violation` */
    char rule[32], detail[512];
    double violated_at;
    /* whether violations are recorded in `earlier_version_violation` */
    bool attributes_to_earlier_version;
    /* last fencing token under `attributes_to_earlier_version`; 0 if there was none */
    uint64_t earlier_token;
    double earlier_version_led_at; /* when a node of the earlier version was last leader */
    tw_simulator_violation earlier_version_violation, inherited_violation;
    unsigned inherited_violation_count;
} tw_simulator_world;

/* Return the number at the start of a text, or 0 if the text does not start with one. */
int tw_simulator_parse_int(const char *text);
double tw_simulator_parse_number(const char *text);
/* The allocating functions abort the program when memory is exhausted. The caller releases their
 * results with free(). */
char *tw_simulator_copy_text(const char *text);
void *tw_simulator_allocate(size_t size);
/* Ensures that an array of `count` items of `size` bytes has capacity for one more item. Returns
 * the array, which may have moved, and updates `capacity`. */
void *tw_simulator_grow(void *items, int count, int *capacity, size_t size);
const char *tw_simulator_json_text(const cJSON *object, const char *field);
double tw_simulator_json_number(const cJSON *object, const char *field);
/* Returns the object as text without white space, and deletes the object. */
char *tw_simulator_json_print(cJSON *object);

void tw_simulator_world_init(tw_simulator_world *world);
void tw_simulator_world_free(tw_simulator_world *world);

/* ---- draw.c: random numbers derived from `seed`; don't change it after the first draw ---- */

double tw_simulator_draw(tw_simulator_world *world, int kind, double from, double to);
int tw_simulator_draw_index(tw_simulator_world *world, int kind, int count); /* 0 .. count - 1 */
void tw_simulator_draws_free(tw_simulator_world *world);

/* ---- state service ---- */

void tw_simulator_state_init(tw_simulator_state *state);
void tw_simulator_state_free(tw_simulator_state *state);
/* Handles a request to the state service. Returns the HTTP status and sets *out to the body, which
 * the caller frees. */
int tw_simulator_state_request(tw_simulator_state *state, double now, const char *method,
                               const char *path, const char *body, char **out);
/* Deletes expired leases and their keys. */
void tw_simulator_state_expire(tw_simulator_state *state, double now);
/* Begins or ends an outage. The end of an outage renews all leases. */
void tw_simulator_state_outage(tw_simulator_state *state, double now, bool on);
/* Returns the mod revision of a key, also during an outage, or 0 if the key does not exist. */
uint64_t tw_simulator_state_version(const tw_simulator_state *state, const char *key);
/* Returns the value of a key, also during an outage, or NULL if the key does not exist. The state
 * owns the value. */
const char *tw_simulator_state_value(const tw_simulator_state *state, const char *key);

/* ---- cloud ---- */

/* Handles a request to the cloud. Returns the HTTP status and sets *out to the body, which the
 * caller frees. */
int tw_simulator_cloud_request(tw_simulator_world *world, const char *method, const char *path,
                               const char *body, char **out);
/* Adds a rented machine that is up after boot_s seconds. `type` is the index of its machine type.
 * The world owns the machine. */
tw_simulator_worker *tw_simulator_add_machine(tw_simulator_world *world, int type, const char *zone,
                                              int spot, double boot_s);
/* Returns the machine with that id, or NULL if there is none. */
tw_simulator_worker *tw_simulator_worker_by_id(const tw_simulator_world *world, const char *id);

/* ---- workers ---- */

/* Returns the text of the worker's next heartbeat and increments the worker's sequence. The caller
 * frees the text. */
char *tw_simulator_worker_next_heartbeat(const tw_simulator_world *world,
                                         tw_simulator_worker *worker);
/* Processes the answer to a heartbeat that the worker sent at `sent` in `incarnation`. */
void tw_simulator_worker_apply_answer(tw_simulator_world *world, tw_simulator_worker *worker,
                                      double sent, uint64_t incarnation, int status,
                                      const char *body);
/* Handles a direct request of a controller. Returns the HTTP status and sets *out to the body,
 * which the caller frees. */
int tw_simulator_worker_handle_request(tw_simulator_world *world, tw_simulator_worker *worker,
                                       const char *method, const char *path, const char *body,
                                       char **out);
/* Advances a worker to the world's `now`: completes its boot, advances its tasks and expires its
 * lease. */
void tw_simulator_worker_advance(tw_simulator_world *world, tw_simulator_worker *worker);
/* Returns whether the worker must send a heartbeat now. */
bool tw_simulator_worker_heartbeat_is_due(const tw_simulator_world *world,
                                          const tw_simulator_worker *worker);
/* Protocol names of the exit causes, indexed by TW_CAUSE_*. */
extern const char *const tw_simulator_causes[TW_CAUSE_OTHER];
/* Returns whether a task uses resources of its machine, that is, waits for its gang, runs or saves.
 */
bool tw_simulator_task_is_active(const tw_simulator_task *task);

/* Ends a task with a cause (TW_CAUSE_*). Heartbeats report the task as exited until a forget
 * command removes it. */
void tw_simulator_exit_task(tw_simulator_worker *worker, tw_simulator_task *task, int cause);
/* Records that a task of a job is complete, which is final. */
void tw_simulator_complete_task(tw_simulator_world *world, tw_simulator_job *job, int index);

/* ---- gang.c ---- */

/* Return how long a task waits for the other tasks of its gang, and how long it takes to detect
 * that its gang is broken. */
double tw_simulator_gang_wait_s(const tw_simulator_world *world);
double tw_simulator_gang_peer_s(const tw_simulator_world *world);
/* Handle events of one task of a gang: the image has been fetched, a stop command with a grace
 * period has arrived before the task exited, and time has passed. */
void tw_simulator_gang_image_fetched(tw_simulator_world *world, tw_simulator_worker *worker,
                                     tw_simulator_task *task);
void tw_simulator_gang_stop_task(tw_simulator_world *world, tw_simulator_worker *worker,
                                 tw_simulator_task *task, double grace_s);
void tw_simulator_gang_task_advance(tw_simulator_world *world, tw_simulator_worker *worker,
                                    tw_simulator_task *task);
/* Advances all gangs to the world's `now`. Call it before the workers are advanced. */
void tw_simulator_gangs_advance(tw_simulator_world *world);

/* ---- jobs ---- */

tw_simulator_job *tw_simulator_job_find(const tw_simulator_world *world, const char *id);
/* Adds a job that has not been submitted. The world owns the job. */
tw_simulator_job *tw_simulator_job_new(tw_simulator_world *world, const char *id);
int tw_simulator_job_tasks_running(const tw_simulator_world *world, const char *id);
/* Returns how many tasks of a job are in that stage (TW_TASK_*) on machines that still exist. */
int tw_simulator_job_tasks_in_stage(const tw_simulator_world *world, const char *id, int stage);

/* ---- judge ---- */

enum { TW_SIMULATOR_SUBMIT = 's', TW_SIMULATOR_POLL = 'p', TW_SIMULATOR_CANCEL = 'a' };
/* Records a violation of a rule of the protocol. Only the first violation is kept. */
void tw_simulator_report_violation(tw_simulator_world *world, const char *rule, const char *format,
                                   ...) __attribute__((format(printf, 3, 4)));
/* Records that a node's controller failed. The violation is attributed to the earlier version only
 * if the node has that version. */
void tw_simulator_judge_process_end(tw_simulator_world *world, bool of_earlier_version,
                                    const char *node, const char *failure);
/* Checks a response to a user's request that was sent at `sent`. A response contradicts an earlier
 * one only if its request was sent after the user received the earlier one; other contradictions
 * are counted in `overlapping_answers`. `job` is NULL if no job with that id was submitted. */
void tw_simulator_judge_answer(tw_simulator_world *world, tw_simulator_job *job, const char *id,
                               int kind, double sent, int status, const char *body);
/* Checks the status of a response to the submission of a job that fits no machine or is malformed.
 */
void tw_simulator_judge_invalid_job(tw_simulator_world *world, const char *id, int status);
/* Records that a machine launches a task on a command with that fencing token. */
void tw_simulator_judge_launch(const tw_simulator_world *world, tw_simulator_worker *worker,
                               tw_simulator_task *task, uint64_t fencing_token);
/* Checks the rules for a task whose image has been fetched and that starts now. */
void tw_simulator_judge_task_start(tw_simulator_world *world, const tw_simulator_worker *worker,
                                   const tw_simulator_task *task);
/* Checks that the job of a task that starts now is not cancelled. */
void tw_simulator_judge_cancelled_start(tw_simulator_world *world, const tw_simulator_task *task);
/* Reports a violation for each task that still runs although its job's cancellation is overdue.
 * Call it after each step of the workers. */
void tw_simulator_judge_cancelled_tasks(tw_simulator_world *world);

/* ---- judge_live.c: rules that must hold after the end of all faults ---- */

/* Checks that users get answers and that jobs make progress. Call it about once per simulated
 * second. */
void tw_simulator_judge_liveness(tw_simulator_world *world);
/* Checks at the end of a run that the jobs older than served_age_s are served. */
void tw_simulator_judge_served_jobs(tw_simulator_world *world);

#endif
