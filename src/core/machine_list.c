/* Reads the cloud's list of rented machines page by page. The list lags behind by list_lag_s. It
 * contains machines that an earlier leader rented, and marks failed ones. Lost machines are missing
 * from it: machine->consecutive_lists_missing counts the consecutive lists without a machine. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define PAGE_SIZE 500 /* machines per page */
#define PATH_SIZE 200
#define TIMEOUT_S 5
#define RETRY_S 1
#define INTERVAL_LAG_SHARE 0.5 /* interval between two lists, as a share of the list's lag */

/* Updates a machine from its entry in the list, and adds it if it is unknown. */
static void update_listed_machine(tw_core *core, const tw_wire_rented_machine *listed) {
    if (tw_expiring_names_find(core->returned_machines, listed->id)) return;
    tw_machine *machine = tw_machine_find(core, listed->id);
    if (!machine) {
        machine = tw_machine_new(core, listed->id);
        machine->known_since = core->context.now - listed->rented_s;
    }
    machine->listed = true;
    machine->consecutive_lists_missing = 0;
    machine->spot = listed->spot;
    if (!*machine->zone) tw_machine_set_zone(core, machine, listed->zone);
    if (strcmp(machine->type_name, listed->machine_type) != 0)
        snprintf(machine->type_name, sizeof machine->type_name, "%s", listed->machine_type);
    if (machine->type_index < 0)
        machine->type_index = tw_machine_type_index(core, listed->machine_type);
    if (!*machine->endpoint && *listed->endpoint)
        snprintf(machine->endpoint, sizeof machine->endpoint, "%s", listed->endpoint);
    if (listed->state == TW_RENTED_FAILED) machine->failed = true;
    /* After a failover, the worker is probed for its state instead of waiting until it finds the
     * new leader. */
    if (listed->state == TW_RENTED_RUNNING && !machine->last_contact_at &&
        !machine->unconfirmed_probes) {
        machine->unconfirmed_probes = 1;
        tw_machine_request_probe(core, machine);
    }
}

/* Increments consecutive_lists_missing of all machines; update_listed_machine resets it for listed
 * ones. */
static void begin_listing(tw_core *core) {
    tw_machine *machine;
    struct tw_machine *next;
    HASH_ITER(hh, core->machines, machine, next) { machine->consecutive_lists_missing++; }
}

void tw_machine_list_page(tw_core *core, int status, const char *body, size_t length) {
    tw_wire_rented_machine *listed;
    int count;
    int more;
    core->machine_list_in_flight = false;
    if (status != TW_HTTP_OK ||
        tw_wire_rented_machines_parse(&listed, &count, &more, body, length)) {
        core->next_machine_list_at = core->context.now + RETRY_S;
        return;
    }
    const bool first_page = !*core->machine_list_cursor;
    if (first_page) begin_listing(core);
    for (int i = 0; i < count; i++) update_listed_machine(core, &listed[i]);
    if (more && count) {
        snprintf(core->machine_list_cursor, sizeof core->machine_list_cursor, "%s",
                 listed[count - 1].id);
        core->next_machine_list_at = core->context.now;
    } else {
        *core->machine_list_cursor = 0;
        core->machine_lists_read++;
        core->next_machine_list_at =
            core->context.now + fmax(1, INTERVAL_LAG_SHARE * core->context.config->list_lag_s);
    }
    free(listed);
}

void tw_machine_list_tick(tw_core *core) {
    if (core->machine_list_in_flight || core->context.now < core->next_machine_list_at ||
        !tw_rate_limiter_try_acquire(&core->cloud_limiter, core->context.now, 1))
        return;
    char path[PATH_SIZE];
    const int length = snprintf(path, sizeof path, "/rentals?most=%d", PAGE_SIZE);
    if (*core->machine_list_cursor)
        snprintf(path + length, sizeof path - (size_t)length, "&since=%s",
                 core->machine_list_cursor);
    core->machine_list_in_flight = true;
    tw_call_send(&core->context, TW_CALL_LIST_MACHINES, TW_TO_CLOUD, core->context.config->cloud,
                 "GET", path, NULL, TIMEOUT_S);
}
