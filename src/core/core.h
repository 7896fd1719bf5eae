/* The scheduler's core: a deterministic state machine. The caller passes inputs (requests,
 * responses, ticks) with the current time and retrieves effects (replies to send, calls to
 * make). The core does no I/O, reads no clock and has no global state, so that tests can drive
 * it through any order of events.
 *
 * now is the time of the steady clock in seconds, which never goes back; wall is the time of
 * day in seconds. A core must be used by one thread at a time. */
#ifndef TW_CORE_H
#define TW_CORE_H
#include "config/config.h"
#include "context/context.h"
#include <stddef.h>
#include <stdint.h>

typedef struct tw_core tw_core;

/* The port on which a request arrived. */
typedef enum {
    /* from users, workers and health checks */
    TW_PORT_API,
    TW_PORT_PEER /* from other nodes */
} tw_port;

/* Creates the core of a node that has no state and does not lead. config: not owned, must outlive
 * the core. seed: seeds the random number generator. The caller frees the core with tw_core_free.
 */
tw_core *tw_core_new(const tw_config *config, uint64_t seed, double now, double wall);
/* Frees the core with all effects that were not taken. */
void tw_core_free(tw_core *core);

/* ---- inputs ---- */

/* Handles a request. The core answers it with a reply effect for the connection. path may
 * contain a query. body: length bytes. No string is kept after the call. */
void tw_core_request(tw_core *core, double now, double wall, tw_port port, uint64_t connection,
                     const char *method, const char *path, const char *body, size_t length);
/* Handles the response to the call with this id. status 0: no response arrived. Responses to
 * unknown calls are ignored. */
void tw_core_response(tw_core *core, double now, double wall, uint64_t call, int status,
                      const char *body, size_t length);
/* Does the timed work. The caller calls it every tw_core_tick_s. */
void tw_core_tick(tw_core *core, double now, double wall);
/* Returns the interval between ticks, in seconds, that the core needs. */
double tw_core_tick_s(const tw_core *core);

/* ---- effects ---- */

/* Returns the next effect, which the caller frees with tw_core_effect_free. NULL: there are
 * none. The caller must take all effects after each input. */
tw_effect *tw_core_next_effect(tw_core *core);
void tw_core_effect_free(tw_effect *effect);

/* ---- statistics for tests and logs ---- */

/* Returns the number of machines and bins examined so far in passes over the fleet, a
 * measure of their cost. */
uint64_t tw_core_pass_steps(const tw_core *core);
/* Returns the number of broken invariants so far. Each is a bug in this program and is logged
 * as an error. */
uint64_t tw_core_broken_invariants(const tw_core *core);
/* Logs at `debug` how many attempts were terminated on which evidence, how many inputs were
 * rejected, and how many invariants were broken. */
void tw_core_log_counters(const tw_core *core);

#endif
