/* Machines are asked under the new term what they have open, before anything is decided about them.
 * In the same way a machine that registers is asked for its boot id before it gets an epoch, so
 * that its minimum epoch can't be taken for that of a later boot.
 *
 * Invariant: a machine of the table leaves quarantine only by its own answer under this term. */
#include "standby/standby_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Numbers of our own requests to the table; clients' are below. */
#define OWN_REQUEST ((uint64_t)1 << 62)

static double retry_s(const tw_standby *standby) {
    return standby->settings.lease_s * TW_STANDBY_RETRY_RATIO;
}

static tw_standby_machine_check *find(const tw_standby *standby, const char *name) {
    tw_standby_machine_check *found;
    HASH_FIND_STR(standby->machines, name, found);
    return found;
}

static tw_standby_machine_check *make(tw_standby *standby, const char *name) {
    tw_standby_machine_check *made = find(standby, name);
    if (made) return made;
    made = tw_standby_alloc(sizeof *made);
    strncpy(made->name, name, sizeof made->name - 1);
    HASH_ADD_STR(standby->machines, name, made);
    return made;
}

static void forget(tw_standby *standby, tw_standby_machine_check *machine) {
    HASH_DEL(standby->machines, machine);
    free(machine);
}

/* ---- commands to machines ---- */

static void send_command(tw_standby *standby, tw_standby_machine_check *machine) {
    const bool starts = machine->step == TW_STANDBY_CHECK_STARTING;
    tw_standby_effect *effect =
        tw_standby_emit(standby, starts ? TW_STANDBY_START : TW_STANDBY_CHECK);
    strcpy(effect->machine, machine->name);
    effect->term = standby->lease.token;
    effect->boot_id = starts ? machine->boot_id : 0;
    effect->minimum_epoch = starts ? machine->minimum_epoch : 0;
    machine->next_at = standby->now + retry_s(standby);
}

static void ask(tw_standby *standby, tw_standby_machine_check *machine) {
    machine->step = TW_STANDBY_CHECK_ASKED;
    send_command(standby, machine);
}

static void start_machine(tw_standby *standby, tw_standby_machine_check *machine, uint64_t boot_id,
                          uint64_t minimum_epoch) {
    machine->step = TW_STANDBY_CHECK_STARTING;
    machine->boot_id = boot_id;
    machine->minimum_epoch = minimum_epoch;
    send_command(standby, machine);
}

void tw_standby_check_all(tw_standby *standby) {
    standby->checking_since = standby->now;
    for (int i = 0; i < tw_shards_machine_count(standby->table); i++) {
        const tw_shards_notification recorded = tw_shards_machine_at(standby->table, i);
        if (recorded.state != TW_SHARDS_ABSENT) ask(standby, make(standby, recorded.machine));
    }
}

int tw_standby_check_waiting(const tw_standby *standby) {
    int waiting = 0;
    for (const tw_standby_machine_check *each = standby->machines; each; each = each->hh.next)
        waiting += each->step == TW_STANDBY_CHECK_ASKED;
    return waiting;
}

/* ---- registrations ---- */

static tw_standby_registration *keep(tw_standby *standby, const tw_shards_request *request) {
    tw_standby_registration *kept = tw_standby_alloc(sizeof *kept);
    kept->request = *request;
    kept->request.machines = NULL;
    kept->request.machine_count = 0;
    kept->since = standby->now;
    DL_APPEND(standby->registrations, kept);
    return kept;
}

static void pass_to_table(tw_standby *standby, tw_standby_registration *kept, uint64_t boot_id) {
    kept->passed = true;
    kept->boot_id = boot_id;
    tw_shards_add_request(standby->table, standby->now, &kept->request);
}

bool tw_standby_register(tw_standby *standby, const tw_shards_request *request) {
    const bool comes = request->kind == TW_SHARDS_ADD || request->kind == TW_SHARDS_RENEW;
    if (!comes || !standby->leads || !request->machine[0]) return false;
    tw_standby_registration *kept = keep(standby, request);
    /* A table that is being read takes the request up later; the machine is asked after that. */
    if (tw_shards_is_deciding(standby->table))
        ask(standby, make(standby, request->machine));
    else
        pass_to_table(standby, kept, 0);
    return true;
}

