/* Discrete-event simulation of shards: controllers, each with the state machines of a leader and of
 * an owner; machines with guards; the simulated state service of simulator/; and messages that are
 * delayed or lost. All random draws derive from one seed. tests/shards/README.md lists the scenario
 * commands. */
#ifndef TW_SHARDS_WORLD_H
#define TW_SHARDS_WORLD_H
#include "router/router.h"
#include "shards/shards.h"
#include "shards_play.h"
#include "standby/standby.h"
#include "world.h"
#include <gsl/gsl_rng.h>
#include <stdbool.h>

#define USER_DEADLINE_S 10.0 /* deadline of a user request after it is sent */
/* Bounds of a message's delay. */
#define MESSAGE_DELAY_MIN_S 0.001
#define MESSAGE_DELAY_MAX_S 0.02
#define CALL_TIMEOUTS_PER_LEASE 3.0 /* lease duration divided by the time-out of a state call */
enum { HTTP_OK = 200, HTTP_BAD_REQUEST = 400, HTTP_NOT_FOUND = 404, HTTP_CONFLICT = 409 };
enum {
    TW_WORLD_MAX_NODES = 4,
    TW_WORLD_MAX_MACHINES = 5000,
    TW_WORLD_MAX_CLIENT_REQUESTS = 256,
    TW_WORLD_MAX_TRIGGERS = 32,
    TEXT_SIZE = 256
};
enum { TW_WORLD_MAX_CUTS = 32 };
/* Link endpoints that are not nodes; a node is identified by its index. */
enum { TW_WORLD_END_STATE = -1, TW_WORLD_END_MACHINES = -2 };

typedef enum {
    TW_WORLD_COMMAND,         /* runs the scenario command in text */
    TW_WORLD_TICK,            /* runs the periodic work of a node */
    TW_WORLD_STATE_CALL,      /* a controller's call arrives at the state service */
    TW_WORLD_STATE_RESPONSE,  /* the response arrives at the controller */
    TW_WORLD_NOTIFY,          /* the leader's notification arrives at an owner */
    TW_WORLD_OWNER_REPORT,    /* an owner's report (drained, opened, sync) arrives at the leader */
    TW_WORLD_OPEN,            /* an owner's order to open an epoch arrives at a machine */
    TW_WORLD_OPEN_CONFIRMED,  /* a machine's confirmation of an opened epoch arrives at the owner */
    TW_WORLD_DISPATCH,        /* a request sent by an owner arrives at a machine */
    TW_WORLD_DISPATCH_RESULT, /* the result or refusal of a request arrives at the owner */
    TW_WORLD_STOP, /* an owner's order to end the requests of an epoch arrives at a machine */
    TW_WORLD_LOAD_ARRIVAL,         /* a load creates its next user request */
    TW_WORLD_USER_REQUEST,         /* a user request is sent, or sent again, to the shard's owner */
    TW_WORLD_USER_RESPONSE,        /* the answer to a user request arrives at the user */
    TW_WORLD_REQUEST_FINISH,       /* a machine completes a request */
    TW_WORLD_CLIENT_RETRY,         /* a client sends or repeats its request to the leader */
    TW_WORLD_MACHINE_REGISTRATION, /* a machine sends its registration or removal to the leader */
    /* only in scenarios where the controllers elect their leader (tests/standby) */
    TW_WORLD_FEED_REQUEST,   /* a standby's request for later changes arrives at the active node */
    TW_WORLD_FEED_MESSAGE,   /* the active controller's message arrives at the standby */
    TW_WORLD_ORDER,          /* a leader's check or start order arrives at a machine */
    TW_WORLD_ORDER_RESPONSE, /* the machine's status arrives at the leader */
    TW_WORLD_ELECTED_LEADER_REPORT, /* an owner's report arrives at the controller it follows */
    TW_WORLD_CLIENT_REQUEST,        /* a client request arrives at a controller */
    TW_WORLD_PROMOTE                /* a client's request for a promotion arrives at a controller */
} tw_world_event_kind;

typedef struct tw_world_event {
    double at;
    uint64_t order;
    tw_world_event_kind kind;
    int node, machine, number, attempt;
    uint64_t id, epoch, incarnation; /* incarnation: of the recipient node; 0 matches any */
    tw_shards_notification notification;
    tw_shards_request_kind report;
    int flag, status;
    char *text;
    uint64_t term, minimum_epoch;
    const char *method; /* HTTP method of a STATE_CALL under elections; text is the body */
    char *path;
    tw_standby_position position;
    tw_standby_message *feed;
    tw_standby_machine_status machine_status;
    struct tw_world_event *next;
} tw_world_event;

typedef struct {
    char name[TW_SHARDS_NAME];
    tw_shards *leader;
    tw_shards_owner *owner;
    tw_router *router;
    uint64_t fencing_token; /* token of the term that the node leads; 0: it does not lead */
    uint64_t incarnation;   /* changes at each start; 0: the node is not running */
    double hung_until;
    tw_standby *standby;      /* NULL if the scenario names the leaders */
    double rate, wall_step_s; /* rate of both clocks; offset of the wall clock */
} tw_world_node;

