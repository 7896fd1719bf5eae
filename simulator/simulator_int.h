/* The parts of a simulation: events, network, nodes, workers, users and the scenario language.
 * Internal to simulator/.
 *
 * Invariants:
 * - Time passes from event to event only; events of one moment happen in the order in which they
 *   were scheduled, so that equal lines give equal runs.
 * - A node that ends gets another generation: what was on its way to or from an earlier generation
 *   is dropped.
 * - Every message that users and workers get goes into the digest.
 * - A text that a function takes as an event's or effect's body is freed by it. */
#ifndef TW_SIMULATOR_INT_H
#define TW_SIMULATOR_INT_H
#include "controller.h"
#include "simulator.h"
#include "world.h"
#include <stdbool.h>

#define TW_SIMULATOR_LATENCY 0.002
#define TW_SIMULATOR_MAX_WORDS 64
#define TW_SIMULATOR_POLL_S 5.0
/* How long messages are held up. */
#define TW_SIMULATOR_HELD_LEAST_S 2.0
#define TW_SIMULATOR_WRITE_HELD_MOST_S 12.0
#define TW_SIMULATOR_COMMAND_HELD_MOST_S 16.0
#define TW_SIMULATOR_HEARTBEAT_HELD_MOST_LEASES 2.5

/* Something that happens at a time. What the fields hold is up to `act`. */
typedef struct tw_simulator_event {
    double at;
    uint64_t sequence; /* events of one moment happen in the order of their coming */
    bool queued;
    void (*act)(tw_simulator *sim, struct tw_simulator_event *event);
    int node, generation; /* of the node that called */
    int target;           /* node, machine or job */
    int kind, status;
    double time;
    uint64_t id, incarnation;
    const char *method;
    char *path, *body;
} tw_simulator_event;

typedef struct {
    tw_simulator_controller *controller;
    int generation;
    bool alive;
    bool earlier_version;           /* starts with the earlier version */
    double no_state_until;          /* the state service gives 503 to this node only */
    double no_workers_until;        /* messages from and to workers get lost for it */
    double alone_until;             /* state service and peers hang for it */
    double old_format_until;        /* its heartbeats do not say which record format it reads */
    double cut_state_until;         /* the state service alone can't be reached */
    bool cut_state_refuses;         /* connections are refused; otherwise they hang */
    double still_from, still_until; /* stands still while its clocks run on */
    double sends_late_until;        /* what it decides leaves only then, while its clocks run on */
    tw_effect *delayed_effects, **last_delayed_effect;
} tw_simulator_node;

enum {
    TW_SIMULATOR_CONNECTION_HEARTBEAT,
    TW_SIMULATOR_CONNECTION_USER,
    TW_SIMULATOR_CONNECTION_PEER,
    TW_SIMULATOR_CONNECTION_RAW
};
/* A request that a node has got and not answered yet. */
typedef struct {
    uint64_t id;
    int kind, node;
    int target; /* machine or job; -1: a job that nobody submitted, see `what` */
    int user_kind;
    bool tried_once;               /* not repeated when it fails */
    bool arrived, replied;         /* a user's request: at the node; answered by it */
    int source, source_generation; /* a peer's */
    int wanted;                    /* raw and odd requests: the status it must get */
    double sent;
    uint64_t incarnation, call;
    char what[TW_SIMULATOR_TITLE];
    UT_hash_handle hh;
} tw_simulator_connection;

/* A trouble strikes a share of messages until some time. */
typedef struct {
    double share, until;
} tw_simulator_message_share;

/* A copy of a heartbeat, held until a new leader or a later one has begun. */
typedef struct {
    int machine;
    int leaders_until_delivery; /* that begin until it arrives */
    uint64_t incarnation;
    double sent;
    char *body;
} tw_simulator_held_heartbeat;