/* Passes on the registrations that wait for the machine's boot id; 0: the machine has not answered,
 * and is asked further. Returns whether there were any. */
static bool pass_waiting(tw_standby *standby, const char *name, uint64_t boot_id) {
    tw_standby_registration *each;
    tw_standby_registration *after;
    bool passed = false;
    DL_FOREACH_SAFE(standby->registrations, each, after) {
        if (each->passed || strcmp(each->request.machine, name) != 0) continue;
        pass_to_table(standby, each, boot_id);
        passed = true;
    }
    return passed;
}

/* A machine that has restarted, or lost what it had open, needs the next epoch. */
static void renew(tw_standby *standby, tw_standby_machine_check *machine, uint64_t boot_id) {
    tw_shards_request request = {.kind = TW_SHARDS_RENEW,
                                 .id = OWN_REQUEST + ++standby->last_request};
    strcpy(request.machine, machine->name);
    machine->step = TW_STANDBY_CHECK_RENEWING;
    pass_to_table(standby, keep(standby, &request), boot_id);
}

static void take_minimum_epoch(tw_standby *standby, const tw_standby_registration *answered,
                               const tw_shards_effect *answer) {
    if (answer->verdict == TW_SHARDS_OK) {
        tw_standby_machine_check *machine = make(standby, answered->request.machine);
        if (answered->boot_id)
            start_machine(standby, machine, answered->boot_id, answer->minimum_epoch);
        else
            ask(standby, machine);
        return;
    }
    tw_standby_machine_check *refused = find(standby, answered->request.machine);
    if (refused && refused->step == TW_STANDBY_CHECK_RENEWING) ask(standby, refused);
}

bool tw_standby_registered(tw_standby *standby, const tw_shards_effect *answer) {
    tw_standby_registration *found;
    DL_FOREACH(standby->registrations, found) {
        if (found->passed && found->request.id == answer->id) break;
    }
    if (!found) return answer->id >= OWN_REQUEST;
    DL_DELETE(standby->registrations, found);
    if (standby->leads) take_minimum_epoch(standby, found, answer);
    free(found);
    return answer->id >= OWN_REQUEST;
}

/* ---- answers ---- */

static void quarantine(tw_standby *standby, tw_standby_machine_check *machine, const char *reason) {
    if (!machine->quarantine_logged)
        tw_standby_say(standby, "event=machine_quarantined machine=%s reason=%s", machine->name,
                       reason);
    machine->quarantine_logged = true;
}

static void accept(tw_standby *standby, tw_standby_machine_check *machine) {
    if (machine->quarantine_logged)
        tw_standby_say(standby, "event=machine_confirmed machine=%s", machine->name);
    tw_shards_confirm_machine(standby->table, standby->now, machine->name);
    forget(standby, machine);
}

static void differs(tw_standby *standby, const tw_shards_notification *recorded,
                    const tw_standby_machine_status *answer) {
    standby->differences++;
    tw_standby_say(standby,
                   "event=machine_differed machine=%s recorded=%s epoch=%lu open=%lu started=%d",
                   recorded->machine, tw_shards_state_name(recorded->state),
                   (unsigned long)recorded->epoch, (unsigned long)answer->newest, answer->started);
}

/* Compares what the machine has open with its record. */
static void compare_with_record(tw_standby *standby, tw_standby_machine_check *machine,
                                const tw_standby_machine_status *answer) {
    const tw_shards_notification recorded = tw_shards_machine_named(standby->table, machine->name);
    const bool was_open = recorded.state == TW_SHARDS_OPEN || recorded.state == TW_SHARDS_DRAINING;
    if (recorded.state == TW_SHARDS_ABSENT) {
        forget(standby, machine);
    } else if (answer->newest > recorded.epoch) {
        differs(standby, &recorded, answer);
        quarantine(standby, machine, "ahead_of_records");
    } else if (!answer->started || (was_open && answer->newest < recorded.epoch)) {
        differs(standby, &recorded, answer);
        renew(standby, machine, answer->boot_id);
    } else {
        accept(standby, machine);
    }
}

