/* The decision that an attempt to run a task can no longer run (attempt_termination.c): typed
 * evidence goes in, a verdict comes out.
 *
 * Every path that ends an attempt goes through here, and no other module frees a placement or a
 * task for another attempt. Invariant: an attempt that may still run, or may still be started by a
 * message on its way, is never terminated. The proof is in docs/design.md, "Why each rule holds".
 * Not for other packages. */
#ifndef TW_CORE_ATTEMPT_TERMINATION_H
#define TW_CORE_ATTEMPT_TERMINATION_H
#include "core/core.h"
#include "wire/wire.h"
#include <stdbool.h>

typedef struct tw_placement tw_placement;

/* Why an attempt can no longer run. */
typedef enum {
    /* The machine says that the attempt has exited. */
    TW_EVIDENCE_EXITED,
    /* A heartbeat doesn't name it, and the machine refuses all messages that could start it. */
    TW_EVIDENCE_ABSENT,
    /* The next heartbeat shows that the answer with the launch was lost. */
    TW_EVIDENCE_LAUNCH_LOST,
    /* The worker is in a later incarnation than the one that the attempt could run in. */
    TW_EVIDENCE_NEW_INCARNATION,
    /* The worker's lease has surely expired. */
    TW_EVIDENCE_LEASE_EXPIRED,
    /* The cloud says that the machine is gone. */
    TW_EVIDENCE_MACHINE_RETURNED,
    /* No launch of it was sent. */
    TW_EVIDENCE_NOT_LAUNCHED,
    /* The job's first record was refused, so nothing of the job was launched. */
    TW_EVIDENCE_NOT_RECORDED,
    /* It was placed in this pass, and its gang found no room. */
    TW_EVIDENCE_PLACEMENT_UNDONE,
    /* This node no longer leads, and decides nothing any more. */
    TW_EVIDENCE_TERM_ENDED
} tw_termination_evidence;
enum { TW_EVIDENCE_KINDS = TW_EVIDENCE_TERM_ENDED + 1 };

/* The evidence, and what it rests on. */
typedef struct {
    tw_termination_evidence evidence;
    const tw_wire_heartbeat *heartbeat; /* of the machine; NULL: the evidence is no message */
    const tw_wire_task *reported;       /* the exited task in the heartbeat; NULL: none */
    bool answers_command;               /* the heartbeat came in an answer to direct commands */
} tw_attempt_termination;

/* The evidence's name in log lines and counters; a constant. */
const char *tw_termination_evidence_name(tw_termination_evidence evidence);

/* Terminates the attempt if the evidence holds for it: its amounts are free, and its task may be
 * placed again unless it is done. Returns whether the evidence held. After TW_EVIDENCE_EXITED the
 * placement stays in the machine's list, since the machine may still name it, and the caller marks
 * the job as changed once it knows what becomes of it. With all other evidence the placement is
 * freed and the job is marked here. */
bool tw_attempt_terminate(tw_core *core, tw_placement *placed,
                          const tw_attempt_termination *termination);

/* The same with evidence that rests on no message. */
bool tw_attempt_terminate_on(tw_core *core, tw_placement *placed, tw_termination_evidence evidence);

/* Whether the exit of the task, which a heartbeat of the machine names, is the end of the attempt:
 * it may be older than another launch of the same attempt there. */
bool tw_attempt_exit_is_final(const tw_placement *placed, const tw_wire_task *reported);

/* Whether a launch of the attempt was sent, or an earlier leader may have sent one. */
bool tw_attempt_was_launched(const tw_placement *placed);

/* Whether the heartbeat, which doesn't name the attempt, shows that the answer with its launch was
 * lost. answers_command: the heartbeat came in an answer to direct commands. */
bool tw_launch_was_lost(const tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                        bool answers_command);

/* The machine answered a direct launch of the attempt. refused: it did not carry it out. */
void tw_launch_note_response(tw_placement *placed, bool refused);

/* Whether a direct launch of the attempt may still be carried out, for the first or for a second
 * time. Until that is excluded, the machine must not be told to forget the attempt, or it would
 * start it again. */
bool tw_launch_may_repeat(const tw_core *core, const tw_placement *placed);

/* Frees the placement of an attempt that is terminated and that its machine has forgotten. */
void tw_attempt_forget(tw_core *core, tw_placement *placed);

#endif
