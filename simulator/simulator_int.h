/* The parts of a simulation: events, network, nodes, workers, users and the scenario language.
 * Internal to simulator/.
 *
 * Invariants:
 * - Time advances only from event to event. Events with the same time run in the order in which
 *   they were scheduled, so that equal lines give equal runs.
 * - Each start of a node has a new generation. Messages to or from an earlier generation are
 *   dropped.
 * - Every message that users and workers receive enters the digest.
 * - The event or effect owns its body and frees it. */
#ifndef TW_SIMULATOR_INT_H
#define TW_SIMULATOR_INT_H
#include "controller.h"
#include "simulator.h"
#include "world.h"
#include <stdbool.h>

#define TW_SIMULATOR_LATENCY_S 0.002
#define TW_SIMULATOR_MAX_WORDS 64
#define TW_SIMULATOR_POLL_S 5.0
/* Bounds of the random delays of messages. */
#define TW_SIMULATOR_MIN_DELAY_S 2.0
#define TW_SIMULATOR_MAX_WRITE_DELAY_S 12.0
#define TW_SIMULATOR_MAX_COMMAND_DELAY_S 16.0
#define TW_SIMULATOR_MAX_HEARTBEAT_DELAY_LEASES 2.5

/* A scheduled call of `handler`. The handler defines the meaning of the fields from `node` on. */
typedef struct tw_simulator_event {
    double at;
    uint64_t sequence; /* events with the same time run in ascending order of sequence */
    bool queued;
    void (*handler)(tw_simulator *sim, struct tw_simulator_event *event);
    int node, generation; /* the calling node and its generation */
    int target;           /* index of a node, machine or job */
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
    bool earlier_version; /* the node starts with the earlier version */
    /* until then, the state service answers 503 to this node alone */
    double state_unavailable_until;
    /* until then, messages between the node and workers are lost */
    double workers_unreachable_until;
    /* until then, calls between the node and the state service or peers hang */
    double isolated_until;
    /* until then, its peer heartbeats omit the record format that it reads */
    double old_format_until;
    double state_unreachable_until; /* until then, the node can't reach the state service */
    /* connections to the unreachable state service are refused instead of hanging */
    bool state_refuses_connections;
    /* between these times the node processes nothing, while its clocks advance */
    double paused_from, paused_until;
    /* until then, the node's effects are held, while its clocks advance */
    double effects_delayed_until;
    tw_effect *delayed_effects, **last_delayed_effect;
} tw_simulator_node;

enum {
    TW_SIMULATOR_CONNECTION_HEARTBEAT,
    TW_SIMULATOR_CONNECTION_USER,
    TW_SIMULATOR_CONNECTION_PEER,
    TW_SIMULATOR_CONNECTION_RAW
};
/* A request to a node that has not been answered. */
typedef struct {
    uint64_t id;
    int kind, node;
    /* index of a machine or job; -1 for a job that was not submitted, whose id is in `what` */
    int target;
    int user_kind;
    bool is_single_attempt; /* the request is not repeated if it fails */
    /* whether a user's request has reached the node, and whether the node has replied */
    bool arrived, replied;
    int source, source_generation; /* the calling peer and its generation */
    int expected_status; /* status that the answer to a raw or invalid request must have */
    double sent_at;
    uint64_t incarnation, call;
    char what[TW_SIMULATOR_TITLE_SIZE]; /* id of the job, or description of the raw request */
    UT_hash_handle hh;
} tw_simulator_connection;

/* The share of messages to which a fault applies, and the time at which the fault ends. */
typedef struct {
    double share, until;
} tw_simulator_message_share;

/* A copy of a heartbeat that is held until a given number of leaders have been elected. */
typedef struct {
    int machine;
    int leaders_until_delivery; /* number of leader elections before the copy is delivered */
    uint64_t incarnation;
    double sent_at;
    char *body;
} tw_simulator_held_heartbeat;

