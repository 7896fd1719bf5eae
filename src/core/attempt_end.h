/* The decision that an attempt to run a task can no longer run (attempt_end.c): a typed ground goes
 * in, a verdict comes out. Every path that ends an attempt goes through here, and nobody else frees
 * a task for another attempt. Invariant: an attempt that may still run, or may still be started by
 * a message on its way, is never ended. The proof is in docs/design.md, "Why each rule holds". Not
 * for other packages. */
#ifndef TW_CORE_ATTEMPT_END_H
#define TW_CORE_ATTEMPT_END_H
#include "core/core.h"
#include "wire/wire.h"

typedef struct placement placement;

/* Why an attempt can no longer run. */
typedef enum {
    END_EXITED,       /* the machine tells that it has ended */
    END_ABSENT,       /* a report without it, of a machine that refuses all that is on its way */
    END_NOT_TAKEN,    /* the next report tells that the answer with its launch was not taken */
    END_SESSION,      /* the machine is in a later session than the one it could run in */
    END_LAPSED,       /* the machine's lease has surely ended */
    END_RETURNED,     /* the cloud says that the machine is gone */
    END_GANG_DONE,    /* a task of its gang is done, which ends the whole job */
    END_NOT_LAUNCHED, /* no launch of it went out */
    END_NOT_RECORDED, /* its job's first record was refused: nothing of it was launched */
    END_TAKEN_BACK,   /* it was placed in this pass, and its gang found no room */
    END_TERM          /* this node no longer leads: it decides nothing any more */
} end_ground;
enum { END_GROUNDS = END_TERM + 1 };

/* What the ground rests on. */
typedef struct {
    end_ground evidence;
    const tw_wire_heartbeat *heartbeat; /* of a machine; NULL: none */
    const tw_wire_task *reported;       /* the exited task in it; NULL: none */
    int answers_command;                /* the report came as the answer to a direct order */
} attempt_end;

const char *tw_end_ground_name(end_ground ground);

/* Ends the attempt if the ground holds for it: its task is free again, or done, and it counts no
 * longer. Returns whether it was ended. After END_EXITED and END_GANG_DONE the machine may still
 * tell of it: it stays in the machine's list, and the caller marks the job as changed once it knows
 * what becomes of it. With the other grounds it is freed and the job marked. */
int tw_attempt_end(tw_core *core, placement *placed, const attempt_end *end);

/* The same for a ground that rests on no message. */
int tw_attempt_end_on(tw_core *core, placement *placed, end_ground ground);

/* Whether a launch of it went out, or of a predecessor's may have. */
int tw_attempt_launched(const placement *placed);

/* Whether the report, which does not name it, tells that the answer with its launch was not taken.
 */
int tw_launch_not_taken(const placement *placed, const tw_wire_heartbeat *report,
                        int answers_order);

/* The machine answered a direct launch of it; refused: it was not carried out. */
void tw_launch_answered(placement *placed, int refused);

/* Whether a launch of it that was carried out may be carried out once more: the machine must still
 * list the attempt then, or it would start it again. */
int tw_launch_may_repeat(const tw_core *core, const placement *placed);

/* Frees one whose attempt was ended before: its machine has forgotten it. */
void tw_attempt_forget(tw_core *core, placement *placed);

#endif
