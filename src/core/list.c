/* The cloud's list of the machines that we hold, read page by page. */
#include "core/provision_int.h"

#define PAGE 500
#define PATH_SIZE 200
#define TIMEOUT_S 5
#define RETRY_S 1
#define OF_LAG 0.5 /* between two readings, of the time that the list lags behind */

enum { RENTAL_UP = 1, RENTAL_FAILED = 2 }; /* tw_wire_rented_machine.stage */

static void take_machine(tw_core *core, const tw_wire_rented_machine *listed) {
    const expiring *released;
    HASH_FIND_STR(core->released, listed->id, released);
    if (released) return;
    machine *machine = tw_machine(core, listed->id);
    if (!machine) {
        machine = tw_machine_new(core, listed->id);
        machine->born = core->now - listed->rented_s;
    }
    machine->listed = 1;
    machine->missing = 0;
    machine->loaner = listed->spot;
    if (!*machine->yard) tw_machine_at(core, machine, listed->zone);
    if (strcmp(machine->rack_name, listed->machine_type) != 0)
        snprintf(machine->rack_name, sizeof machine->rack_name, "%s", listed->machine_type);
    if (machine->rack < 0) machine->rack = tw_rack_index(core, listed->machine_type);
    if (!*machine->endpoint && *listed->endpoint)
        snprintf(machine->endpoint, sizeof machine->endpoint, "%s", listed->endpoint);
    if (listed->state == RENTAL_FAILED) machine->failed = 1;
    /* After a change of leader we need not wait until the worker has found us. */
    if (listed->state == RENTAL_UP && !machine->contact && !machine->probed) {
        machine->probed = 1;
        tw_want_probe(core, machine);
    }
}

static void begin_list(tw_core *core) {
    machine *machine;
    struct machine *next;
    HASH_ITER(hh, core->machines, machine, next) machine->missing++;
}

void tw_list_page(tw_core *core, int status, const char *body, size_t length) {
    tw_wire_rented_machine *listed;
    int count;
    int more;
    core->list_busy = 0;
    if (status != TW_HTTP_OK ||
        tw_wire_rented_machines_parse(&listed, &count, &more, body, length)) {
        core->next_list = core->now + RETRY_S;
        return;
    }
    const int first_page = !*core->list_after;
    if (first_page) begin_list(core);
    for (int i = 0; i < count; i++) take_machine(core, &listed[i]);
    if (more && count) {
        snprintf(core->list_after, sizeof core->list_after, "%s", listed[count - 1].id);
        core->next_list = core->now;
    } else {
        *core->list_after = 0;
        core->lists++;
        core->next_list = core->now + fmax(1, OF_LAG * core->cf->list_lag_s);
    }
    free(listed);
}

void tw_list_tick(tw_core *core) {
    if (core->list_busy || core->now < core->next_list || !tw_take(core, &core->cloud, 1)) return;
    char path[PATH_SIZE];
    const int length = snprintf(path, sizeof path, "/rentals?most=%d", PAGE);
    if (*core->list_after)
        snprintf(path + length, sizeof path - (size_t)length, "&since=%s", core->list_after);
    core->list_busy = 1;
    tw_call(core, K_LIST, TW_TO_CLOUD, core->cf->cloud, "GET", path, NULL, TIMEOUT_S);
}