/* A network partition between two endpoints. */
typedef struct {
    int one, other;
    double until;
} tw_world_cut;

typedef struct {
    char name[TW_SHARDS_NAME], shard[TW_SHARDS_NAME], zone[TW_SHARDS_NAME];
    tw_shards_guard guard;
    bool alive, registered;
    bool accepted;         /* the registration was acknowledged and is not repeated */
    uint64_t boot_id;      /* number of restarts */
    uint64_t incarnation;  /* changes when the running requests are ended */
    uint64_t judged_epoch; /* the highest epoch that the machine confirmed */
    uint64_t judged_term;  /* the highest term of the orders accepted since the last start */
    uint64_t recorded_epoch;
    tw_shards_state recorded_state;
    struct tw_world_running_request *running; /* array of running_count requests */
    int running_count;
} tw_world_machine;

/* An attempt of a user request that runs on a machine. */
typedef struct tw_world_running_request {
    int request, attempt, node;
    uint64_t incarnation, epoch; /* incarnation: of the node that sent it */
} tw_world_running_request;

/* A user request to a model, with the answers that the user received. */
typedef struct {
    int load;             /* index of the load that created it */
    int node;             /* node that the last attempt was sent to */
    uint64_t incarnation; /* of that node; answers to earlier attempts are ignored */
    int answers;          /* number of final answers received */
    int status;           /* status of the last final answer */
    int completions;      /* number of times that a machine completed it */
    double sent_at;
} tw_world_user_request;

/* A client request to the leader. */
typedef struct {
    tw_shards_request request;
    char (*machine_names)[TW_SHARDS_NAME];
    int answered, answers;
    tw_shards_verdict verdict;
    tw_shards_progress progress;
    uint64_t revision;
    uint64_t attempt;        /* answers to earlier attempts are ignored */
    int follow;              /* the client polls until the move is done */
    int server;              /* node of the next attempt, under elections */
    bool attempt_answered;   /* the last attempt was answered */
    double retry_not_before; /* earliest time of the next attempt */
    double done_at, requested_at, attempted_at;
} tw_world_client;

typedef struct {
    char shard[TW_SHARDS_NAME];
    double rate, service_s, until;
    int owner, owner_known_at; /* owner_known_at: 1 + the transaction count when owner was read */
} tw_world_load;

/* Runs command once, after the state service has applied a transaction that contains text. */
typedef struct {
    char text[TW_SHARDS_NAME], command[TEXT_SIZE];
    int used;
    double from;
} tw_world_trigger;

/* A node that has used an epoch of a machine. */
typedef struct {
    int machine, node;
    uint64_t epoch;
} tw_world_epoch_use;

typedef struct {
    double now, end;
    uint64_t order, next_incarnation, next_id;
    tw_world_event *events;
    gsl_rng *rng;
    tw_simulator_state state;
    tw_shards_settings settings;
    tw_world_node nodes[TW_WORLD_MAX_NODES];
    /* While election_pending is set, no lease is renewed; the next term clears it. */
    int node_count, leader_index, election_pending;
    tw_world_machine *machines;
    int machine_count;
    tw_world_client clients[TW_WORLD_MAX_CLIENT_REQUESTS];
    int client_count;
    tw_world_load loads[TW_WORLD_MAX_NODES];
    int load_count;
    tw_world_trigger triggers[TW_WORLD_MAX_TRIGGERS];
    int trigger_count;
    tw_world_epoch_use *uses;
    int use_count, use_capacity;
    /* Faults of messages between nodes and machines: the fractions of lost and of late ones, the
     * maximum delay of a late one, the additional delay of each. */
    double loss, late_fraction, late_s, slow_s;
    /* For each write fault, the number of next transactions containing fault_text that it affects.
     */
    int lose_answers, drop_writes, late_writes;
    char fault_text[TW_SHARDS_NAME];
    double late_write_s;
    int transactions, changes;
    double last_change_s; /* time at which a transaction was last applied */
    tw_world_user_request *requests;
    int request_count, request_capacity;
    int plant_drop, plant_double, plant_old; /* injected faults that the judge must detect */
    double lease_s; /* above 0: the controllers elect their leader with this lease */
    tw_world_cut cuts[TW_WORLD_MAX_CUTS];
    int cut_count;
    uint64_t newest_term;                   /* highest term recorded in the state service */
    double no_decider_since, longest_gap_s; /* longest time without a deciding controller */
    int terms;                              /* terms recorded since the last `count` command */
    int plant_term, plant_fence, plant_check;
    int spoiled_changes_left; /* number of next feed changes that lose a record */
    /* figures since the last `count` command, for `print` */
    long state_calls, state_bytes; /* calls answered by the state service, bytes of the answers */
    long feed_messages, feed_bytes;
    double feed_cpu_s;      /* CPU time of the active controller for building feed messages */
    double decided_after_s; /* from the record of the last term to its first decision */
    double term_at;
    tw_shards_verdict promotion_verdict;
    int promotions;
    long refused, completed, ended_early, failed;
    char failure[TEXT_SIZE];
} tw_world;

