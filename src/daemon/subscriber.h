/* Reads the active controller's feed in a thread of its own, since the client blocks. Few messages
 * are kept until the loop takes them; a loop that is slow slows the feed. */
#ifndef TW_DAEMON_SUBSCRIBER_H
#define TW_DAEMON_SUBSCRIBER_H
#include "rpc/rpc.h"
#include <stdbool.h>

typedef struct tw_subscriber tw_subscriber;
/* Starts the thread. wake is called from it when messages came or the feed ended. pause_s: between
 * two heartbeats. End it with tw_subscriber_stop. */
tw_subscriber *tw_subscriber_start(const char *node, double pause_s, void (*wake)(void *context),
                                   void *context);
/* Ends the feed at hand, if any, and opens another one. address "": none. */
void tw_subscriber_open(tw_subscriber *subscriber, const char *address,
                        const tw_standby_position *position);
/* Takes the next message of the feed opened last. False: there is none. The caller frees it with
 * tw_standby_message_free. */
bool tw_subscriber_next(tw_subscriber *subscriber, tw_standby_message *message);
/* Whether a feed is open, as far as is known. */
bool tw_subscriber_is_open(tw_subscriber *subscriber);
/* Ends the thread and frees the subscriber. */
void tw_subscriber_stop(tw_subscriber *subscriber);

#endif
