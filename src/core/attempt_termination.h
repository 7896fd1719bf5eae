/* Termination of attempts (attempt_termination.c): decides from evidence, of one of the kinds
 * below, whether an attempt to run a task can no longer run.
 *
 * Every code path that ends an attempt uses this module, and no other module frees a placement or
 * makes a task available for another attempt. Invariant: an attempt that may still run, or may
 * still be started by a message in flight, is never terminated. The proof is in docs/design.md,
 * "Why each rule holds". Private to this package. */
#ifndef TW_CORE_ATTEMPT_TERMINATION_H
#define TW_CORE_ATTEMPT_TERMINATION_H
#include "core/core.h"
#include "wire/wire.h"
#include <stdbool.h>

typedef struct tw_placement tw_placement;

/* The evidence that an attempt can no longer run. */
typedef enum {
    /* The machine reports that the attempt has exited. */
    TW_EVIDENCE_EXITED,
    /* A heartbeat doesn't list the attempt, and no message in flight can still start it. */
    TW_EVIDENCE_ABSENT,
    /* The next ordinary heartbeat shows that the answer with the launch was lost. */
    TW_EVIDENCE_LAUNCH_LOST,
    /* The worker is in a later incarnation than any in which the attempt could run. */
    TW_EVIDENCE_NEW_INCARNATION,
    /* The worker's lease has certainly expired. */
    TW_EVIDENCE_LEASE_EXPIRED,
    /* The cloud has confirmed the return of the machine. */
    TW_EVIDENCE_MACHINE_RETURNED,
    /* No launch of the attempt was sent. */
    TW_EVIDENCE_NOT_LAUNCHED,
    /* The store refused the job's first record, so no task of the job was launched. */
    TW_EVIDENCE_NOT_RECORDED,
    /* The attempt was placed in this pass, and its gang could not be placed as a whole. */
    TW_EVIDENCE_PLACEMENT_UNDONE,
    /* This node is no longer the leader and decides nothing about the task. */
    TW_EVIDENCE_TERM_ENDED
} tw_termination_evidence;
enum { TW_EVIDENCE_KINDS = TW_EVIDENCE_TERM_ENDED + 1 };

/* Evidence for a termination, with the message that it is based on. */
typedef struct {
    tw_termination_evidence evidence;
    const tw_wire_heartbeat *heartbeat; /* the machine's heartbeat; NULL: not based on a message */
    const tw_wire_task *reported;       /* the exited task in the heartbeat; NULL: none */
    bool answers_command;               /* the heartbeat is the response to direct commands */
} tw_attempt_termination;

/* Returns the name of the evidence in log lines and counters, as a constant string. */
const char *tw_termination_evidence_name(tw_termination_evidence evidence);

/* Terminates the attempt if the evidence holds for it: frees its resources, and allows its task to
 * be placed again unless the task is done. Returns whether the evidence held.
 *
 * After TW_EVIDENCE_EXITED the placement stays in the machine's list, since the machine may still
 * report the attempt, and the caller marks the job as changed after updating its state. For all
 * other kinds of evidence this function frees the placement and, unless the placement was undone or
 * the term has ended, marks the job as changed. */
bool tw_attempt_terminate(tw_core *core, tw_placement *placed,
                          const tw_attempt_termination *termination);

/* Calls tw_attempt_terminate with evidence that is not based on a message. */
bool tw_attempt_terminate_on(tw_core *core, tw_placement *placed, tw_termination_evidence evidence);

/* Returns whether the exit that the machine's heartbeat reports ends the attempt. It doesn't if
 * the same attempt may have been launched on the machine again after the exit. */
bool tw_attempt_exit_is_final(const tw_placement *placed, const tw_wire_task *reported);

/* Returns whether a launch of the attempt was sent, or an earlier leader may have sent one. */
bool tw_attempt_was_launched(const tw_placement *placed);

/* Returns whether the heartbeat, which doesn't list the attempt, shows that the answer with its
 * launch was lost. answers_command: the heartbeat is the response to direct commands. */
bool tw_launch_was_lost(const tw_placement *placed, const tw_wire_heartbeat *heartbeat,
                        bool answers_command);

/* Records that the machine responded to a direct launch of the attempt. refused: the machine did
 * not execute the launch. */
void tw_launch_note_response(tw_placement *placed, bool refused);

/* Returns whether the machine may still execute a direct launch of the attempt, for the first or a
 * second time. While this is possible, the machine must not be sent a command to forget the
 * attempt, because the late launch would start it again. */
bool tw_launch_may_repeat(const tw_core *core, const tw_placement *placed);

/* Frees the placement of a terminated attempt that its machine no longer lists. */
void tw_attempt_forget(tw_core *core, tw_placement *placed);

#endif
