/* The bins of a plan: one for each machine that is there or coming, with its free amounts, from
 * which tasks are taken. Used by all modules of the autoscaler, and by gang_reservation.c for the
 * room that it expects. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define INITIAL_BIN_CAPACITY 64
#define INITIAL_START_CAPACITY 16

bool tw_bin_fits(const tw_bin *bin, const tw_wire_job *spec) {
    return !bin->is_full && tw_capacity_fits(&bin->free_capacity, spec, TW_CAPACITY_ROUNDING);
}

bool tw_bin_is_allowed(const tw_bin *bin, const tw_wire_job *spec, uint32_t types) {
    return (types & (1U << bin->type_index)) && (!bin->spot || spec->spot) &&
           (!*spec->zone || !strcmp(spec->zone, bin->zone));
}

bool tw_bin_leaves_gpus(const tw_core *core, const tw_bin *bin, const tw_wire_job *spec,
                        bool any_machine) {
    const tw_wire_machine_type *type = &core->machine_types[bin->type_index].listed;
    /* While a gang waits for the rest of its room, its tasks use no GPUs, so the cores are kept. */
    const tw_capacity available = {bin->free_capacity.cores + bin->held_for_incomplete_gangs.cores,
                                   bin->free_capacity.gpus + bin->held_for_incomplete_gangs.gpus,
                                   bin->free_capacity.memory_gb +
                                       bin->held_for_incomplete_gangs.memory_gb};
    return any_machine || tw_constraints_room_leaves_gpus(core, type, &available, spec, 1);
}

void tw_bins_mark_incomplete_gang(tw_bins *bins, const tw_wire_job *spec) {
    for (int i = 0; i < bins->count; i++)
        for (int task = 0; task < bins->items[i].packed_count; task++)
            tw_capacity_give_task(&bins->items[i].held_for_incomplete_gangs, spec);
}

/* Whether the bin's machine takes one task at a time. */
static bool is_on_probation(const tw_bin *bin) {
    return bin->machine && bin->machine->on_probation;
}

void tw_bin_add_task(tw_bin *bin, const tw_wire_job *spec) {
    tw_capacity_take_task(&bin->free_capacity, spec);
    if (is_on_probation(bin)) bin->is_full = true;
}

void tw_bin_remove_task(tw_bin *bin, const tw_wire_job *spec) {
    tw_capacity_give_task(&bin->free_capacity, spec);
    bin->is_full = bin->machine && !tw_quarantine_allows(bin->machine);
}

tw_bin *tw_bins_add(tw_bins *bins) {
    bins->items = tw_grow(bins->items, bins->count, &bins->capacity, INITIAL_BIN_CAPACITY,
                          sizeof *bins->items);
    return &bins->items[bins->count++];
}

/* Where packing begins for tasks of a shape and zone. Room in bins only gets less while jobs are
 * packed, so all later jobs alike pass over the bins that are too full or not allowed. */
struct tw_bin_start {
    tw_task_shape shape;
    const char *zone;
    int first_bin;     /* in the bins */
    int first_release; /* in the expected releases */
};

/* Whether the start is for tasks like the job's. */
static bool start_matches(const struct tw_bin_start *start, const tw_job *job) {
    const tw_task_shape shape = tw_task_shape_of(job);
    return tw_task_shapes_are_equal(&start->shape, &shape) && !strcmp(start->zone, job->spec.zone);
}

/* The start for the job's tasks, added at 0 if there is none. Valid until the next call. */
static struct tw_bin_start *find_or_add_start(tw_bins *bins, const tw_job *job) {
    for (int i = 0; i < bins->start_count; i++)
        if (start_matches(&bins->starts[i], job)) return &bins->starts[i];
    bins->starts = tw_grow(bins->starts, bins->start_count, &bins->start_capacity,
                           INITIAL_START_CAPACITY, sizeof *bins->starts);
    struct tw_bin_start *start = &bins->starts[bins->start_count++];
    *start = (struct tw_bin_start){.shape = tw_task_shape_of(job), .zone = job->spec.zone};
    return start;
}

/* Whether a task of the job may go into the bin. */
static bool bin_is_useful(const tw_bin *bin, const tw_job *job) {
    return !bin->considered_by_passes && tw_bin_is_allowed(bin, &job->spec, job->type_mask) &&
           tw_bin_fits(bin, &job->spec);
}

int tw_bins_first_useful(tw_bins *bins, const tw_job *job) {
    struct tw_bin_start *start = find_or_add_start(bins, job);
    while (start->first_bin < bins->count && !bin_is_useful(&bins->items[start->first_bin], job))
        start->first_bin++;
    return start->first_bin;
}

int *tw_bins_release_cursor(tw_bins *bins, const tw_job *job) {
    return &find_or_add_start(bins, job)->first_release;
}

void tw_bins_free(tw_bins *bins) {
    free(bins->starts);
    free(bins->items);
}
