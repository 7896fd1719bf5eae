/* Machines are asked under the new term what they have open, before anything is decided about them.
 * The same way a machine that registers is asked for its life before it gets an epoch, so that its
 * floor can't be taken for that of a later life. */
#include "standby/standby_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Numbers of our own requests to the table; clients' are below. */
#define OWN_REQUEST ((uint64_t)1 << 62)

static double retry_s(const tw_standby *standby) { return standby->settings.lease_s * RETRY_RATIO; }

static checked *find(const tw_standby *standby, const char *name) {
    checked *found;
    HASH_FIND_STR(standby->machines, name, found);
    return found;
}

static checked *make(tw_standby *standby, const char *name) {
    checked *made = find(standby, name);
    if (made) return made;
    made = tw_standby_alloc(sizeof *made);
    strncpy(made->name, name, sizeof made->name - 1);
    HASH_ADD_STR(standby->machines, name, made);
    return made;
}

static void forget(tw_standby *standby, checked *machine) {
    HASH_DEL(standby->machines, machine);
    free(machine);
}

/* ---- orders ---- */

static void send_order(tw_standby *standby, checked *machine) {
    const bool starts = machine->step == MACHINE_STARTING;
    tw_standby_effect *effect =
        tw_standby_emit(standby, starts ? TW_STANDBY_START : TW_STANDBY_CHECK);
    strcpy(effect->machine, machine->name);
    effect->term = standby->lease.token;
    effect->life = starts ? machine->life : 0;
    effect->floor = starts ? machine->floor : 0;
    machine->next_at = standby->now + retry_s(standby);
}

static void ask(tw_standby *standby, checked *machine) {
    machine->step = MACHINE_ASKED;
    send_order(standby, machine);
}

static void start_machine(tw_standby *standby, checked *machine, uint64_t life, uint64_t floor) {
    machine->step = MACHINE_STARTING;
    machine->life = life;
    machine->floor = floor;
    send_order(standby, machine);
}

void tw_standby_check_all(tw_standby *standby) {
    standby->checking_since = standby->now;
    for (int i = 0; i < tw_shards_machines(standby->table); i++) {
        const tw_shards_tell recorded = tw_shards_machine(standby->table, i);
        if (recorded.state != TW_SHARDS_ABSENT) ask(standby, make(standby, recorded.machine));
    }
}

int tw_standby_check_waiting(const tw_standby *standby) {
    int waiting = 0;
    for (const checked *each = standby->machines; each; each = each->hh.next)
        waiting += each->step == MACHINE_ASKED;
    return waiting;
}

/* ---- registrations ---- */

static registration *keep(tw_standby *standby, const tw_shards_request *request) {
    registration *kept = tw_standby_alloc(sizeof *kept);
    kept->request = *request;
    kept->request.machines = NULL;
    kept->request.nmachines = 0;
    kept->since = standby->now;
    DL_APPEND(standby->registrations, kept);
    return kept;
}

static void pass_to_table(tw_standby *standby, registration *kept, uint64_t life) {
    kept->passed = 1;
    kept->life = life;
    tw_shards_request_in(standby->table, standby->now, &kept->request);
}

bool tw_standby_register(tw_standby *standby, const tw_shards_request *request) {
    const bool comes = request->kind == TW_SHARDS_ADD || request->kind == TW_SHARDS_RENEW;
    if (!comes || !standby->leads || !request->machine[0]) return false;
    registration *kept = keep(standby, request);
    /* A table that is being read takes the request up later; the machine is asked after that. */
    if (tw_shards_deciding(standby->table))
        ask(standby, make(standby, request->machine));
    else
        pass_to_table(standby, kept, 0);
    return true;
}

/* What waits for the machine's life; 0: it has not answered, and is asked further. */
static bool pass_waiting(tw_standby *standby, const char *name, uint64_t life) {
    registration *each;
    registration *after;
    bool passed = false;
    DL_FOREACH_SAFE(standby->registrations, each, after) {
        if (each->passed || strcmp(each->request.machine, name) != 0) continue;
        pass_to_table(standby, each, life);
        passed = true;
    }
    return passed;
}

/* A machine that has restarted, or lost what it had open, needs the next epoch. */
static void renew(tw_standby *standby, checked *machine, uint64_t life) {
    tw_shards_request request = {.kind = TW_SHARDS_RENEW,
                                 .id = OWN_REQUEST + ++standby->last_request};
    strcpy(request.machine, machine->name);
    machine->step = MACHINE_RENEWING;
    pass_to_table(standby, keep(standby, &request), life);
}

static void take_floor(tw_standby *standby, const registration *answered,
                       const tw_shards_effect *answer) {
    if (answer->verdict == TW_SHARDS_OK) {
        checked *machine = make(standby, answered->request.machine);
        if (answered->life)
            start_machine(standby, machine, answered->life, answer->floor);
        else
            ask(standby, machine);
        return;
    }
    checked *refused = find(standby, answered->request.machine);
    if (refused && refused->step == MACHINE_RENEWING) ask(standby, refused);
}

