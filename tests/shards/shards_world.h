/* A simulated world for shares: controllers (a leader's and an owner's state machine each),
 * machines with guards, the state service's stand-in of simulator/, messages that take time, get
 * lost or come late. Everything random follows from one seed. Scenario commands:
 * tests/shards/README.md. */
#ifndef TW_SHARDS_WORLD_H
#define TW_SHARDS_WORLD_H
#include "router/router.h"
#include "shards/shards.h"
#include "shares_play.h"
#include "standby/standby.h"
#include "world.h"
#include <gsl/gsl_rng.h>
#include <stdbool.h>

#define USER_DEADLINE_S 10.0 /* of a user's request */
/* How long a message takes. */
#define FASTEST_S 0.001
#define SLOWEST_S 0.02
#define CALLS_IN_LEASE 3.0 /* a call that is not answered lasts so much of the lease */
enum { OK = 200, BAD = 400, ABSENT = 404, CONFLICT = 409 };
enum { MOST_NODES = 4, MOST_MACHINES = 5000, MOST_REQUESTS = 256, MOST_TRIGGERS = 32, TEXT = 256 };
enum { MOST_CUTS = 32 };
/* Ends of a link beside nodes, which are named by their index. */
enum { END_STATE = -1, END_MACHINES = -2 };

typedef enum {
    EVENT_COMMAND, /* text: a line of the scenario */
    EVENT_TICK,    /* node */
    EVENT_STATE,   /* a call of a leader arrives at the state service */
    EVENT_ANSWER,  /* its answer comes back */
    EVENT_TELL,    /* leader to owner */
    EVENT_REPORT,  /* owner to leader: drained, opened, sync */
    EVENT_OPEN,    /* owner to machine */
    EVENT_OPENED,  /* machine to owner */
    EVENT_WORK,    /* owner to machine: a request */
    EVENT_WORKED,  /* machine to owner: it ended, or was refused */
    EVENT_STOP,    /* owner to machine: end what runs under the epoch */
    EVENT_ARRIVAL, /* a request of the load comes to the share's owner */
    EVENT_REQUEST, /* a user's request comes to the share's owner, or is sent again */
    EVENT_REPLY,   /* its answer comes to the user */
    EVENT_FINISH,  /* a machine's request is complete */
    EVENT_CLIENT,  /* a client sends, or repeats, its request to the leader */
    EVENT_MACHINE, /* a machine registers with the leader, or is gone */
    /* where controllers elect their leader themselves (tests/standby) */
    EVENT_FOLLOW,   /* a standby asks the active one for what comes after its position */
    EVENT_FEED,     /* the answer */
    EVENT_ORDER,    /* leader to machine: check or start */
    EVENT_ORDERED,  /* the machine's answer */
    EVENT_REPORTED, /* owner to the leader it knows */
    EVENT_ASKED,    /* a client's request arrives at a controller */
    EVENT_PROMOTE   /* so does one for a promotion */
} event_kind;

typedef struct event {
    double at;
    uint64_t order;
    event_kind kind;
    int node, machine, number, attempt;
    uint64_t id, epoch, life; /* life: of the node that it is for; 0: any */
    tw_shards_notification tell;
    tw_shards_request_kind report;
    int flag, status;
    char *text;
    uint64_t term, floor;
    const char *method; /* STATE, of a controller that elects; text: the body */
    char *path;
    tw_standby_position position;
    tw_standby_message *feed;
    tw_standby_machine_status said;
    struct event *next;
} event;

typedef struct {
    char name[TW_SHARDS_NAME];
    tw_shards *leader;
    tw_shards_owner *owner;
    tw_router *route;
    uint64_t token; /* it leads by */
    uint64_t life;  /* 0: ended */
    double hung_until;
    tw_standby *standby;      /* NULL: leaders are named by the scenario */
    double rate, wall_step_s; /* of its clocks: steady, time of day */
} node;

