/* Reads the active controller's feed in a thread of its own, since the client blocks. A bounded
 * queue holds the messages until the loop takes them, so that a slow loop slows the feed. */
#ifndef TW_DAEMON_SUBSCRIBER_H
#define TW_DAEMON_SUBSCRIBER_H
#include "rpc/rpc.h"
#include <stdbool.h>

typedef struct tw_subscriber tw_subscriber;
/* Starts the subscriber's thread. pause_s is the interval between heartbeats. wake is called from
 * the thread when a message has arrived or the feed has ended. The caller frees the subscriber with
 * tw_subscriber_stop. */
tw_subscriber *tw_subscriber_start(const char *node, double pause_s, void (*wake)(void *context),
                                   void *context);
/* Cancels the present feed, if any, drops its messages and opens the feed of the daemon at the
 * address. With the address "" no feed is opened. */
void tw_subscriber_open(tw_subscriber *subscriber, const char *address,
                        const tw_standby_position *position);
/* Takes the next message of the feed that was opened last. Returns false if there is none. The
 * caller frees the message with tw_standby_message_free. */
bool tw_subscriber_next(tw_subscriber *subscriber, tw_standby_message *message);
/* Returns whether a feed is open or being opened, or has messages left. */
bool tw_subscriber_is_open(tw_subscriber *subscriber);
/* Stops the thread and frees the subscriber. NULL is allowed. */
void tw_subscriber_stop(tw_subscriber *subscriber);

#endif