/* Troubles and habits whose strokes are counted, by the names of their commands. */
enum {
    TW_SIMULATOR_LATE_WRITES,
    TW_SIMULATOR_LOST_WRITES,
    TW_SIMULATOR_LATE_HEARTBEATS,
    TW_SIMULATOR_MUTE,
    TW_SIMULATOR_UNRESPONSIVE,
    TW_SIMULATOR_LATE_COMMANDS,
    TW_SIMULATOR_CUT_STATE,
    TW_SIMULATOR_SLOW_NODE,
    TW_SIMULATOR_LATE_SENDS,
    TW_SIMULATOR_REPEATED_COMMANDS,
    TW_SIMULATOR_CLOSE_LOOKS,
    TW_SIMULATOR_CANCEL_AT_END,
    TW_SIMULATOR_CANCEL_NOW,
    TW_SIMULATOR_ODD_REQUESTS,
    TW_SIMULATOR_TROUBLE_KINDS
};

/* Troubles that are on. */
typedef struct {
    tw_simulator_message_share late_writes, lost_writes, late_heartbeats, late_commands,
        repeated_commands;
    int late_heartbeat_leaders; /* the copies are kept for that many leaders; 0: they aren't */
    tw_simulator_held_heartbeat *held_heartbeats;
    int held_heartbeat_count, held_heartbeat_capacity;
    uint64_t leader_version; /* of the leader's key, when last looked at */
    double close_looks_until, odd_requests_until;
    tw_simulator_message_share cancel_at_end;
    int lose_txns;        /* so many answers of transactions */
    double late_txn_s;    /* the next transaction is applied that late */
    int late_commands_to; /* the next direct command to this machine; -1: none */
    double late_commands_s;
    int copy_heartbeat_of; /* the next heartbeat of this machine arrives again; -1: none */
    double copy_heartbeat_s;
    char cut_from[TW_SIMULATOR_NAME], cut_to[TW_SIMULATOR_NAME];
    bool cut_holds; /* messages are delivered at its end */
    double cut_until;
    char island[TW_SIMULATOR_NAME]; /* zone cut off from everything, also from what belongs to no
                                       zone */
    double island_until;
    double refuse_peers_until;
    double slow_state_until, slow_state_s;
    double no_cloud_until; /* the cloud answers 503 */
} tw_simulator_troubles;

struct tw_simulator {
    char name[TW_SIMULATOR_TITLE];
    bool quiet, trace;
    const char *earlier_program; /* program of the earlier version (tw_core_server), or NULL */
    const char *target_program;  /* the same of the version upgraded to; NULL: this version */
    bool needs_earlier;          /* a line asks for a node of the earlier version */
    tw_simulator_world world;
    tw_simulator_node nodes[TW_SIMULATOR_MAX_NODES];
    tw_simulator_troubles trouble;
    double rps, request_tokens, requests_at; /* the state service's limit of requests */
    char *objectives, *teams;                /* settings text */
    char *next_limits;                       /* the same, of the state service's limits to come */
    double end_s;
    tw_simulator_event **events;
    size_t event_count, event_capacity;
    uint64_t last_sequence, last_connection, last_heartbeat;
    tw_simulator_connection *connections;
    int next_node;               /* the load balancer's */
    uint64_t leader_key_version; /* of the leader's key when it was last looked at; 0: never set */
    bool new_version_led;        /* some leader so far was of this version */
    bool earlier_version_leads;  /* the last one is not */
    bool to_end;                 /* see tw_simulator_judge_to_end */
    int failed;
    char failed_after[TW_SIMULATOR_MESSAGE]; /* the first line that did not hold after a break by
                                                the earlier version, and not under it alone */
    uint64_t digest;
    unsigned strike_counts[TW_SIMULATOR_TROUBLE_KINDS];
    int next_odd; /* number of the next job that can't be taken */
};

/* A line of the scenario language, in words. */
typedef struct {
    char *words[TW_SIMULATOR_MAX_WORDS];
    int count;
    const char *line; /* all of it */
} tw_simulator_words;