/* No message passes between the two ends. */
typedef struct {
    int one, other;
    double until;
} cut;

typedef struct {
    char name[TW_SHARDS_NAME], share[TW_SHARDS_NAME], zone[TW_SHARDS_NAME];
    tw_shards_guard guard;
    bool alive, registered;
    bool accepted;         /* whoever registered it heard so, and does not ask again */
    uint64_t boot;         /* counts its starts */
    uint64_t life;         /* changes when what runs there is ended */
    uint64_t judged_epoch; /* the highest that it confirmed */
    uint64_t judged_term;  /* of the orders it took in this life */
    uint64_t recorded_epoch;
    tw_shards_state recorded_state;
    struct served *running; /* requests that run there */
    int nrunning;
} machine;

/* A request as a machine serves it. */
typedef struct served {
    int request, attempt, node;
    uint64_t life, epoch; /* life: of the node */
} served;

/* A user's request to a model, as the user sees it. */
typedef struct {
    int load;        /* which one it is of */
    int node;        /* that it was sent to last */
    uint64_t life;   /* of it; an answer of an earlier try is not heard */
    int answers;     /* final ones that were heard */
    int status;      /* of the last one */
    int completions; /* times that a machine completed it */
    double sent_at;
} user_request;

/* A client's request to the leader. */
typedef struct {
    tw_shards_request request;
    char (*named)[TW_SHARDS_NAME];
    int answered, answers;
    tw_shards_verdict verdict;
    tw_shards_progress progress;
    uint64_t revision;
    uint64_t attempt; /* only the last one's answer is heard */
    int follow;       /* goes on asking until the move is done */
    int server;       /* where controllers elect: whom it asks next */
    bool heard;       /* whether its last request was answered */
    double again_at;  /* not before */
    double done_at, asked_at, tried_at;
} client;

typedef struct {
    char share[TW_SHARDS_NAME];
    double rate, service_s, until;
    int owner, owner_known_at; /* as read after so many transactions, plus one */
} load;

/* Strikes once, when a transaction with this text is handled by the state service. */
typedef struct {
    char text[TW_SHARDS_NAME], command[TEXT];
    int used;
    double from;
} trigger;

/* Which machine and epoch was used by which controller. */
typedef struct {
    int machine, node;
    uint64_t epoch;
} use;

typedef struct {
    double now, end;
    uint64_t order, next_life, next_id;
    event *events;
    gsl_rng *rng;
    tw_simulator_state state;
    tw_shards_settings settings;
    node nodes[MOST_NODES];
    int nnodes, leading, electing; /* until the next leader begins, nobody's lease is renewed */
    machine *machines;
    int nmachines;
    client clients[MOST_REQUESTS];
    int nclients;
    load loads[MOST_NODES];
    int nloads;
    trigger triggers[MOST_TRIGGERS];
    int ntriggers;
    use *uses;
    int nuses, uses_room;
    double loss, late_share, late_s, slow_s;    /* of messages between nodes and machines */
    int lose_answers, drop_writes, late_writes; /* next transactions with the text below */
    char strike_text[TW_SHARDS_NAME];
    double late_write_s;
    int transactions, changes;
    double last_change_s; /* when a transaction of shares was last applied */
    user_request *requests;
    int nrequests, requests_room;
    int plant_drop, plant_double, plant_old; /* faults for the judge to find */
    double lease_s;                          /* above 0: controllers elect their leader */
    cut cuts[MOST_CUTS];
    int ncuts;
    uint64_t newest_term;                /* recorded */
    double undecided_since, longest_gap; /* how long no controller decided */
    int terms;                           /* recorded since the count */
    int plant_term, plant_fence, plant_check;
    int spoil_changes; /* of the feed, the next ones */
    /* what is printed by measurements, since the count */
    long state_calls, state_bytes; /* answered by the state service */
    long feed_messages, feed_bytes;
    double feed_cpu_s;      /* of the active controller's process, for the feed */
    double decided_after_s; /* of the last term, from its record to its first decision */
    double term_at;
    tw_shards_verdict promoted;
    int promotions;
    long refused, completed, moved, failed;
    char failure[TEXT];
} world;

