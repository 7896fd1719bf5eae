/* C interface to the gRPC control interface: a server whose calls are answered by the daemon's own
 * thread, and a blocking client. No C++ type and no exception crosses this interface. src/daemon
 * uses both, tools/traywallctl the client. control.proto defines the messages.
 *
 * gRPC owns the server's threads. A call blocks its thread until tw_rpc_answer_call is called with
 * its id, for at most TW_RPC_MAX_WAIT_S seconds; after that the client gets UNAVAILABLE and may
 * retry. */
#ifndef TW_RPC_H
#define TW_RPC_H
#include "shards/shards.h"
#include "standby/standby.h"
#include <stdbool.h>

#define TW_RPC_ADDRESS_SIZE 64
#define TW_RPC_MAX_WAIT_S 8

typedef enum {
    TW_RPC_SHOW,    /* get the shards and, if requested, the machines */
    TW_RPC_CHANGE,  /* send a request to the leader's shard table */
    TW_RPC_REPORT,  /* send an owner's messages to the leader and get the owner's notifications */
    TW_RPC_FOLLOW,  /* get the next message of the feed */
    TW_RPC_PROMOTE, /* hand leadership over to a standby */
    TW_RPC_STANDBY  /* get the status of the called node */
} tw_rpc_method;

/* An owner's message to the leader: OWNER_SYNC, OWNER_DRAINED or OWNER_OPENED. */
typedef struct {
    tw_shards_owner_effect_kind kind;
    char machine[TW_SHARDS_NAME];
    uint64_t epoch;
} tw_rpc_message;

/* A call that the server has received or that the client sends. Members marked with a method are
 * used only in calls of that method. tw_rpc_call_free frees what the call owns. */
typedef struct {
    uint64_t id;
    tw_rpc_method method;
    bool show_machines;           /* SHOW */
    tw_shards_request request;    /* CHANGE; the call owns the array of machines */
    char owner[TW_SHARDS_NAME];   /* REPORT: name of the owner; FOLLOW, PROMOTE: of the standby */
    tw_standby_position position; /* FOLLOW: position in the feed; REPORT: only term and number */
    tw_rpc_message *messages;     /* REPORT */
    int message_count;
} tw_rpc_call;
/* Frees what the call owns. */
void tw_rpc_call_free(tw_rpc_call *call);

/* The answer to a call, which owns its arrays. Members marked with a method are used only in
 * answers to calls of that method. */
typedef struct {
    tw_shards_verdict verdict;
    char leader[TW_RPC_ADDRESS_SIZE]; /* control address of the leader; "" if it is unknown */
    double retry_after_s;             /* if above 0, the time after which to retry */
    uint64_t revision, minimum_epoch;
    tw_shards_progress progress;  /* CHANGE */
    tw_shards_shard_view *shards; /* SHOW */
    int shard_count;
    /* SHOW: states of the machines; REPORT: notifications for the owner */
    tw_shards_notification *notifications;
    int notification_count;
    tw_standby_message message; /* FOLLOW */
    char node[TW_SHARDS_NAME];  /* STANDBY */
    tw_standby_status status;   /* STANDBY */
    tw_standby_follower_status *followers;
    int follower_count;
} tw_rpc_answer;
/* Frees what the answer owns. */
void tw_rpc_answer_free(tw_rpc_answer *answer);

/* ---- server ---- */

typedef struct tw_rpc_server tw_rpc_server;
/* Starts a server that listens on the address IP:port. wake is called from another thread whenever
 * a call is received. Returns NULL if it can't listen on the address. The caller frees the server
 * with tw_rpc_server_stop. */
tw_rpc_server *tw_rpc_server_start(const char *address, void (*wake)(void *context), void *context);
/* Removes the next received call from the queue. Returns false if the queue is empty. The caller
 * frees what the call owns with tw_rpc_call_free. */
bool tw_rpc_server_next_call(tw_rpc_server *server, tw_rpc_call *call);
/* Answers the call `id`. The answer is copied. Does nothing if the call has timed out. */
void tw_rpc_answer_call(tw_rpc_server *server, uint64_t id, const tw_rpc_answer *answer);
/* Stops and frees the server; calls without an answer get UNAVAILABLE. NULL is allowed. */
void tw_rpc_server_stop(tw_rpc_server *server);

/* ---- client ---- */

typedef enum {
    TW_RPC_OK,
    TW_RPC_UNREACHABLE, /* the daemon did not respond; the request may or may not have arrived */
    TW_RPC_UNAVAILABLE  /* the daemon did not answer in time: retry with the same key */
} tw_rpc_status;

typedef struct tw_rpc_client tw_rpc_client;
/* Creates a client of the daemon at IP:port, without connecting to it. */
tw_rpc_client *tw_rpc_client_new(const char *address);
void tw_rpc_client_free(tw_rpc_client *client);
/* Sends the call, whose id is ignored, and waits at most timeout_s for the answer. The caller frees
 * what the answer owns with tw_rpc_answer_free. */
tw_rpc_status tw_rpc_client_call(tw_rpc_client *client, const tw_rpc_call *call, double timeout_s,
                                 tw_rpc_answer *answer);
/* A stream of the active controller's feed. */
typedef struct tw_rpc_feed tw_rpc_feed;
/* Opens a feed for the standby `node` that starts at the position. pause_s: interval between
 * heartbeats while there are no changes. This does not block: the first tw_rpc_feed_next connects
 * to the server, which may take long if the server's process is suspended. The client must outlive
 * the feed. */
tw_rpc_feed *tw_rpc_feed_open(tw_rpc_client *client, const char *node,
                              const tw_standby_position *position, double pause_s);
/* Waits for the next message. Returns false if the feed has ended or the message is malformed. The
 * caller frees the message with tw_standby_message_free. */
bool tw_rpc_feed_next(tw_rpc_feed *feed, tw_standby_message *message);
/* Cancels the feed, also while it is connecting. May be called from any thread. */
void tw_rpc_feed_cancel(tw_rpc_feed *feed);
/* Cancels and frees the feed. */
void tw_rpc_feed_close(tw_rpc_feed *feed);
/* Calls `each` whenever the progress of the move `key` changes, until the move is complete or
 * refused, `each` returns non-zero, or timeout_s has passed. */
tw_rpc_status tw_rpc_client_watch(tw_rpc_client *client, const char *key, double timeout_s,
                                  int (*each)(void *context, const tw_rpc_answer *answer),
                                  void *context);

#endif