bool tw_standby_registered(tw_standby *standby, const tw_shards_effect *answer) {
    registration *found;
    DL_FOREACH(standby->registrations, found) {
        if (found->passed && found->request.id == answer->id) break;
    }
    if (!found) return answer->id >= OWN_REQUEST;
    DL_DELETE(standby->registrations, found);
    if (standby->leads) take_floor(standby, found, answer);
    free(found);
    return answer->id >= OWN_REQUEST;
}

/* ---- answers ---- */

static void hold_back(tw_standby *standby, checked *machine, const char *reason) {
    if (!machine->announced)
        tw_standby_say(standby, "event=machine_quarantined machine=%s reason=%s", machine->name,
                       reason);
    machine->announced = 1;
}

static void accept(tw_standby *standby, checked *machine) {
    if (machine->announced)
        tw_standby_say(standby, "event=machine_confirmed machine=%s", machine->name);
    tw_shards_checked(standby->table, standby->now, machine->name);
    forget(standby, machine);
}

static void differs(tw_standby *standby, const tw_shards_tell *recorded,
                    const tw_standby_machine *answer) {
    standby->differences++;
    tw_standby_say(standby,
                   "event=machine_differed machine=%s recorded=%s epoch=%lu open=%lu started=%d",
                   recorded->machine, tw_shards_state_name(recorded->state),
                   (unsigned long)recorded->epoch, (unsigned long)answer->newest, answer->started);
}

/* Compares what the machine has open with its record. */
static void compare_with_record(tw_standby *standby, checked *machine,
                                const tw_standby_machine *answer) {
    const tw_shards_tell recorded = tw_shards_machine_named(standby->table, machine->name);
    const bool was_open = recorded.state == TW_SHARDS_OPEN || recorded.state == TW_SHARDS_DRAINING;
    if (recorded.state == TW_SHARDS_ABSENT) {
        forget(standby, machine);
    } else if (answer->newest > recorded.epoch) {
        differs(standby, &recorded, answer);
        hold_back(standby, machine, "ahead_of_records");
    } else if (!answer->started || (was_open && answer->newest < recorded.epoch)) {
        differs(standby, &recorded, answer);
        renew(standby, machine, answer->life);
    } else {
        accept(standby, machine);
    }
}

/* Whether the machine has the floor that was sent; an answer of an earlier life of it, which may
 * come late, says nothing of this one. */
static void take_started(tw_standby *standby, checked *machine, const tw_standby_machine *answer) {
    const bool same_life = answer->life == machine->life;
    if (same_life && answer->started)
        accept(standby, machine);
    else if (!same_life)
        ask(standby, machine); /* it has restarted since, or had before */
}

static void take_answer(tw_standby *standby, checked *machine, const tw_standby_machine *answer) {
    if (answer->term > standby->lease.token) {
        hold_back(standby, machine, "later_term");
    } else if (machine->step == MACHINE_STARTING) {
        take_started(standby, machine, answer);
    } else if (machine->step == MACHINE_ASKED &&
               !pass_waiting(standby, machine->name, answer->life)) {
        compare_with_record(standby, machine, answer);
    }
}

void tw_standby_machine_answered(tw_standby *standby, double now, const char *name, uint64_t term,
                                 const tw_standby_machine *answer) {
    tw_standby_refresh(standby, now);
    checked *machine = find(standby, name);
    /* While the table is read again there is nothing to compare with: the machine is asked again.
     */
    const bool readable = standby->leads && tw_shards_ready(standby->table);
    if (answer && machine && readable && term == standby->lease.token)
        take_answer(standby, machine, answer);
    tw_standby_step(standby);
}

/* ---- time ---- */

/* A client is not kept waiting for a machine that is silent: the machine is recorded, and started
 * once it answers. */
static void pass_overdue(tw_standby *standby) {
    registration *each;
    registration *after;
    DL_FOREACH_SAFE(standby->registrations, each, after) {
        const bool overdue = standby->now >= each->since + standby->settings.lease_s * CHECK_RATIO;
        if (!each->passed && overdue) pass_to_table(standby, each, 0);
    }
}

void tw_standby_check_tick(tw_standby *standby) {
    checked *each;
    checked *after;
    if (!standby->leads || !tw_shards_ready(standby->table)) return;
    pass_overdue(standby);
    HASH_ITER(hh, standby->machines, each, after) {
        if (each->step == MACHINE_RENEWING || standby->now < each->next_at) continue;
        const tw_shards_tell recorded = tw_shards_machine_named(standby->table, each->name);
        if (recorded.state == TW_SHARDS_ABSENT && !standby->registrations)
            forget(standby, each); /* it was removed meanwhile */
        else
            send_order(standby, each);
    }
}

void tw_standby_check_silent(tw_standby *standby) {
    for (checked *each = standby->machines; each; each = each->hh.next)
        if (each->step == MACHINE_ASKED) hold_back(standby, each, "silent");
}

void tw_standby_check_clear(tw_standby *standby) {
    checked *each;
    checked *next_machine;
    registration *kept;
    registration *next_kept;
    HASH_ITER(hh, standby->machines, each, next_machine) { forget(standby, each); }
    DL_FOREACH_SAFE(standby->registrations, kept, next_kept) {
        /* those that the table has it refuses itself */
        if (!kept->passed) tw_shards_request_in(standby->table, standby->now, &kept->request);
        DL_DELETE(standby->registrations, kept);
        free(kept);
    }
}
