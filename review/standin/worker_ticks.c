/* Lets the workers of a case count their `tick` from `first_tick` on. tests/soak/workers.c and
 * tests/soak/stand_ins.c are built with these functions in place of those of simulator/. */
#include "review.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define DECIMAL 10
#define DIGITS 24

char *tw_review_next_heartbeat(const tw_simulator_world *world, tw_simulator_worker *worker);
int tw_review_handle_request(tw_simulator_world *world, tw_simulator_worker *worker,
                             const char *method, const char *path, const char *body, char **out);

/* Adds first_tick to the tick of a report. Takes ownership of the text. */
static char *shift_tick(char *text) {
    static const char name[] = "\"tick\":";
    char *found = strstr(text, name);
    if (!found || !review.first_tick) return text;
    char *digits = found + sizeof name - 1;
    char *rest;
    const uint64_t tick = review.first_tick + strtoull(digits, &rest, DECIMAL);
    const size_t size = strlen(text) + DIGITS;
    char *shifted = tw_simulator_allocate(size);
    snprintf(shifted, size, "%.*s%" PRIu64 "%s", (int)(digits - text), text, tick, rest);
    free(text);
    return shifted;
}

char *tw_review_next_heartbeat(const tw_simulator_world *world, tw_simulator_worker *worker) {
    return shift_tick(tw_simulator_worker_next_heartbeat(world, worker));
}

int tw_review_handle_request(tw_simulator_world *world, tw_simulator_worker *worker,
                             const char *method, const char *path, const char *body, char **out) {
    const int status = tw_simulator_worker_handle_request(world, worker, method, path, body, out);
    *out = shift_tick(*out);
    return status;
}
