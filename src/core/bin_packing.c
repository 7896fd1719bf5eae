/* The bins of a plan: one for each existing, requested or planned machine, with its free capacity,
 * into which tasks are packed. Used by all modules of the autoscaler, and by gang_reservation.c for
 * the capacity that it expects to become free. */
#include "core/autoscaler_int.h"
#include <stdbool.h>

#define INITIAL_BIN_CAPACITY 64
#define INITIAL_POSITION_CAPACITY 16

bool tw_bin_fits(const tw_bin *bin, const tw_wire_job *spec) {
    return !bin->blocked_by_probation &&
           tw_capacity_fits(&bin->free_capacity, spec, TW_CAPACITY_ROUNDING);
}

bool tw_bin_is_allowed(const tw_bin *bin, const tw_wire_job *spec, uint32_t types) {
    return (types & (1U << bin->type_index)) && (!bin->spot || spec->spot) &&
           (!*spec->zone || !strcmp(spec->zone, bin->zone));
}

bool tw_bin_leaves_gpus(const tw_core *core, const tw_bin *bin, const tw_wire_job *spec,
                        bool may_use_gpu_machines) {
    const tw_wire_machine_type *type = &core->machine_types[bin->type_index].listed;
    /* Tasks of an incomplete gang do not run yet and use no GPUs, so the cores and the memory for
     * those GPUs must be kept. */
    const tw_capacity available = {bin->free_capacity.cores + bin->held_for_incomplete_gangs.cores,
                                   bin->free_capacity.gpus + bin->held_for_incomplete_gangs.gpus,
                                   bin->free_capacity.memory_gb +
                                       bin->held_for_incomplete_gangs.memory_gb};
    return may_use_gpu_machines ||
           tw_constraints_capacity_leaves_gpus_usable(core, type, &available, spec, 1);
}

/* Returns whether the bin's machine accepts only one task at a time. */
static bool is_on_probation(const tw_bin *bin) {
    return bin->machine && bin->machine->on_probation;
}

int tw_bin_count_tasks(const tw_core *core, const tw_bin *bin, const tw_wire_job *spec,
                       bool may_use_gpu_machines, int limit) {
    if (limit <= 0 || !tw_bin_fits(bin, spec)) return 0;
    const double in_capacity = tw_capacity_task_count(&bin->free_capacity, spec);
    int most = in_capacity < limit ? (int)fmax(1, in_capacity) : limit;
    if (is_on_probation(bin)) most = 1;
    /* Each task leaves less for the machine's GPUs: fits tasks leave enough, most + 1 do not fit.
     */
    int fits = 0;
    while (fits < most) {
        const int middle = fits + (most - fits + 1) / 2;
        tw_bin filled = *bin;
        filled.free_capacity.cores -= (middle - 1) * spec->cores;
        filled.free_capacity.gpus -= (middle - 1) * spec->gpus;
        filled.free_capacity.memory_gb -= (middle - 1) * spec->memory_gb;
        if (tw_bin_leaves_gpus(core, &filled, spec, may_use_gpu_machines))
            fits = middle;
        else
            most = middle - 1;
    }
    return fits;
}

void tw_bins_mark_incomplete_gang(tw_bins *bins, const tw_wire_job *spec) {
    for (int i = 0; i < bins->count; i++)
        for (int task = 0; task < bins->items[i].packed_count; task++)
            tw_capacity_add_task(&bins->items[i].held_for_incomplete_gangs, spec);
}

void tw_bin_add_task(tw_bin *bin, const tw_wire_job *spec) {
    tw_capacity_subtract_task(&bin->free_capacity, spec);
    if (is_on_probation(bin)) bin->blocked_by_probation = true;
}

void tw_bin_remove_task(tw_bin *bin, const tw_wire_job *spec) {
    tw_capacity_add_task(&bin->free_capacity, spec);
    bin->blocked_by_probation = bin->machine && !tw_quarantine_allows(bin->machine);
}

tw_bin *tw_bins_add(tw_bins *bins) {
    bins->items = tw_grow(bins->items, bins->count, &bins->capacity, INITIAL_BIN_CAPACITY,
                          sizeof *bins->items);
    return &bins->items[bins->count++];
}

/* Position at which the search for tasks of a shape and zone begins. The free capacity of the bins
 * only decreases while jobs are packed, so later jobs of the same shape and zone skip the bins that
 * are too full or not allowed. */
struct tw_search_position {
    tw_task_shape shape;
    const char *zone;
    int first_bin;     /* index in the bins */
    int first_release; /* index in the expected releases */
};

/* Returns whether the position applies to the job's task shape and zone. */
static bool position_matches(const struct tw_search_position *position, const tw_job *job) {
    const tw_task_shape shape = tw_task_shape_of(job);
    return tw_task_shapes_are_equal(&position->shape, &shape) &&
           !strcmp(position->zone, job->spec.zone);
}

/* Returns the position for the job's task shape and zone. If there is none, adds one with both
 * indices at 0. The pointer is valid until the next call. */
static struct tw_search_position *find_or_add_position(tw_bins *bins, const tw_job *job) {
    for (int i = 0; i < bins->position_count; i++)
        if (position_matches(&bins->positions[i], job)) return &bins->positions[i];
    bins->positions = tw_grow(bins->positions, bins->position_count, &bins->position_capacity,
                              INITIAL_POSITION_CAPACITY, sizeof *bins->positions);
    struct tw_search_position *position = &bins->positions[bins->position_count++];
    *position = (struct tw_search_position){.shape = tw_task_shape_of(job), .zone = job->spec.zone};
    return position;
}

/* Returns whether a task of the job may be packed into the bin. */
static bool bin_is_useful(const tw_bin *bin, const tw_job *job) {
    return !bin->considered_by_passes && tw_bin_is_allowed(bin, &job->spec, job->type_mask) &&
           tw_bin_fits(bin, &job->spec);
}

int tw_bins_first_useful(tw_bins *bins, const tw_job *job) {
    struct tw_search_position *position = find_or_add_position(bins, job);
    while (position->first_bin < bins->count &&
           !bin_is_useful(&bins->items[position->first_bin], job))
        position->first_bin++;
    return position->first_bin;
}

int *tw_bins_release_cursor(tw_bins *bins, const tw_job *job) {
    return &find_or_add_position(bins, job)->first_release;
}

void tw_bins_free(tw_bins *bins) {
    free(bins->positions);
    free(bins->items);
}
