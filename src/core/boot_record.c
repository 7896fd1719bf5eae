/* How the latest boots of machines went, of each type and of each offer. A type that is granted,
 * paid for and never up must not be rented for ever because it is the cheapest: each round of
 * rentals of which no machine comes up makes the next ones cost more in the choice of an offer
 * (capacity_offers.c). As the last failure ages that cost falls again, so that the type is tried
 * again; while such a trial is under way others are chosen at the whole cost. The first machine
 * that comes up ends it.
 *
 * Rounds are counted, not machines: of many that are rented at once some are always late, and a
 * machine that was rented before a failure was noticed says nothing new. */
#include "core/autoscaler_int.h"
#include "core/workers.h"
#include <stdbool.h>

#define TOLERATED_FAILED_ROUNDS 1 /* a single machine may be late */
#define MAX_FAILED_ROUNDS 16
#define COST_FACTOR_PER_ROUND 4        /* for each round beyond these */
#define FAILURE_DECAY_STARTUP_TIMES 20 /* startup times until a failure counts 1/e */

/* How many rounds have failed in a row, less as the last one ages. */
static double aged_rounds(const tw_boot_record *record, double now, double startup_s) {
    return record->failed_rounds *
           exp(-(now - record->failed_at) / (FAILURE_DECAY_STARTUP_TIMES * startup_s));
}

double tw_boot_record_cost_factor(const tw_boot_record *record, double now, double startup_s) {
    if (record->failed_rounds <= TOLERATED_FAILED_ROUNDS) return 1;
    const double rounds = record->expected_machine_count ? record->failed_rounds
                                                         : aged_rounds(record, now, startup_s);
    return pow(COST_FACTOR_PER_ROUND, fmax(0, rounds - TOLERATED_FAILED_ROUNDS));
}

/* Notes that a machine that was rented at rented_at did not come up in time. Returns whether that
 * is a new round. */
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
