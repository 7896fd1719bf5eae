/* Records failed boots for each machine type and each capacity offer. A type whose machines are
 * granted and paid for but never boot must not be rented indefinitely because it is the cheapest.
 * Each round of rentals in which no machine boots therefore increases the type's cost in the choice
 * of an offer (capacity_offers.c). The increase decays with the age of the last failure, so that
 * the type is tried again; while machines of such a trial are expected, the full increase applies
 * to further rentals. The first machine that boots resets the record.
 *
 * The record counts rounds instead of machines: some of many machines that are rented at the same
 * time are always late, and a failure of a machine that was rented before the last failure was
 * recorded gives no new information. */
#include "core/autoscaler_int.h"
#include "core/workers.h"
#include <stdbool.h>

#define TOLERATED_FAILED_ROUNDS 1 /* they don't increase the cost: a single machine may be late */
#define MAX_FAILED_ROUNDS 16
#define COST_FACTOR_PER_ROUND 4 /* for each further failed round */
/* Time in which a failure's weight decays to 1/e, as a multiple of the startup time. */
#define FAILURE_DECAY_STARTUP_TIMES 20

/* Returns the number of consecutive failed rounds, reduced exponentially with the age of the last
 * one. */
static double decayed_failed_rounds(const tw_boot_record *record, double now, double startup_s) {
    return record->failed_rounds *
           exp(-(now - record->failed_at) / (FAILURE_DECAY_STARTUP_TIMES * startup_s));
}

double tw_boot_record_cost_factor(const tw_boot_record *record, double now, double startup_s) {
    if (record->failed_rounds <= TOLERATED_FAILED_ROUNDS) return 1;
    const double rounds = record->expected_machine_count
                              ? record->failed_rounds
                              : decayed_failed_rounds(record, now, startup_s);
    return pow(COST_FACTOR_PER_ROUND, fmax(0, rounds - TOLERATED_FAILED_ROUNDS));
}

/* Records that a machine that was rented at rented_at did not boot in time. Returns whether this
 * failure counts as a new round. */
static bool note_failure(tw_boot_record *record, double rented_at, double now) {
    if (record->failed_rounds && rented_at <= record->failed_at) return false;
    if (record->failed_rounds < MAX_FAILED_ROUNDS) record->failed_rounds++;
    record->failed_at = now;
    return true;
}

void tw_boot_records_note_failure(tw_core *core, const tw_machine *machine) {
    tw_machine_type *type = &core->machine_types[machine->type_index];
    tw_capacity_offer *offer = tw_offer_of_machine(core, machine);
    const double now = core->context.now;
    if (offer) note_failure(&offer->boots, machine->known_since, now);
    if (!note_failure(&type->boots, machine->known_since, now)) return;
    if (type->boots.failed_rounds > TOLERATED_FAILED_ROUNDS)
        tw_log_info("event=boots_failed machine_type=%s zone=%s rounds=%d", machine->type_name,
                    machine->zone, type->boots.failed_rounds);
}

void tw_boot_records_note_up(tw_core *core, const tw_machine *machine) {
    tw_capacity_offer *offer = tw_offer_of_machine(core, machine);
    core->machine_types[machine->type_index].boots.failed_rounds = 0;
    if (offer) offer->boots.failed_rounds = 0;
}