/* Ends the start of a machine that has the minimum epoch that was sent. An answer of an earlier
 * boot, which may come late, says nothing of this one. */
static void take_started(tw_standby *standby, tw_standby_machine_check *machine,
                         const tw_standby_machine_status *answer) {
    const bool same_boot = answer->boot_id == machine->boot_id;
    if (same_boot && answer->started)
        accept(standby, machine);
    else if (!same_boot)
        ask(standby, machine); /* it has restarted since, or had before */
}

static void take_answer(tw_standby *standby, tw_standby_machine_check *machine,
                        const tw_standby_machine_status *answer) {
    if (answer->term > standby->lease.token) {
        quarantine(standby, machine, "later_term");
    } else if (machine->step == TW_STANDBY_CHECK_STARTING) {
        take_started(standby, machine, answer);
    } else if (machine->step == TW_STANDBY_CHECK_ASKED &&
               !pass_waiting(standby, machine->name, answer->boot_id)) {
        compare_with_record(standby, machine, answer);
    }
}

void tw_standby_machine_answered(tw_standby *standby, double now, const char *name, uint64_t term,
                                 const tw_standby_machine_status *answer) {
    tw_standby_refresh(standby, now);
    tw_standby_machine_check *machine = find(standby, name);
    /* While the table is read again there is nothing to compare with: the machine is asked again.
     */
    const bool readable = standby->leads && tw_shards_is_ready(standby->table);
    if (answer && machine && readable && term == standby->lease.token)
        take_answer(standby, machine, answer);
    tw_standby_step(standby);
}

/* ---- time ---- */

/* A client is not kept waiting for a machine that is silent: the machine is recorded, and started
 * once it answers. */
static void pass_overdue(tw_standby *standby) {
    tw_standby_registration *each;
    tw_standby_registration *after;
    DL_FOREACH_SAFE(standby->registrations, each, after) {
        const bool overdue =
            standby->now >= each->since + standby->settings.lease_s * TW_STANDBY_CHECK_RATIO;
        if (!each->passed && overdue) pass_to_table(standby, each, 0);
    }
}

void tw_standby_check_tick(tw_standby *standby) {
    tw_standby_machine_check *each;
    tw_standby_machine_check *after;
    if (!standby->leads || !tw_shards_is_ready(standby->table)) return;
    pass_overdue(standby);
    HASH_ITER(hh, standby->machines, each, after) {
        if (each->step == TW_STANDBY_CHECK_RENEWING || standby->now < each->next_at) continue;
        const tw_shards_notification recorded = tw_shards_machine_named(standby->table, each->name);
        if (recorded.state == TW_SHARDS_ABSENT && !standby->registrations)
            forget(standby, each); /* it was removed meanwhile */
        else
            send_command(standby, each);
    }
}

void tw_standby_check_silent(tw_standby *standby) {
    for (tw_standby_machine_check *each = standby->machines; each; each = each->hh.next)
        if (each->step == TW_STANDBY_CHECK_ASKED) quarantine(standby, each, "silent");
}

void tw_standby_check_clear(tw_standby *standby) {
    tw_standby_machine_check *each;
    tw_standby_machine_check *next_machine;
    tw_standby_registration *kept;
    tw_standby_registration *next_kept;
    HASH_ITER(hh, standby->machines, each, next_machine) { forget(standby, each); }
    DL_FOREACH_SAFE(standby->registrations, kept, next_kept) {
        /* those that the table has it refuses itself */
        if (!kept->passed) tw_shards_add_request(standby->table, standby->now, &kept->request);
        DL_DELETE(standby->registrations, kept);
        free(kept);
    }
}
