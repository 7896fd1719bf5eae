/* What the files of the daemon have in common. Not for other packages.
 *
 * All of it runs on the loop's thread; reporter.c and subscriber.c have a thread each, which wakes
 * the loop. Whatever changes a state machine calls tw_daemon_process_effects before it returns to
 * the loop.
 */
#ifndef TW_DAEMON_INT_H
#define TW_DAEMON_INT_H
#include "daemon/daemon.h"
#include "daemon/reporter.h"
#include "daemon/subscriber.h"
#include "net/net.h"
#include "standby/standby.h"
#include <stdbool.h>
#include <uthash.h>

#define TW_DAEMON_MAX_NOTIFICATIONS                                                                \
    4096 /* for an owner between two of its reports; it then asks                                  \
                                             for all */

typedef enum {
    TW_DAEMON_CALL_STATE,
    TW_DAEMON_CALL_MACHINE,
    TW_DAEMON_CALL_OPEN,
    TW_DAEMON_CALL_OTHER
} tw_daemon_call_kind;

/* A call over HTTP that is on its way. */
typedef struct tw_daemon_call {
    uint64_t id;
    tw_daemon_call_kind kind;
    uint64_t tag; /* STATE: number of the standby's call; MACHINE: the term; OPEN: the epoch */
    char machine[TW_SHARDS_NAME];
    UT_hash_handle hh;
} tw_daemon_call;

/* Notifications for an owner, which its next report takes with it. */
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
    char feed_address[TW_RPC_ADDRESS_SIZE]; /* whose feed is read; "": nobody's */
    double reopen_at, backoff_s;            /* when a feed that ended is opened again */
    tw_standby *standby;
    tw_shards *shards;
    tw_shards_owner *owner;
    bool was_deciding; /* when looked at last */
    uint64_t last_call;
    tw_daemon_call *calls;
    tw_daemon_owner_notifications *notifications;
    tw_rpc_message *messages; /* for the leader, until they are sent */
    int message_count;
    ev_async calls_wake, report_wake, feed_wake;
    ev_timer tick;
    ev_signal terminated, interrupted;
} tw_daemon_node;

/* daemon.c */
double tw_daemon_steady_s(void);
/* Zeroed memory; the program ends where there is none. */
void *tw_daemon_alloc(size_t size);
/* Carries out all effects, until nothing more follows from them. */
void tw_daemon_process_effects(tw_daemon_node *node);

/* calls.c: calls over HTTP, to the state service and to machines */
/* Calls the state service. */
void tw_daemon_call_state(tw_daemon_node *node, const tw_standby_effect *effect);
/* Sends /check or /start to a machine. */
void tw_daemon_check_machine(tw_daemon_node *node, const tw_standby_effect *effect);
void tw_daemon_start_machine(tw_daemon_node *node, const tw_standby_effect *effect);
/* Sends an owner's command, /open or /stop, to a machine. */
void tw_daemon_send_command(tw_daemon_node *node, tw_daemon_call_kind kind, const char *path,
                            const tw_shards_owner_effect *effect);
/* Takes the answer to a call; NULL and 0: none came. */
void tw_daemon_on_response(void *context, uint64_t id, int status, const char *body, size_t length);

/* owners.c: this node as an owner, and the notifications of other owners */
/* The notifications of that owner, made where there are none. */
tw_daemon_owner_notifications *tw_daemon_notifications_of(tw_daemon_node *node, const char *owner);
/* Keeps a notification until the owner's next report, in place of an older one of the machine. */
void tw_daemon_queue_notification(tw_daemon_node *node, const tw_shards_notification *notification);
/* Forgets the notifications of all owners, as at the end of a term. */
void tw_daemon_free_notifications(tw_daemon_node *node);
/* Carries out the effects of this node as an owner. */
void tw_daemon_process_owner_effects(tw_daemon_node *node);
/* Sends the messages of this node as an owner to another node that leads, unless a report is on its
 * way. */
void tw_daemon_send_report(tw_daemon_node *node);
/* Takes the answer to the last report. */
void tw_daemon_handle_report_answer(tw_daemon_node *node);

/* following.c: this node as a standby */
/* Opens the feed of the active controller, and opens it again where it has ended. */
void tw_daemon_update_feed(tw_daemon_node *node);
/* Takes the messages of the feed that have come. */
void tw_daemon_process_feed(tw_daemon_node *node);

/* clients.c: calls over the control interface, and effects that answer them */
/* Answers a client, as the effect says. */
void tw_daemon_answer_client(tw_daemon_node *node, const tw_shards_effect *effect);
/* Takes the calls that came in; an event of the loop. */
void tw_daemon_on_calls(struct ev_loop *loop, ev_async *watcher, int events);

#endif