/* Faults and kinds of user behaviour whose occurrences are counted, one for each command. */
enum {
    TW_SIMULATOR_LATE_WRITES,
    TW_SIMULATOR_LOST_WRITES,
    TW_SIMULATOR_LATE_HEARTBEATS,
    TW_SIMULATOR_LOST_HEARTBEATS,
    TW_SIMULATOR_UNRESPONSIVE,
    TW_SIMULATOR_LATE_COMMANDS,
    TW_SIMULATOR_CUT_STATE,
    TW_SIMULATOR_SLOW_NODE,
    TW_SIMULATOR_DELAYED_EFFECTS,
    TW_SIMULATOR_REPEATED_COMMANDS,
    TW_SIMULATOR_CLOSE_POLLS,
    TW_SIMULATOR_CANCEL_AT_END,
    TW_SIMULATOR_CANCEL_NOW,
    TW_SIMULATOR_INVALID_REQUESTS,
    TW_SIMULATOR_FAULT_KINDS
};

/* The faults in effect. */
typedef struct {
    tw_simulator_message_share late_writes, lost_writes, late_heartbeats, late_commands,
        repeated_commands;
    /* number of leader elections for which copies of heartbeats are held; 0 delivers them after a
     * random delay */
    int held_heartbeat_leaders;
    tw_simulator_held_heartbeat *held_heartbeats;
    int held_heartbeat_count, held_heartbeat_capacity;
    uint64_t leader_version; /* last seen mod revision of the leader's key */
    double close_polls_until, invalid_requests_until;
    tw_simulator_message_share cancel_at_end;
    int lost_txn_answers; /* number of the next transactions whose answers are lost */
    double txn_delay_s;   /* delay of the next transaction; 0 if there is none */
    /* machine whose next direct command is delayed; -1 if there is none */
    int delayed_command_machine;
    double command_delay_s;
    /* machine whose next heartbeat is delivered twice; -1 if there is none */
    int duplicated_heartbeat_machine;
    double duplicate_heartbeat_delay_s;
    char cut_from[TW_SIMULATOR_NAME_SIZE], cut_to[TW_SIMULATOR_NAME_SIZE];
    /* messages are delivered at the end of the cut instead of being lost */
    bool cut_delays_messages;
    double cut_until;
    /* zone without any connection to other zones or to services outside the zones */
    char isolated_zone[TW_SIMULATOR_NAME_SIZE];
    double zone_isolated_until;
    double peers_refused_until;
    double slow_state_until, state_latency_s;
    double cloud_unavailable_until; /* until then, the cloud answers 503 */
} tw_simulator_faults;

struct tw_simulator {
    char name[TW_SIMULATOR_TITLE_SIZE];
    bool quiet, trace;
    const char *earlier_program; /* tw_core_server of the earlier version, or NULL */
    /* tw_core_server of the version upgraded to; NULL for this version */
    const char *target_program;
    bool needs_earlier_version; /* a line uses the earlier version */
    tw_simulator_world world;
    tw_simulator_node nodes[TW_SIMULATOR_MAX_NODES];
    tw_simulator_faults faults;
    double rps, request_tokens, requests_at; /* rate limiter of requests to the state service */
    char *objectives, *teams;                /* text of the settings */
    char *next_limits; /* settings text that announces future limits of the state service */
    double end_s;
    tw_simulator_event **events;
    size_t event_count, event_capacity;
    uint64_t last_sequence, last_connection, last_heartbeat;
    tw_simulator_connection *connections;
    int next_node; /* node that the load balancer tries next */
    /* last seen mod revision of the leader's key; 0 if the key was never set */
    uint64_t leader_key_version;
    bool new_version_led;       /* some leader so far had this version */
    bool earlier_version_leads; /* the last leader had the earlier version */
    bool judges_to_end;         /* the run continues after violations by the earlier version */
    int failed;
    /* the first failed line after a violation by the earlier version, once a node of this version
     * has been leader */
    char later_failure[TW_SIMULATOR_MESSAGE_SIZE];
    uint64_t digest;
    unsigned fault_counts[TW_SIMULATOR_FAULT_KINDS];
    int next_invalid_job; /* number of the next invalid job */
};

/* A line of the scenario language, split into words. */
typedef struct {
    char *words[TW_SIMULATOR_MAX_WORDS];
    int count;
    const char *line; /* the whole line */
} tw_simulator_words;

/* ---- simulator.c: failures and digest ---- */
/* Counts a failed check, and prints it unless the simulation is quiet. */
void tw_simulator_report_failure(tw_simulator *sim, const char *what, const char *detail);
/* Adds a message to a user or worker, with its time, to the digest. `kind` is the kind of the
 * request and `who` the index of the job or machine. */
void tw_simulator_add_to_digest(tw_simulator *sim, int kind, int who, int status, const char *body);

