/* Sends an owner's reports to the leading daemon from a thread of its own, since the client blocks.
 * At most one report is in flight at a time. */
#ifndef TW_DAEMON_REPORTER_H
#define TW_DAEMON_REPORTER_H
#include "rpc/rpc.h"
#include <stdbool.h>

typedef struct tw_reporter tw_reporter;
/* Starts the reporter's thread. timeout_s is the time limit of a report. on_done is called from the
 * thread when a report has been answered or has failed. The caller frees the reporter with
 * tw_reporter_stop. */
tw_reporter *tw_reporter_start(const char *owner, double timeout_s, void (*on_done)(void *context),
                               void *context);
/* Returns whether a report may be sent now. */
bool tw_reporter_is_idle(tw_reporter *reporter);
/* Sends a report to the daemon at the address. position is this node's position in the leader's
 * feed. The reporter takes ownership of the messages. */
void tw_reporter_send(tw_reporter *reporter, const char *address,
                      const tw_standby_position *position, tw_rpc_message *messages, int count);
/* Takes the answer to the last report and makes the reporter idle. Returns false if there is no
 * answer to take. The caller frees the answer with tw_rpc_answer_free. */
bool tw_reporter_take_answer(tw_reporter *reporter, tw_rpc_answer *answer);
/* Stops the thread and frees the reporter. NULL is allowed. */
void tw_reporter_stop(tw_reporter *reporter);

#endif
