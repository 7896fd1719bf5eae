/* Checks of machines. Each machine is asked for its open epoch in the new term before anything is
 * decided about it. Likewise a machine that registers is asked for its boot id before it gets an
 * epoch, so that a later boot can't accept the minimum epoch of this one.
 *
 * Invariant: a machine of the table leaves quarantine only by its own answer in this term. */
#include "standby/standby_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Base of the ids of this node's own requests to the table. Ids of clients' requests are lower. */
#define OWN_REQUEST_BASE ((uint64_t)1 << 62)

static double retry_s(const tw_standby *standby) {
    return standby->settings.lease_s * TW_STANDBY_RETRY_RATIO;
}

static tw_standby_machine_check *find_machine(const tw_standby *standby, const char *name) {
    tw_standby_machine_check *found;
    HASH_FIND_STR(standby->machines, name, found);
    return found;
}

static tw_standby_machine_check *get_or_add_machine(tw_standby *standby, const char *name) {
    tw_standby_machine_check *machine = find_machine(standby, name);
    if (machine) return machine;
    machine = tw_standby_alloc(sizeof *machine);
    strncpy(machine->name, name, sizeof machine->name - 1);
    HASH_ADD_STR(standby->machines, name, machine);
    return machine;
}

static void remove_machine(tw_standby *standby, tw_standby_machine_check *machine) {
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

static void ask_machine(tw_standby *standby, tw_standby_machine_check *machine) {
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
        if (recorded.state != TW_SHARDS_ABSENT)
            ask_machine(standby, get_or_add_machine(standby, recorded.machine));
    }
}

int tw_standby_unanswered_count(const tw_standby *standby) {
    int unanswered = 0;
    for (const tw_standby_machine_check *each = standby->machines; each; each = each->hh.next)
        unanswered += each->step == TW_STANDBY_CHECK_ASKED;
    return unanswered;
}

/* ---- registrations ---- */

static tw_standby_registration *add_registration(tw_standby *standby,
                                                 const tw_shards_request *request) {
    tw_standby_registration *registration = tw_standby_alloc(sizeof *registration);
    registration->request = *request;
    registration->request.machines = NULL;
    registration->request.machine_count = 0;
    registration->since = standby->now;
    DL_APPEND(standby->registrations, registration);
    return registration;
}

static void pass_to_table(tw_standby *standby, tw_standby_registration *registration,
                          uint64_t boot_id) {
    registration->passed = true;
    registration->boot_id = boot_id;
    tw_shards_add_request(standby->table, standby->now, &registration->request);
}

bool tw_standby_handle_registration(tw_standby *standby, const tw_shards_request *request) {
    const bool is_registration = request->kind == TW_SHARDS_ADD || request->kind == TW_SHARDS_RENEW;
    if (!is_registration || !standby->leads || !request->machine[0]) return false;
    tw_standby_registration *registration = add_registration(standby, request);
    /* A table that does not decide yet handles the request later; its answer leads to the check of
     * the machine. */
    if (tw_shards_is_deciding(standby->table))
        ask_machine(standby, get_or_add_machine(standby, request->machine));
    else
        pass_to_table(standby, registration, 0);
    return true;
}

/* Passes the registrations that wait for the machine's boot id to the table. boot_id 0: the machine
 * has not answered and is asked again. Returns whether there were any. */
static bool pass_registrations(tw_standby *standby, const char *name, uint64_t boot_id) {
    tw_standby_registration *each;
    tw_standby_registration *next;
    bool passed = false;
    DL_FOREACH_SAFE(standby->registrations, each, next) {
        if (each->passed || strcmp(each->request.machine, name) != 0) continue;
        pass_to_table(standby, each, boot_id);
        passed = true;
    }
    return passed;
}

/* Requests the next epoch for a machine that has restarted or has lost its open epoch. */
static void request_renewal(tw_standby *standby, tw_standby_machine_check *machine,
                            uint64_t boot_id) {
    tw_shards_request request = {.kind = TW_SHARDS_RENEW,
                                 .id = OWN_REQUEST_BASE + ++standby->last_request};
    strcpy(request.machine, machine->name);
    machine->step = TW_STANDBY_CHECK_RENEWING;
    pass_to_table(standby, add_registration(standby, &request), boot_id);
}

static void handle_registration_verdict(tw_standby *standby,
                                        const tw_standby_registration *answered,
                                        const tw_shards_effect *answer) {
    if (answer->verdict == TW_SHARDS_OK) {
        tw_standby_machine_check *machine = get_or_add_machine(standby, answered->request.machine);
        if (answered->boot_id)
            start_machine(standby, machine, answered->boot_id, answer->minimum_epoch);
        else
            ask_machine(standby, machine);
        return;
    }
    tw_standby_machine_check *refused = find_machine(standby, answered->request.machine);
    if (refused && refused->step == TW_STANDBY_CHECK_RENEWING) ask_machine(standby, refused);
}

bool tw_standby_handle_registration_result(tw_standby *standby, const tw_shards_effect *answer) {
    tw_standby_registration *found;
    DL_FOREACH(standby->registrations, found) {
        if (found->passed && found->request.id == answer->id) break;
    }
    if (!found) return answer->id >= OWN_REQUEST_BASE;
    DL_DELETE(standby->registrations, found);
    if (standby->leads) handle_registration_verdict(standby, found, answer);
    free(found);
    return answer->id >= OWN_REQUEST_BASE;
}

/* ---- answers of machines ---- */

static void log_quarantine(tw_standby *standby, tw_standby_machine_check *machine,
                           const char *reason) {
    if (!machine->quarantine_logged)
        tw_standby_log_event(standby, "event=machine_quarantined machine=%s reason=%s",
                             machine->name, reason);
    machine->quarantine_logged = true;
}

