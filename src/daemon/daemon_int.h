/* Private declarations of the daemon; other packages include daemon.h only.
 *
 * The daemon runs on the loop's thread, except that reporter.c and subscriber.c have a thread each,
 * which wakes the loop. Code that changes a state machine calls tw_daemon_process_effects before it
 * returns to the loop. */
#ifndef TW_DAEMON_INT_H
#define TW_DAEMON_INT_H
#include "daemon/daemon.h"
#include "daemon/reporter.h"
#include "daemon/subscriber.h"
#include "net/net.h"
#include "standby/standby.h"
#include <stdbool.h>
#include <uthash.h>

/* Maximum number of an owner's queued notifications, and of the messages queued for a report. Those
 * beyond it are discarded: the owner gets the notifications by its next SYNC and repeats the
 * messages. */
#define TW_DAEMON_MAX_NOTIFICATIONS 4096

/* Kinds of HTTP calls, which determine how the response is handled. */
typedef enum {
    TW_DAEMON_CALL_STATE,   /* to the state service */
    TW_DAEMON_CALL_MACHINE, /* /check or /start to a machine */
    TW_DAEMON_CALL_OPEN,    /* /open to a machine */
    TW_DAEMON_CALL_OTHER    /* the response is ignored */
} tw_daemon_call_kind;

/* An HTTP call in flight. */
typedef struct tw_daemon_call {
    uint64_t id;
    tw_daemon_call_kind kind;
    uint64_t tag; /* STATE: id of the standby's call; MACHINE: the term; OPEN, OTHER: the epoch */
    char machine[TW_SHARDS_NAME];
    UT_hash_handle hh;
} tw_daemon_call;

/* Notifications for an owner, which are sent in the answer to its next report. */
typedef struct tw_daemon_owner_notifications {
    char owner[TW_SHARDS_NAME];
    tw_shards_notification *notifications;
    int count;
    UT_hash_handle hh;
} tw_daemon_owner_notifications;

typedef struct {
    const tw_daemon_settings *settings;
    struct ev_loop *loop;
    tw_net *net;
    tw_rpc_server *server;
    tw_reporter *reporter;
    tw_subscriber *subscriber;
    char feed_address[TW_RPC_ADDRESS_SIZE]; /* daemon whose feed is read; "" if none is */
    double reopen_at; /* earliest time at which a feed that has ended is reopened */
    double backoff_s; /* last delay before reopening the feed */
    tw_standby *standby;
    tw_shards *shards;
    tw_shards_owner *owner;
    bool was_deciding; /* whether this node decided after the last processing of effects */
    uint64_t last_call;
    tw_daemon_call *calls;
    tw_daemon_owner_notifications *notifications;
    tw_rpc_message *messages; /* messages of this node as an owner for its next report */
    int message_count;
    ev_async calls_wake, report_wake, feed_wake;
    ev_timer tick;
    ev_signal terminated, interrupted;
} tw_daemon_node;

/* daemon.c */
/* Returns the time of the monotonic clock. */
double tw_daemon_steady_s(void);
/* Returns zeroed memory. The program aborts if none can be allocated. */
void *tw_daemon_alloc(size_t size);
/* Processes the effects of the state machines until there are no more. */
void tw_daemon_process_effects(tw_daemon_node *node);

/* calls.c: calls over HTTP, to the state service and to machines */
/* Sends the effect's call to the state service. */
void tw_daemon_call_state(tw_daemon_node *node, const tw_standby_effect *effect);
/* Sends /check or /start to a machine. */
void tw_daemon_check_machine(tw_daemon_node *node, const tw_standby_effect *effect);
void tw_daemon_start_machine(tw_daemon_node *node, const tw_standby_effect *effect);
/* Sends an owner's command, /open or /stop, to a machine. */
void tw_daemon_send_command(tw_daemon_node *node, tw_daemon_call_kind kind, const char *path,
                            const tw_shards_owner_effect *effect);
/* Handles the response to a call. status is 0 and body NULL if the call got no response. */
void tw_daemon_on_response(void *context, uint64_t id, int status, const char *body, size_t length);

/* owners.c: this node as an owner, and the notifications for other owners */
/* Returns the queue of notifications for that owner, and creates it if there is none. */
tw_daemon_owner_notifications *tw_daemon_notifications_of(tw_daemon_node *node, const char *owner);
/* Queues a notification until the owner's next report. It replaces an earlier one about the same
 * machine. */
void tw_daemon_queue_notification(tw_daemon_node *node, const tw_shards_notification *notification);
/* Frees the notifications of all owners, as at the end of a term. */
void tw_daemon_free_notifications(tw_daemon_node *node);
/* Processes the effects of this node as an owner. */
void tw_daemon_process_owner_effects(tw_daemon_node *node);
/* Sends this node's messages as an owner to the leader, unless this node holds the leader key or a
 * report is in flight. */
void tw_daemon_send_report(tw_daemon_node *node);
/* Handles the answer to the last report. */
void tw_daemon_handle_report_answer(tw_daemon_node *node);

/* following.c: this node as a standby */
/* Opens the feed of the active controller, and reopens it after a delay if it has ended. */
void tw_daemon_update_feed(tw_daemon_node *node);
/* Applies the messages of the feed that have arrived. */
void tw_daemon_process_feed(tw_daemon_node *node);

/* clients.c: calls over the control interface, and effects that answer them */
/* Sends a client the effect's answer. */
void tw_daemon_answer_client(tw_daemon_node *node, const tw_shards_effect *effect);
/* Loop event: handles the calls that have been received. */
void tw_daemon_on_calls(struct ev_loop *loop, ev_async *watcher, int events);

#endif