/* ---- event.c ---- */
/* Schedule a call of `handler`. The caller sets the other fields of the returned event, which the
 * queue owns. */
tw_simulator_event *tw_simulator_schedule_after(tw_simulator *sim, double seconds,
                                                void (*handler)(tw_simulator *sim,
                                                                tw_simulator_event *event));
tw_simulator_event *tw_simulator_schedule_at(tw_simulator *sim, double at,
                                             void (*handler)(tw_simulator *sim,
                                                             tw_simulator_event *event));
/* Put the event that is being handled back into the queue, so that it is not freed. */
void tw_simulator_reschedule_after(tw_simulator *sim, tw_simulator_event *event, double seconds);
void tw_simulator_reschedule_at(tw_simulator *sim, tw_simulator_event *event, double at);
/* Removes the earliest event from the queue and returns it, or NULL if the queue is empty. The
 * caller frees the event with tw_simulator_event_free. */
tw_simulator_event *tw_simulator_pop_event(tw_simulator *sim);
void tw_simulator_event_free(tw_simulator_event *event);

/* ---- network.c ---- */
/* Returns whether a zone has no connection to anything outside it. */
bool tw_simulator_zone_is_isolated(const tw_simulator *sim, const char *zone);
/* Returns the travel time of a message between two zones, or a negative number if it is lost. */
double tw_simulator_travel_s(const tw_simulator *sim, const char *from, const char *to);
/* Returns the travel time of a message from a node to a worker, or a negative number if it is lost.
 */
double tw_simulator_travel_to_worker_s(const tw_simulator *sim, int node,
                                       const tw_simulator_worker *worker);
/* Sends a call of a node. tw_simulator_node_response receives the answer or the timeout. */
void tw_simulator_send_call(tw_simulator *sim, int node, tw_effect *effect);
/* Schedules the answer to a node's call. Takes ownership of `body`. The core ignores all but the
 * first answer to a call, so that a timeout may be scheduled for every call. */
void tw_simulator_schedule_response(tw_simulator *sim, int node, int generation, uint64_t call,
                                    int status, char *body, double seconds);

/* Returns whether answers of the state service reach a node. */
bool tw_simulator_state_reaches_node(const tw_simulator *sim, int node);

/* ---- node.c ---- */
int tw_simulator_node_start(tw_simulator *sim, int node, char *error, size_t error_size);
void tw_simulator_node_start_after(tw_simulator *sim, int node, double seconds);
void tw_simulator_node_kill(tw_simulator *sim, int node);
/* Schedules the sending of the node's held effects at its `effects_delayed_until`. */
void tw_simulator_node_delay_messages(tw_simulator *sim, int node);
/* Returns the node that holds the leader's key, or -1 if there is none. */
int tw_simulator_find_leader(tw_simulator *sim);
/* Returns the node with that name, or the leader for "leader"; -1 if there is none. */
int tw_simulator_node_find(tw_simulator *sim, const char *name);
tw_simulator_connection *tw_simulator_connection_new(tw_simulator *sim, int node, int kind);
void tw_simulator_node_request(tw_simulator *sim, int node, int port, uint64_t connection,
                               const char *method, const char *path, const char *body);

/* Delivers the answer to a call of a node. */
void tw_simulator_node_response(tw_simulator *sim, tw_simulator_event *event);

/* ---- worker_heartbeat.c: workers and their heartbeats ---- */
/* Starts advancing all machines, twenty times per simulated second. */
void tw_simulator_workers_start(tw_simulator *sim);
void tw_simulator_send_heartbeat_answer(tw_simulator *sim,
                                        const tw_simulator_connection *connection,
                                        const tw_effect *effect);

/* Delivers the held heartbeats that are due if a new leader has been elected. */
void tw_simulator_deliver_held_heartbeats(tw_simulator *sim);

/* ---- user.c ---- */
void tw_simulator_user_send(tw_simulator *sim, int job, int kind);
/* Sends a request that is not repeated, to that node, or through the load balancer if node < 0. */
void tw_simulator_user_send_to(tw_simulator *sim, int job, int kind, int node);
void tw_simulator_user_cancel(tw_simulator *sim, int job);
/* Sends a request about a job that was not submitted; the response must have the status `wanted`.
 * Takes ownership of `body`. */