/* world.c */
tw_world_event *tw_world_add_event(tw_world *world, double after, tw_world_event_kind kind);
/* Records the failure of the scenario; only the first one is kept. */
void tw_world_fail(tw_world *world, const char *format, ...) __attribute__((format(printf, 2, 3)));
void tw_world_handle(tw_world *world, tw_world_event *event);
void tw_world_elect_leader(tw_world *world, int node);
void tw_world_schedule_election(tw_world *world, int node);
void tw_world_end_node(tw_world *world, int node, double back_after_s);
void tw_world_start_node(tw_world *world, int node);
double tw_world_draw_uniform(tw_world *world, double from, double to);
/* Ends all requests that run on the machine and sends status as their result; 0: the connections
 * break. */
void tw_world_end_running(tw_world *world, int machine, int status);
tw_world_client *tw_world_add_client(tw_world *world, const tw_shards_request *request);
/* Schedules a message with the simulated network delay. Returns its event, or NULL if the message
 * is lost. */
tw_world_event *tw_world_send_message(tw_world *world, tw_world_event_kind kind);
void tw_world_free_event(tw_world_event *event);
/* Returns a copy of the text that the caller frees; NULL is copied as "". */
char *tw_world_copy_text(const char *text);
void tw_world_apply_effects(tw_world *world, int node);
void tw_world_call_state(tw_world *world, int node, tw_world_event *call);
void tw_world_handle_client_answer(tw_world *world, const tw_shards_effect *effect);
void tw_world_notify_owner(tw_world *world, int from, const tw_shards_notification *notification);
int tw_world_machine_index(const tw_world *world, const char *name);
int tw_world_node_index(const tw_world *world, const char *name);
/* Checks the term of an order that the machine's guard has accepted, and records it. Returns 1 if
 * the guard's verdict accepts the order, else 0. */
int tw_world_accept_order(tw_world *world, int machine, uint64_t term,
                          tw_shards_guard_verdict verdict);
/* state_calls.c: calls to the state service and their answers */
void tw_world_handle_state_call(tw_world *world, const tw_world_event *call);
void tw_world_handle_state_response(tw_world *world, const tw_world_event *answer);
/* machines.c */
void tw_world_handle_open(tw_world *world, const tw_world_event *order);
void tw_world_handle_dispatch(tw_world *world, const tw_world_event *order);
void tw_world_handle_finish(tw_world *world, const tw_world_event *due);
void tw_world_handle_stop(tw_world *world, const tw_world_event *order);
/* gateways.c: user requests, and their routing by the owner of the shard */
void tw_world_refresh_replica(tw_world *world, int node_index, const char *name);
void tw_world_apply_router_effects(tw_world *world, int node_index);
void tw_world_handle_dispatch_result(tw_world *world, const tw_world_event *answer);
void tw_world_handle_arrival(tw_world *world, const tw_world_event *due);
void tw_world_handle_user_request(tw_world *world, const tw_world_event *due);
void tw_world_handle_user_response(tw_world *world, const tw_world_event *reply);
/* ../standby/elections.c: controllers that elect and follow their leader */
void tw_elections_start_node(tw_world *world, int node);
void tw_elections_end_node(tw_world *world, int node);
void tw_elections_tick(tw_world *world, int node);
void tw_elections_apply_effects(tw_world *world, int node);
void tw_elections_send_report(tw_world *world, int from, tw_shards_owner_effect_kind kind,
                              const char *machine, uint64_t epoch);
void tw_elections_send_client_request(tw_world *world, int number);
void tw_elections_redirect_client(tw_world *world, tw_world_client *client);
void tw_elections_register_machine(tw_world *world, const tw_shards_request *request);
void tw_elections_handle(tw_world *world, tw_world_event *event);
int tw_elections_is_cut(const tw_world *world, int one, int other);
/* Return the time of the node's steady clock and wall clock. */
double tw_elections_steady_clock(const tw_world *world, int node);
double tw_elections_wall_clock(const tw_world *world, int node);
/* script.c */
int tw_script_command(tw_world *world, char *line);
/* judge.c */
void tw_judge_epoch_use(tw_world *world, int node, int machine, uint64_t epoch);
void tw_judge_request_start(tw_world *world, int node, int machine, uint64_t epoch);
void tw_judge_order(tw_world *world, int machine, uint64_t term);
/* Checks that the view of a node that is about to decide equals the records. */
void tw_judge_view(tw_world *world, int node);
void tw_judge_deciders(tw_world *world);
void tw_judge_requests(tw_world *world);
void tw_judge_unanswered(tw_world *world, int request);
void tw_judge_records(tw_world *world);
void tw_judge_end(tw_world *world);
/* Reads the records of the state service, also during an outage. Returns a table to be freed with
 * tw_shards_free. */
tw_shards *tw_judge_read_records(tw_world *world);

#endif
