/* A simulated world for shards: controllers (a leader's and an owner's state machine each),
 * machines with guards, the state service's stand-in of simulator/, messages that take time, get
 * lost or come late. Everything random follows from one seed. Scenario commands:
 * tests/shards/README.md. */
#ifndef TW_SHARDS_WORLD_H
#define TW_SHARDS_WORLD_H
#include "router/router.h"
#include "shards/shards.h"
#include "shards_play.h"
#include "standby/standby.h"
#include "world.h"
#include <gsl/gsl_rng.h>
#include <stdbool.h>

#define USER_DEADLINE_S 10.0 /* of a user's request */
/* How long a message takes. */
#define MESSAGE_DELAY_MIN_S 0.001
#define MESSAGE_DELAY_MAX_S 0.02
#define CALL_TIMEOUTS_PER_LEASE 3.0 /* a call that is not answered lasts so much of the lease */
enum { HTTP_OK = 200, HTTP_BAD_REQUEST = 400, HTTP_NOT_FOUND = 404, HTTP_CONFLICT = 409 };
enum {
    TW_WORLD_MAX_NODES = 4,
    TW_WORLD_MAX_MACHINES = 5000,
    TW_WORLD_MAX_CLIENT_REQUESTS = 256,
    TW_WORLD_MAX_TRIGGERS = 32,
    TEXT_SIZE = 256
};
enum { TW_WORLD_MAX_CUTS = 32 };
/* Ends of a link beside nodes, which are named by their index. */
enum { TW_WORLD_END_STATE = -1, TW_WORLD_END_MACHINES = -2 };

typedef enum {
    TW_WORLD_COMMAND,         /* text: a line of the scenario */
    TW_WORLD_TICK,            /* node */
    TW_WORLD_STATE_CALL,      /* a call of a leader arrives at the state service */
    TW_WORLD_STATE_RESPONSE,  /* its answer comes back */
    TW_WORLD_NOTIFY,          /* leader to owner */
    TW_WORLD_OWNER_REPORT,    /* owner to leader: drained, opened, sync */
    TW_WORLD_OPEN,            /* owner to machine */
    TW_WORLD_OPEN_CONFIRMED,  /* machine to owner */
    TW_WORLD_DISPATCH,        /* owner to machine: a request */
    TW_WORLD_DISPATCH_RESULT, /* machine to owner: it ended, or was refused */
    TW_WORLD_STOP,            /* owner to machine: end what runs under the epoch */
    TW_WORLD_LOAD_ARRIVAL,    /* a request of the load comes to the shard's owner */
    TW_WORLD_USER_REQUEST,    /* a user's request comes to the shard's owner, or is sent again */
    TW_WORLD_USER_RESPONSE,   /* its answer comes to the user */
    TW_WORLD_REQUEST_FINISH,  /* a machine's request is complete */
    TW_WORLD_CLIENT_RETRY,    /* a client sends, or repeats, its request to the leader */
    TW_WORLD_MACHINE_REGISTRATION, /* a machine registers with the leader, or is gone */
    /* where controllers elect their leader themselves (tests/standby) */
    TW_WORLD_FEED_REQUEST,   /* a standby asks the active one for what comes after its position */
    TW_WORLD_FEED_MESSAGE,   /* the answer */
    TW_WORLD_ORDER,          /* leader to machine: check or start */
    TW_WORLD_ORDER_RESPONSE, /* the machine's answer */
    TW_WORLD_ELECTED_LEADER_REPORT, /* owner to the leader it knows */
    TW_WORLD_CLIENT_REQUEST,        /* a client's request arrives at a controller */
    TW_WORLD_PROMOTE                /* so does one for a promotion */
} tw_world_event_kind;

typedef struct tw_world_event {
    double at;
    uint64_t order;
    tw_world_event_kind kind;
    int node, machine, number, attempt;
    uint64_t id, epoch, incarnation; /* life: of the node that it is for; 0: any */
    tw_shards_notification notification;
    tw_shards_request_kind report;
    int flag, status;
    char *text;
    uint64_t term, minimum_epoch;
    const char *method; /* STATE, of a controller that elects; text: the body */
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
    uint64_t fencing_token; /* it leads by */
    uint64_t incarnation;   /* 0: ended */
    double hung_until;
    tw_standby *standby;      /* NULL: leaders are named by the scenario */
    double rate, wall_step_s; /* of its clocks: steady, time of day */
} tw_world_node;

/* No message passes between the two ends. */
typedef struct {
    int one, other;
    double until;
} tw_world_cut;

typedef struct {
    char name[TW_SHARDS_NAME], shard[TW_SHARDS_NAME], zone[TW_SHARDS_NAME];
    tw_shards_guard guard;
    bool alive, registered;
    bool accepted;         /* whoever registered it heard so, and does not ask again */
    uint64_t boot_id;      /* counts its starts */
    uint64_t incarnation;  /* changes when what runs there is ended */
    uint64_t judged_epoch; /* the highest that it confirmed */
    uint64_t judged_term;  /* of the orders it took since this boot */
    uint64_t recorded_epoch;
    tw_shards_state recorded_state;
    struct tw_world_running_request *running; /* requests that run there */
    int running_count;
} tw_world_machine;

/* A request as a machine serves it. */
typedef struct tw_world_running_request {
    int request, attempt, node;
    uint64_t incarnation, epoch; /* life: of the node */
} tw_world_running_request;

/* A user's request to a model, as the user sees it. */
typedef struct {
    int load;             /* which one it is of */
    int node;             /* that it was sent to last */
    uint64_t incarnation; /* of it; an answer of an earlier try is not heard */
    int answers;          /* final ones that were heard */
    int status;           /* of the last one */
    int completions;      /* times that a machine completed it */
    double sent_at;
} tw_world_user_request;