static void confirm_machine(tw_standby *standby, tw_standby_machine_check *machine) {
    if (machine->quarantine_logged)
        tw_standby_log_event(standby, "event=machine_confirmed machine=%s", machine->name);
    tw_shards_confirm_machine(standby->table, standby->now, machine->name);
    remove_machine(standby, machine);
}

static void record_difference(tw_standby *standby, const tw_shards_notification *recorded,
                              const tw_standby_machine_status *answer) {
    standby->differences++;
    tw_standby_log_event(
        standby, "event=machine_differed machine=%s recorded=%s epoch=%lu open=%lu started=%d",
        recorded->machine, tw_shards_state_name(recorded->state), (unsigned long)recorded->epoch,
        (unsigned long)answer->newest_epoch, answer->started);
}

/* Compares the machine's open epoch with its record. */
static void compare_with_record(tw_standby *standby, tw_standby_machine_check *machine,
                                const tw_standby_machine_status *answer) {
    const tw_shards_notification recorded = tw_shards_machine_named(standby->table, machine->name);
    const bool was_open = recorded.state == TW_SHARDS_OPEN || recorded.state == TW_SHARDS_DRAINING;
    if (recorded.state == TW_SHARDS_ABSENT) {
        remove_machine(standby, machine);
    } else if (answer->newest_epoch > recorded.epoch) {
        record_difference(standby, &recorded, answer);
        log_quarantine(standby, machine, "ahead_of_records");
    } else if (!answer->started || (was_open && answer->newest_epoch < recorded.epoch)) {
        record_difference(standby, &recorded, answer);
        request_renewal(standby, machine, answer->boot_id);
    } else {
        confirm_machine(standby, machine);
    }
}

/* Confirms a machine that has accepted the minimum epoch sent to it. A delayed answer of an earlier
 * boot does not count. */
static void handle_start_status(tw_standby *standby, tw_standby_machine_check *machine,
                                const tw_standby_machine_status *answer) {
    const bool same_boot = answer->boot_id == machine->boot_id;
    if (same_boot && answer->started)
        confirm_machine(standby, machine);
    else if (!same_boot)
        ask_machine(standby, machine); /* the answer is of a later or an earlier boot */
}

static void handle_machine_status(tw_standby *standby, tw_standby_machine_check *machine,
                                  const tw_standby_machine_status *answer) {
    if (answer->term > standby->lease.token) {
        log_quarantine(standby, machine, "later_term");
    } else if (machine->step == TW_STANDBY_CHECK_STARTING) {
        handle_start_status(standby, machine, answer);
    } else if (machine->step == TW_STANDBY_CHECK_ASKED &&
               !pass_registrations(standby, machine->name, answer->boot_id)) {
        compare_with_record(standby, machine, answer);
    }
}

void tw_standby_handle_machine_status(tw_standby *standby, double now, const char *name,
                                      uint64_t term, const tw_standby_machine_status *answer) {
    tw_standby_update_authority(standby, now);
    tw_standby_machine_check *machine = find_machine(standby, name);
    /* While the table is being reloaded there is no record to compare with: the answer is dropped,
     * and tw_standby_check_tick repeats the question. */
    const bool readable = standby->leads && tw_shards_is_ready(standby->table);
    if (answer && machine && readable && term == standby->lease.token)
        handle_machine_status(standby, machine, answer);
    tw_standby_step(standby);
}

/* ---- repetition and time limits ---- */

/* Passes registrations to the table without a boot id when the machine has not answered in time, so
 * that the client need not wait. The machine is recorded, and is started once it answers. */
static void pass_overdue_registrations(tw_standby *standby) {
    tw_standby_registration *each;
    tw_standby_registration *next;
    DL_FOREACH_SAFE(standby->registrations, each, next) {
        const bool overdue =
            standby->now >= each->since + standby->settings.lease_s * TW_STANDBY_CHECK_RATIO;
        if (!each->passed && overdue) pass_to_table(standby, each, 0);
    }
}

void tw_standby_check_tick(tw_standby *standby) {
    tw_standby_machine_check *each;
    tw_standby_machine_check *next;
    if (!standby->leads || !tw_shards_is_ready(standby->table)) return;
    pass_overdue_registrations(standby);
    HASH_ITER(hh, standby->machines, each, next) {
        if (each->step == TW_STANDBY_CHECK_RENEWING || standby->now < each->next_at) continue;
        const tw_shards_notification recorded = tw_shards_machine_named(standby->table, each->name);
        if (recorded.state == TW_SHARDS_ABSENT && !standby->registrations)
            remove_machine(standby, each); /* the machine has been removed from the table */
        else
            send_command(standby, each);
    }
}

void tw_standby_log_unanswered(tw_standby *standby) {
    for (tw_standby_machine_check *each = standby->machines; each; each = each->hh.next)
        if (each->step == TW_STANDBY_CHECK_ASKED) log_quarantine(standby, each, "silent");
}

void tw_standby_check_clear(tw_standby *standby) {
    tw_standby_machine_check *each;
    tw_standby_machine_check *next_machine;
    tw_standby_registration *registration;
    tw_standby_registration *next_registration;
    HASH_ITER(hh, standby->machines, each, next_machine) { remove_machine(standby, each); }
    DL_FOREACH_SAFE(standby->registrations, registration, next_registration) {
        /* The table itself refuses the registrations that were passed to it before. */
        if (!registration->passed)
            tw_shards_add_request(standby->table, standby->now, &registration->request);
        DL_DELETE(standby->registrations, registration);
        free(registration);
    }
}