void tw_simulator_user_send_invalid(tw_simulator *sim, const char *id, int kind, char *body,
                                    int wanted);
/* Submits a job with the fields in `spec`, which may differ from those of its first submission. */
void tw_simulator_user_submit_changed(tw_simulator *sim, int job, const tw_wire_job *spec);
void tw_simulator_user_receive_answer(tw_simulator *sim, tw_simulator_connection *connection,
                                      tw_effect *effect);
/* Ends a user's request whose node has ended. */
void tw_simulator_user_fail_request(tw_simulator *sim, tw_simulator_connection *connection);
char *tw_simulator_job_text(const tw_wire_job *spec);
/* Returns the node that gets a user's next connection, or -1 if none is reachable. */
int tw_simulator_pick_node(tw_simulator *sim);

/* ---- close_poll.c: users that poll in quick succession, or cancel at critical moments ---- */
/* Sends status requests and submissions to all nodes within milliseconds after a job was accepted,
 * has ended, or was reported as ended. */
void tw_simulator_schedule_close_polls(tw_simulator *sim, int job, bool may_cancel);
/* Handles the completion of a job's last task. */
void tw_simulator_handle_job_end(void *sim, tw_simulator_job *job);

/* ---- invalid_request.c: invalid and repeated requests ---- */
void tw_simulator_start_invalid_requests(tw_simulator *sim);

/* ---- vocabulary.c ---- */
/* The role of a word in a line of the scenario language. */
typedef enum {
    TW_SIMULATOR_WORD_COMMAND,    /* the command or setting of a line, or the name of a fault */
    TW_SIMULATOR_WORD_OPTION,     /* the key of `key=value` */
    TW_SIMULATOR_WORD_VALUE,      /* the name of a `set` value, or the value of an option */
    TW_SIMULATOR_WORD_EXPECTATION /* the name after `expect` */
} tw_simulator_word_role;
/* Returns whether a text of that length is `word`, in its current or in an earlier form. */
bool tw_simulator_is_word(tw_simulator_word_role role, const char *text, size_t length,
                          const char *word);
/* Return whether a NUL-terminated text is `word` in the given role. */
bool tw_simulator_is_command(const char *text, const char *word);
bool tw_simulator_is_value(const char *text, const char *word);
bool tw_simulator_is_expectation(const char *text, const char *word);

/* ---- script.c, command.c, fault.c, upgrade.c, expect.c ---- */
typedef struct {
    const char *name;
    int min_words; /* number of words, including the name */
    /* index of the word with the fault's duration; 0 if there is none; TW_SIMULATOR_NO_FAULT for a
     * command that is no fault */
    int duration_word;
    void (*run)(tw_simulator *sim, const tw_simulator_words *words);
} tw_simulator_command;
enum { TW_SIMULATOR_NO_FAULT = -1 };
/* Tables of the commands for user requests, for faults, for the behaviour of all users, and for
 * upgrades. A NULL name ends each table. */
extern const tw_simulator_command tw_simulator_commands[];
extern const tw_simulator_command tw_simulator_trouble_commands[];
extern const tw_simulator_command tw_simulator_habit_commands[];
extern const tw_simulator_command tw_simulator_upgrade_commands[];
/* Extends the time until which faults are in effect to at least that many seconds from now. */
void tw_simulator_extend_faults(tw_simulator *sim, double seconds);
/* Returns whether a fault applies to a message, decided by a random number of the stream `draw`. If
 * it does, counts an occurrence of `fault` (TW_SIMULATOR_LATE_WRITES and so on). */
bool tw_simulator_fault_applies(tw_simulator *sim, const tw_simulator_message_share *share,
                                int fault, int draw);
/* Makes a node start with the earlier version. Returns -1 if there is no such node. */
int tw_simulator_use_earlier_version(tw_simulator *sim, const char *name);
void tw_simulator_check_expectation(tw_simulator *sim, const tw_simulator_words *words);
/* Sets the future limits of the state service that are announced in the settings of nodes that
 * start: value=KB ops=N write_rps=N rps=N. */
void tw_simulator_set_next_limits(tw_simulator *sim, const tw_simulator_words *words);
/* Returns the value of the option `key=`, or NULL if it is missing. */
const char *tw_simulator_option(const tw_simulator_words *words, const char *key);
double tw_simulator_option_number(const tw_simulator_words *words, const char *key,
                                  double otherwise);

#endif