/* world.c */
event *tw_world_event(world *world, double after, event_kind kind);
void tw_world_fail(world *world, const char *format, ...) __attribute__((format(printf, 2, 3)));
void tw_world_handle(world *world, event *event);
void tw_world_lead(world *world, int node);
void tw_world_lead_later(world *world, int node);
void tw_world_end_node(world *world, int node, double back_after_s);
void tw_world_start_node(world *world, int node);
double tw_world_draw(world *world, double from, double to);
/* Ends all that runs there; status: what its senders hear. */
void tw_world_end_running(world *world, int machine, int status);
client *tw_world_client(world *world, const tw_shards_request *request);
/* A message that takes its time; NULL: it is lost. */
event *tw_world_message(world *world, event_kind kind);
void tw_world_free_event(event *event);
/* A copy, "" for NULL. */
char *tw_world_text(const char *text);
void tw_world_effects(world *world, int node);
void tw_world_call_state(world *world, int node, event *call);
void tw_world_take_answer(world *world, const tw_shards_effect *effect);
void tw_world_tell_owner(world *world, int from, const tw_shards_notification *tell);
int tw_world_machine_index(const world *world, const char *name);
int tw_world_node_index(const world *world, const char *name);
/* A machine's verdict on an order, with the judge's own record and planted faults. Returns whether
 * it was taken. */
int tw_world_order(world *world, int machine, uint64_t term, tw_shards_guard_verdict verdict);
/* state_calls.c: calls to the state service and their answers */
void tw_world_handle_state(world *world, const event *call);
void tw_world_handle_answer(world *world, const event *answer);
/* machines.c */
void tw_world_handle_open(world *world, const event *order);
void tw_world_handle_work(world *world, const event *order);
void tw_world_handle_finish(world *world, const event *due);
void tw_world_handle_stop(world *world, const event *order);
/* gateways.c: a controller routes the requests of its shares; users */
void tw_world_refresh_replica(world *world, int at, const char *name);
void tw_world_route_effects(world *world, int at);
void tw_world_handle_worked(world *world, const event *answer);
void tw_world_handle_arrival(world *world, const event *due);
void tw_world_handle_request(world *world, const event *due);
void tw_world_handle_reply(world *world, const event *reply);
/* ../standby/elections.c: controllers that elect their leader and follow it */
void tw_elections_start(world *world, int node);
void tw_elections_end(world *world, int node);
void tw_elections_tick(world *world, int node);
void tw_elections_effects(world *world, int node);
void tw_elections_report(world *world, int from, tw_shards_owner_effect_kind kind,
                         const char *machine, uint64_t epoch);
void tw_elections_client(world *world, int number);
void tw_elections_refused(world *world, client *asked);
void tw_elections_machine(world *world, const tw_shards_request *request);
void tw_elections_handle(world *world, event *event);
int tw_elections_is_cut(const world *world, int one, int other);
/* A node's clocks. */
double tw_elections_now(const world *world, int node);
double tw_elections_wall(const world *world, int node);
/* script.c */
int tw_script_command(world *world, char *line);
/* judge.c */
void tw_judge_use(world *world, int node, int machine, uint64_t epoch);
void tw_judge_work(world *world, int node, int machine, uint64_t epoch);
void tw_judge_order(world *world, int machine, uint64_t term);
/* The node is about to decide: what it has must be what stands in the records. */
void tw_judge_view(world *world, int node);
void tw_judge_deciders(world *world);
void tw_judge_requests(world *world);
void tw_judge_unanswered(world *world, int request);
void tw_judge_records(world *world);
void tw_judge_end(world *world);
/* What stands in the state service, read by a node of the judge's own; free with tw_shards_free. */
tw_shards *tw_judge_read(world *world);

#endif