/* ---- simulator.c: failures and digest ---- */
/* Counts a line that does not hold, and prints it unless the simulation is quiet. */
void tw_simulator_fail(tw_simulator *sim, const char *what, const char *detail);
/* Adds what somebody was told at this moment to the digest. */
void tw_simulator_digest(tw_simulator *sim, int kind, int who, int status, const char *body);

/* ---- event.c ---- */
tw_simulator_event *tw_simulator_schedule_after(tw_simulator *sim, double seconds,
                                                void (*act)(tw_simulator *sim,
                                                            tw_simulator_event *event));
tw_simulator_event *tw_simulator_schedule_at(tw_simulator *sim, double at,
                                             void (*act)(tw_simulator *sim,
                                                         tw_simulator_event *event));
/* The event that happens now is scheduled once more, instead of being freed. */
void tw_simulator_reschedule_after(tw_simulator *sim, tw_simulator_event *event, double seconds);
void tw_simulator_reschedule_at(tw_simulator *sim, tw_simulator_event *event, double at);
/* The earliest event, taken out of the queue; NULL: there is none. */
tw_simulator_event *tw_simulator_next_event(tw_simulator *sim);
void tw_simulator_event_free(tw_simulator_event *event);

/* ---- network.c ---- */
/* Whether a zone is cut off from everything. */
bool tw_simulator_cut_off(const tw_simulator *sim, const char *zone);
/* How long a message between zones takes; < 0: it never arrives. */
double tw_simulator_travel(const tw_simulator *sim, const char *from, const char *to);
/* A node's call goes out; its answer comes to tw_simulator_node_response. */
void tw_simulator_send_call(tw_simulator *sim, int node, tw_effect *effect);
/* An answer to a node's call comes after that time. Takes the body. Later answers to a call are
 * ignored by the core, so that a timeout may simply follow. */
void tw_simulator_schedule_response(tw_simulator *sim, int node, int generation, uint64_t call,
                                    int status, char *body, double seconds);

/* Whether answers of the state service reach a node. */
bool tw_simulator_reaches_state(const tw_simulator *sim, int node);

/* ---- node.c ---- */
int tw_simulator_node_start(tw_simulator *sim, int node, char *error, size_t error_size);
void tw_simulator_node_start_after(tw_simulator *sim, int node, double seconds);
void tw_simulator_node_kill(tw_simulator *sim, int node);
/* What the node has decided leaves when its `sends_late_until` has come. */
void tw_simulator_node_delay_messages(tw_simulator *sim, int node);
/* The node that holds the leader's key; -1: none. */
int tw_simulator_leader(tw_simulator *sim);
/* By name, or "leader"; -1: none. */
int tw_simulator_node_find(tw_simulator *sim, const char *name);
tw_simulator_connection *tw_simulator_connection_new(tw_simulator *sim, int node, int kind);
void tw_simulator_node_request(tw_simulator *sim, int node, int port, uint64_t connection,
                               const char *method, const char *path, const char *body);

/* The answer to a call of a node arrives. */
void tw_simulator_node_response(tw_simulator *sim, tw_simulator_event *event);

/* ---- worker_heartbeat.c: workers and their heartbeats ---- */
/* All machines, twenty times a second. */
void tw_simulator_workers_start(tw_simulator *sim);
void tw_simulator_send_heartbeat_answer(tw_simulator *sim,
                                        const tw_simulator_connection *connection,
                                        const tw_effect *effect);

/* If a new leader has begun, the heartbeats that were held for it arrive. */
void tw_simulator_deliver_held_heartbeats(tw_simulator *sim);

/* ---- user.c ---- */
void tw_simulator_user_send(tw_simulator *sim, int job, int kind);
/* Once, through that node; < 0: through the load balancer. */
void tw_simulator_user_send_to(tw_simulator *sim, int job, int kind, int node);
void tw_simulator_user_cancel(tw_simulator *sim, int job);
/* A request about a job that nobody submitted; the request must get that status. */
void tw_simulator_user_send_invalid(tw_simulator *sim, const char *id, int kind, char *body,
                                    int wanted);
