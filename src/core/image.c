/* Tracks the images that are cached or being fetched on machines, and estimates how much fetches
 * slow each other down.
 *
 * The list of a machine's images is inferred from the tasks that use them, so it may differ from
 * the machine's actual cache. Invariant: a machine's list contains each image at most once, in the
 * order from most to least recently used. */
#include "core/workers.h"
#include <stdbool.h>

/* Maximum number of images in a machine's list. */
#define MAX_IMAGES 64

uint32_t tw_image_hash(const char *name) {
    const uint32_t offset_basis = 2166136261u;
    const uint32_t prime = 16777619u;
    uint32_t hash = offset_basis; /* FNV-1a */
    for (; *name; name++) hash = (hash ^ (unsigned char)*name) * prime;
    return hash;
}

tw_image *tw_image_find(const tw_machine *machine, const tw_job *job) {
    tw_image *image;
    DL_FOREACH(machine->images, image) {
        if (image->name_hash == job->image_hash && !strcmp(image->name, job->spec.image))
            return image;
    }
    return NULL;
}

int tw_image_count_fetches(const tw_core *core, const tw_machine *machine,
                           const tw_image *excluded) {
    const tw_image *image;
    int count = 0;
    DL_FOREACH(machine->images, image) {
        count += image->ready_at > core->context.now && image != excluded;
    }
    return count;
}

double tw_image_fetch_slowdown(const tw_core *core, const tw_machine *machine,
                               const tw_image *excluded) {
    const double interference =
        machine->type_index < 0 ? 0 : core->machine_types[machine->type_index].fetch_interference;
    return 1 + interference * tw_image_count_fetches(core, machine, excluded);
}

/* Removes the images that no longer fit into the machine's cache together with the newest one,
 * least recently used first, as the machine itself does. */
static void drop_least_recently_used(const tw_core *core, tw_machine *machine,
                                     const tw_image *newest) {
    const double cache_gb = machine->type_index < 0
                                ? INFINITY
                                : core->machine_types[machine->type_index].listed.cache_gb;
    tw_image *image, *next;
    double total_gb = 0;
    int count = 0;
    DL_FOREACH_SAFE(machine->images, image, next) {
        total_gb += image->size_gb;
        count++;
        if (image != newest && (total_gb > cache_gb || count > MAX_IMAGES)) {
            DL_DELETE(machine->images, image);
            free(image);
        }
    }
}

void tw_image_note_use(tw_core *core, tw_machine *machine, const tw_job *job, bool ready) {
    tw_image *image = tw_image_find(machine, job);
    if (!image) {
        image = tw_alloc(sizeof *image);
        snprintf(image->name, sizeof image->name, "%s", job->spec.image);
        image->name_hash = job->image_hash;
        image->size_gb = job->spec.image_gb;
        double s_per_gb =
            machine->type_index >= 0 ? core->machine_types[machine->type_index].fetch_s_per_gb : 1;
        if (machine->fetch_s_per_gb > 0) s_per_gb = machine->fetch_s_per_gb;
        image->ready_at = core->context.now + job->spec.image_gb * s_per_gb *
                                                  tw_image_fetch_slowdown(core, machine, NULL);
        DL_PREPEND(machine->images, image);
    } else if (machine->images != image) {
        DL_DELETE(machine->images, image);
        DL_PREPEND(machine->images, image);
    }
    image->used_at = core->context.now;
    if (ready) image->ready_at = 0;
    drop_least_recently_used(core, machine, image);
}
