/* The control interface over gRPC, behind C: a server whose calls are answered by the daemon's own
 * thread, and a blocking client. No C++ type and no exception passes this header. src/daemon uses
 * both, tools/traywallctl the client. control.proto has the messages.
 *
 * The server's threads belong to gRPC. A call waits there until tw_rpc_answer_call is called with
 * its number, for at most TW_RPC_WAIT_S; then the client gets UNAVAILABLE and may ask again. */
#ifndef TW_RPC_H
#define TW_RPC_H
#include "shards/shards.h"
#include "standby/standby.h"
#include <stdbool.h>

#define TW_RPC_ADDRESS 64
#define TW_RPC_WAIT_S 8

typedef enum {
    TW_RPC_SHOW,    /* the shards, and the machines where asked for */
    TW_RPC_CHANGE,  /* a request to the leader */
    TW_RPC_REPORT,  /* an owner's messages to the leader; notifications come back */
    TW_RPC_FOLLOW,  /* the next message of the feed */
    TW_RPC_PROMOTE, /* hands leadership over to a standby */
    TW_RPC_STANDBY  /* the status of the node that is asked */
} tw_rpc_method;

/* An owner's message to the leader: OWNER_SYNC, OWNER_DRAINED or OWNER_OPENED. */
typedef struct {
    tw_shards_owner_effect_kind kind;
    char machine[TW_SHARDS_NAME];
    uint64_t epoch;
} tw_rpc_message;

/* A call as it came in; free what it holds with tw_rpc_call_free. */
typedef struct {
    uint64_t id;
    tw_rpc_method method;
    bool show_machines;           /* SHOW */
    tw_shards_request request;    /* CHANGE; its machines belong to the call */
    char owner[TW_SHARDS_NAME];   /* REPORT; FOLLOW, PROMOTE: the standby's name */
    tw_standby_position position; /* FOLLOW; REPORT: term and number */
    tw_rpc_message *messages;     /* REPORT */
    int message_count;
} tw_rpc_call;
/* Frees what the call holds. */
void tw_rpc_call_free(tw_rpc_call *call);

/* What a call is answered with; the arrays belong to the answer. */
typedef struct {
    tw_shards_verdict verdict;
    char leader[TW_RPC_ADDRESS]; /* its control address; "": not known */
    double retry_after_s;        /* above 0: ask again after it */
    uint64_t revision, minimum_epoch;
    tw_shards_progress progress;  /* CHANGE */
    tw_shards_shard_view *shards; /* SHOW */
    int shard_count;
    tw_shards_notification *notifications; /* SHOW: machines; REPORT: what the owner is told */
    int notification_count;
    tw_standby_message message; /* FOLLOW */
    char node[TW_SHARDS_NAME];  /* STANDBY */
    tw_standby_status status;   /* STANDBY */
    tw_standby_follower_status *followers;
    int follower_count;
} tw_rpc_answer;
/* Frees what the answer holds. */
void tw_rpc_answer_free(tw_rpc_answer *answer);

/* ---- server ---- */

typedef struct tw_rpc_server tw_rpc_server;
/* Listens on an address IP:port. wake is called from another thread whenever a call came in.
 * Returns NULL where the address can't be listened on. Free it with tw_rpc_server_stop. */
tw_rpc_server *tw_rpc_server_start(const char *address, void (*wake)(void *context), void *context);
/* Takes the next call that came in. Returns false where there is none. */
bool tw_rpc_server_next(tw_rpc_server *server, tw_rpc_call *call);
/* Answers the call `id`. The answer is copied. A call that was given up meanwhile is ignored. */
void tw_rpc_answer_call(tw_rpc_server *server, uint64_t id, const tw_rpc_answer *answer);
/* Ends and frees the server; calls that wait get UNAVAILABLE. NULL is allowed. */
void tw_rpc_server_stop(tw_rpc_server *server);

/* ---- client ---- */

typedef enum {
    TW_RPC_OK,
    TW_RPC_UNREACHABLE, /* nobody answers there: nothing is known of the request */
    TW_RPC_UNAVAILABLE  /* the daemon could not answer in time: ask again, with the same key */
} tw_rpc_status;

typedef struct tw_rpc_client tw_rpc_client;
/* Makes a client of the daemon at IP:port, without connecting to it. */
tw_rpc_client *tw_rpc_client_new(const char *address);
void tw_rpc_client_free(tw_rpc_client *client);
/* Sends the call (its id is not used) and waits for the answer, for timeout_s at most. */
tw_rpc_status tw_rpc_client_call(tw_rpc_client *client, const tw_rpc_call *call, double timeout_s,
                                 tw_rpc_answer *answer);
/* The feed of the active controller: messages after the position, heartbeats in between. Opening
 * it does not block; the connection is made, which may take long where the server stands still, by
 * the first tw_rpc_feed_next. */
typedef struct tw_rpc_feed tw_rpc_feed;
tw_rpc_feed *tw_rpc_feed_open(tw_rpc_client *client, const char *node,
                              const tw_standby_position *position, double pause_s);
/* Waits for the next message. The caller frees it with tw_standby_message_free. Returns false where
 * the feed has ended. */
bool tw_rpc_feed_next(tw_rpc_feed *feed, tw_standby_message *message);
/* Ends the feed, also while its connection is made; may be called from any thread. */
void tw_rpc_feed_cancel(tw_rpc_feed *feed);
/* Frees the feed. */
void tw_rpc_feed_close(tw_rpc_feed *feed);
/* Calls `each` for every change of the move until it is over, refused, or `each` returns non-zero.
 */
tw_rpc_status tw_rpc_client_watch(tw_rpc_client *client, const char *key, double timeout_s,
                                  int (*each)(void *context, const tw_rpc_answer *answer),
                                  void *context);

#endif
