/* Images on machines: which are cached or on their way, and how much fetches slow each other. */
#include "core/workers.h"
#include <stdbool.h>

#define MAX_IMAGES 64 /* remembered of a machine */

uint32_t tw_image_hash(const char *name) {
    const uint32_t offset_basis = 2166136261u;
    const uint32_t prime = 16777619u;
    uint32_t sum = offset_basis; /* FNV-1a */
    for (; *name; name++) sum = (sum ^ (unsigned char)*name) * prime;
    return sum;
}

tw_image *tw_image_find(const tw_machine *machine, const tw_job *job) {
    tw_image *each;
    DL_FOREACH(machine->images, each) {
        if (each->name_hash == job->image_hash && !strcmp(each->name, job->spec.image)) return each;
    }
    return NULL;
}

/* Images on their way to the machine, without `but`. */
int tw_image_count_fetches(const tw_core *core, const tw_machine *machine, const tw_image *but) {
    const tw_image *each;
    int count = 0;
    DL_FOREACH(machine->images, each) {
        count += each->ready_at > core->context.now && each != but;
    }
    return count;
}

/* How many times as long a fetch takes there beside those under way. */
double tw_image_fetch_slowdown(const tw_core *core, const tw_machine *machine,
                               const tw_image *but) {
    const double share =
        machine->type_index < 0 ? 0 : core->machine_types[machine->type_index].fetch_interference;
    return 1 + share * tw_image_count_fetches(core, machine, but);
}

/* Those that no longer fit beside the newest are dropped there, the least recently used first. */
static void drop_old(const tw_core *core, tw_machine *machine, const tw_image *newest) {
    const double room_gb = machine->type_index < 0
                               ? INFINITY
                               : core->machine_types[machine->type_index].listed.cache_gb;
    tw_image *each, *next;
    double total_gb = 0;
    int count = 0;
    DL_FOREACH_SAFE(machine->images, each, next) {
        total_gb += each->size_gb;
        count++;
        if (each != newest && (total_gb > room_gb || count > MAX_IMAGES)) {
            DL_DELETE(machine->images, each);
            free(each);
        }
    }
}

void tw_image_note_use(tw_core *core, tw_machine *machine, const tw_job *job, bool ready) {
    tw_image *found = tw_image_find(machine, job);
    if (!found) {
        found = tw_alloc(sizeof *found);
        snprintf(found->name, sizeof found->name, "%s", job->spec.image);
        found->name_hash = job->image_hash;
        found->size_gb = job->spec.image_gb;
        double s_per_gb =
            machine->type_index >= 0 ? core->machine_types[machine->type_index].fetch_s_per_gb : 1;
        if (machine->fetch_s_per_gb > 0) s_per_gb = machine->fetch_s_per_gb;
        found->ready_at = core->context.now + job->spec.image_gb * s_per_gb *
                                                  tw_image_fetch_slowdown(core, machine, NULL);
        DL_PREPEND(machine->images, found);
    } else if (machine->images != found) { /* most recently used first, as the machine keeps them */
        DL_DELETE(machine->images, found);
        DL_PREPEND(machine->images, found);
    }
    found->used_at = core->context.now;
    if (ready) found->ready_at = 0;
    drop_old(core, machine, found);
}
