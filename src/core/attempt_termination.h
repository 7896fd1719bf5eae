/* The decision that an attempt to run a task can no longer run (attempt_termination.c): a typed
 * ground goes in, a verdict comes out. Every path that ends an attempt goes through here, and
 * nobody else frees a task for another attempt. Invariant: an attempt that may still run, or may
 * still be started by a message on its way, is never ended. The proof is in docs/design.md, "Why
 * each rule holds". Not for other packages. */
#ifndef TW_CORE_ATTEMPT_END_H
#define TW_CORE_ATTEMPT_END_H
#include "core/core.h"
#include "wire/wire.h"
#include <stdbool.h>

typedef struct tw_placement tw_placement;

/* Why an attempt can no longer run. */
typedef enum {
    TW_EVIDENCE_EXITED, /* the machine tells that it has ended */
    TW_EVIDENCE_ABSENT, /* a report without it, of a machine that refuses all that is on its way */
    TW_EVIDENCE_LAUNCH_LOST, /* the next report tells that the answer with its launch was not taken
                              */
    TW_EVIDENCE_NEW_INCARNATION,  /* the machine is in a later session than the one it could run in
                                   */
    TW_EVIDENCE_LEASE_EXPIRED,    /* the machine's lease has surely ended */
    TW_EVIDENCE_MACHINE_RETURNED, /* the cloud says that the machine is gone */
    TW_EVIDENCE_GANG_DONE,        /* a task of its gang is done, which ends the whole job */
    TW_EVIDENCE_NOT_LAUNCHED,     /* no launch of it went out */
    TW_EVIDENCE_NOT_RECORDED, /* its job's first record was refused: nothing of it was launched */
    TW_EVIDENCE_PLACEMENT_UNDONE, /* it was placed in this pass, and its gang found no room */
    TW_EVIDENCE_TERM_ENDED        /* this node no longer leads: it decides nothing any more */
} tw_termination_evidence;
enum { TW_EVIDENCE_KINDS = TW_EVIDENCE_TERM_ENDED + 1 };

/* What the ground rests on. */
typedef struct {
    tw_termination_evidence evidence;
    const tw_wire_heartbeat *heartbeat; /* of a machine; NULL: none */
    const tw_wire_task *reported;       /* the exited task in it; NULL: none */
    bool answers_command;               /* the report came as the answer to a direct order */
} tw_attempt_termination;

const char *tw_termination_evidence_name(tw_termination_evidence evidence);

/* Ends the attempt if the ground holds for it: its task is free again, or done, and it counts no
 * longer. Returns whether it was ended. After TW_EVIDENCE_EXITED and TW_EVIDENCE_GANG_DONE the
 * machine may still tell of it: it stays in the machine's list, and the caller marks the job as
 * changed once it knows what becomes of it. With the other grounds it is freed and the job marked.
 */
bool tw_attempt_terminate(tw_core *core, tw_placement *placed, const tw_attempt_termination *end);

/* The same for a ground that rests on no message. */
bool tw_attempt_terminate_on(tw_core *core, tw_placement *placed, tw_termination_evidence evidence);

/* Whether a launch of it went out, or of a predecessor's may have. */
bool tw_attempt_was_launched(const tw_placement *placed);

/* Whether the report, which does not name it, tells that the answer with its launch was not taken.
 */
bool tw_launch_was_lost(const tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                        bool answers_order);

/* The machine answered a direct launch of it; refused: it was not carried out. */
void tw_launch_answered(tw_placement *placed, bool refused);

/* Whether a launch of it that was carried out may be carried out once more: the machine must still
 * list the attempt then, or it would start it again. */
bool tw_launch_may_repeat(const tw_core *core, const tw_placement *placed);

/* Frees one whose attempt was ended before: its machine has forgotten it. */
void tw_attempt_forget(tw_core *core, tw_placement *placed);

#endif