/* A client's request to the leader. */
typedef struct {
    tw_shards_request request;
    char (*machine_names)[TW_SHARDS_NAME];
    int answered, answers;
    tw_shards_verdict verdict;
    tw_shards_progress progress;
    uint64_t revision;
    uint64_t attempt;        /* only the last one's answer is heard */
    int follow;              /* goes on asking until the move is done */
    int server;              /* where controllers elect: whom it asks next */
    bool attempt_answered;   /* whether its last request was answered */
    double retry_not_before; /* not before */
    double done_at, requested_at, attempted_at;
} tw_world_client;

typedef struct {
    char shard[TW_SHARDS_NAME];
    double rate, service_s, until;
    int owner, owner_known_at; /* as read after so many transactions, plus one */
} tw_world_load;

/* Strikes once, when a transaction with this text is handled by the state service. */
typedef struct {
    char text[TW_SHARDS_NAME], command[TEXT_SIZE];
    int used;
    double from;
} tw_world_trigger;

/* Which machine and epoch was used by which controller. */
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
    int node_count, leader_index,
        election_pending; /* until the next leader begins, nobody's lease is renewed */
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
    double loss, late_fraction, late_s, slow_s; /* of messages between nodes and machines */
    int lose_answers, drop_writes, late_writes; /* next transactions with the text below */
    char fault_text[TW_SHARDS_NAME];
    double late_write_s;
    int transactions, changes;
    double last_change_s; /* when a transaction of shards was last applied */
    tw_world_user_request *requests;
    int request_count, request_capacity;
    int plant_drop, plant_double, plant_old; /* faults for the judge to find */
    double lease_s;                          /* above 0: controllers elect their leader */
    tw_world_cut cuts[TW_WORLD_MAX_CUTS];
    int cut_count;
    uint64_t newest_term;                   /* recorded */
    double no_decider_since, longest_gap_s; /* how long no controller decided */
    int terms;                              /* recorded since the count */
    int plant_term, plant_fence, plant_check;
    int spoiled_changes_left; /* of the feed, the next ones */
    /* what is printed by measurements, since the count */
    long state_calls, state_bytes; /* answered by the state service */
    long feed_messages, feed_bytes;
    double feed_cpu_s;      /* of the active controller's process, for the feed */
    double decided_after_s; /* of the last term, from its record to its first decision */
    double term_at;
    tw_shards_verdict promotion_verdict;
    int promotions;
    long refused, completed, ended_early, failed;
    char failure[TEXT_SIZE];
} tw_world;

/* world.c */
tw_world_event *tw_world_add_event(tw_world *world, double after, tw_world_event_kind kind);
void tw_world_fail(tw_world *world, const char *format, ...) __attribute__((format(printf, 2, 3)));
void tw_world_handle(tw_world *world, tw_world_event *event);
void tw_world_elect_leader(tw_world *world, int node);
void tw_world_schedule_election(tw_world *world, int node);
void tw_world_end_node(tw_world *world, int node, double back_after_s);
void tw_world_start_node(tw_world *world, int node);
double tw_world_draw_uniform(tw_world *world, double from, double to);
/* Ends all that runs there; status: what its senders hear. */
void tw_world_end_running(tw_world *world, int machine, int status);
tw_world_client *tw_world_add_client(tw_world *world, const tw_shards_request *request);
/* A message that takes its time; NULL: it is lost. */
tw_world_event *tw_world_send_message(tw_world *world, tw_world_event_kind kind);
void tw_world_free_event(tw_world_event *event);
/* A copy, "" for NULL. */
char *tw_world_copy_text(const char *text);
void tw_world_apply_effects(tw_world *world, int node);
void tw_world_call_state(tw_world *world, int node, tw_world_event *call);
void tw_world_handle_client_answer(tw_world *world, const tw_shards_effect *effect);
void tw_world_notify_owner(tw_world *world, int from, const tw_shards_notification *notification);
int tw_world_machine_index(const tw_world *world, const char *name);
int tw_world_node_index(const tw_world *world, const char *name);
/* A machine's verdict on an order, with the judge's own record and planted faults. Returns whether
 * it was taken. */
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
/* gateways.c: a controller routes the requests of its shards; users */
void tw_world_refresh_replica(tw_world *world, int at, const char *name);
void tw_world_apply_router_effects(tw_world *world, int at);
void tw_world_handle_dispatch_result(tw_world *world, const tw_world_event *answer);
void tw_world_handle_arrival(tw_world *world, const tw_world_event *due);
void tw_world_handle_user_request(tw_world *world, const tw_world_event *due);
void tw_world_handle_user_response(tw_world *world, const tw_world_event *reply);
/* ../standby/elections.c: controllers that elect their leader and follow it */
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
/* A node's clocks. */
double tw_elections_steady_clock(const tw_world *world, int node);
double tw_elections_wall_clock(const tw_world *world, int node);
/* script.c */
int tw_script_command(tw_world *world, char *line);
/* judge.c */
void tw_judge_epoch_use(tw_world *world, int node, int machine, uint64_t epoch);
void tw_judge_request_start(tw_world *world, int node, int machine, uint64_t epoch);
void tw_judge_order(tw_world *world, int machine, uint64_t term);
/* The node is about to decide: what it has must be what stands in the records. */
void tw_judge_view(tw_world *world, int node);
void tw_judge_deciders(tw_world *world);
void tw_judge_requests(tw_world *world);
void tw_judge_unanswered(tw_world *world, int request);
void tw_judge_records(tw_world *world);
void tw_judge_end(tw_world *world);
/* What stands in the state service, read by a node of the judge's own; free with tw_shards_free. */
tw_shards *tw_judge_read_records(tw_world *world);

#endif