/* A submission with other fields than the job's. */
void tw_simulator_user_submit_changed(tw_simulator *sim, int job, const tw_wire_job *spec);
void tw_simulator_user_receive_answer(tw_simulator *sim, tw_simulator_connection *connection,
                                      tw_effect *effect);
/* The node that had the request ended. */
void tw_simulator_user_fail_request(tw_simulator *sim, tw_simulator_connection *connection);
char *tw_simulator_job_text(const tw_wire_job *spec);
/* The node that a user's new connection comes to; -1: none can be reached. */
int tw_simulator_pick_node(tw_simulator *sim);

/* ---- close_poll.c: users that look closely, or cancel at the worst moment ---- */
/* A job was accepted, ended, or told to be over. */
void tw_simulator_schedule_close_polls(tw_simulator *sim, int job, bool may_cancel);
/* A job's last task completed. */
void tw_simulator_handle_job_end(void *sim, tw_simulator_job *job);

/* ---- invalid_request.c: requests that must be rejected ---- */
void tw_simulator_start_invalid_requests(tw_simulator *sim);

/* ---- vocabulary.c ---- */
/* Where a word of the scenario language stands. */
typedef enum {
    TW_SIMULATOR_WORD_COMMAND,    /* the command or setting of a line, or a trouble's name */
    TW_SIMULATOR_WORD_OPTION,     /* the key of `key=value` */
    TW_SIMULATOR_WORD_VALUE,      /* what is set, or the value of an option */
    TW_SIMULATOR_WORD_EXPECTATION /* after `expect` */
} tw_simulator_word_place;
/* Whether a text of that length is this word, in its current or in an earlier form. */
bool tw_simulator_is_word(tw_simulator_word_place place, const char *text, size_t length,
                          const char *word);
/* The same for a whole text. */
bool tw_simulator_is_command(const char *text, const char *word);
bool tw_simulator_is_value(const char *text, const char *word);
bool tw_simulator_is_expectation(const char *text, const char *word);

/* ---- script.c, command.c, fault.c, upgrade.c, expect.c ---- */
typedef struct {
    const char *name;
    int min_words; /* with the name */
    int seconds;   /* the word that says how long a trouble lasts, 0: none does */
    void (*run)(tw_simulator *sim, const tw_simulator_words *words);
} tw_simulator_command;
enum { TW_SIMULATOR_NO_TROUBLE = -1 };
/* Tables end with a NULL name. */
extern const tw_simulator_command tw_simulator_commands[];
extern const tw_simulator_command tw_simulator_trouble_commands[];
extern const tw_simulator_command tw_simulator_habit_commands[];
extern const tw_simulator_command tw_simulator_upgrade_commands[];
/* A trouble lasts at least that much longer. */
void tw_simulator_extend_faults(tw_simulator *sim, double seconds);
/* Whether a trouble strikes a message, by a draw of that kind; strikes are counted. */
bool tw_simulator_fault_applies(tw_simulator *sim, const tw_simulator_message_share *share,
                                int trouble, int draw);
/* The node begins as one of the earlier version; -1: there is no such node. */
int tw_simulator_use_earlier_version(tw_simulator *sim, const char *name);
void tw_simulator_check_expectation(tw_simulator *sim, const tw_simulator_words *words);
/* The state service's limits to come, as nodes that start are told: value=KB ops=N write_rps=N
 * rps=N. */
void tw_simulator_set_next_limits(tw_simulator *sim, const tw_simulator_words *words);
/* The value of `key=`, or NULL. */
const char *tw_simulator_option(const tw_simulator_words *words, const char *key);
double tw_simulator_option_number(const tw_simulator_words *words, const char *key,
                                  double otherwise);

#endif
