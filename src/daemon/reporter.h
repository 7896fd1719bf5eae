/* Sends an owner's reports to the leading daemon from a thread of its own, since the client blocks.
 * One report is on its way at a time. */
#ifndef TW_DAEMON_REPORTER_H
#define TW_DAEMON_REPORTER_H
#include "rpc/rpc.h"
#include <stdbool.h>

typedef struct tw_reporter tw_reporter;
/* Starts the thread. timeout_s: of a report. done is called from the thread when a report was
 * answered or has failed. End it with tw_reporter_stop. */
tw_reporter *tw_reporter_start(const char *owner, double timeout_s, void (*on_done)(void *context),
                               void *context);
/* Whether a report may be sent now. */
bool tw_reporter_is_idle(tw_reporter *reporter);
/* Sends a report. position: this node's place in the leader's feed. The messages belong to the
 * reporter from now on. */
void tw_reporter_send(tw_reporter *reporter, const char *address,
                      const tw_standby_position *position, tw_rpc_message *messages, int count);
/* Takes the answer to the last report, once. False: there is none. The caller frees it with
 * tw_rpc_answer_free. */
bool tw_reporter_take_answer(tw_reporter *reporter, tw_rpc_answer *answer);
/* Ends the thread and frees the reporter. */
void tw_reporter_stop(tw_reporter *reporter);

#endif
