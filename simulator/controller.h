/* Interface to the controller of a node, which is either a core in this process or a core of
 * another version in a separate process. Both kinds produce the same effects for the same inputs.
 */
#ifndef TW_SIMULATOR_CONTROLLER_H
#define TW_SIMULATOR_CONTROLLER_H
#include "core/core.h"

/* The readings of a node's clocks. */
typedef struct {
    double steady, wall; /* in seconds, as tw_core_new takes them */
} tw_simulator_clock;

typedef struct tw_simulator_controller tw_simulator_controller;

typedef struct {
    void (*request)(tw_simulator_controller *controller, tw_simulator_clock clock, int port,
                    uint64_t conn, const char *method, const char *path, const char *body);
    void (*response)(tw_simulator_controller *controller, tw_simulator_clock clock, uint64_t call,
                     int status, const char *body);
    void (*tick)(tw_simulator_controller *controller, tw_simulator_clock clock);
    /* Returns the next pending effect, or NULL if there is none. The caller frees the effect with
     * tw_core_effect_free. */
    tw_effect *(*next)(tw_simulator_controller *controller);
    uint64_t (*steps)(const tw_simulator_controller *controller);
    double (*tick_s)(const tw_simulator_controller *controller);
    void (*free)(tw_simulator_controller *controller);
} tw_simulator_controller_methods;

struct tw_simulator_controller {
    const tw_simulator_controller_methods *methods;
    const char *failure;   /* why the controller failed; NULL if it works */
    bool failure_reported; /* the failure has been reported to the judge */
};

/* Parameters for creating a controller. */
typedef struct {
    const char *settings; /* text of the platform's settings file */
    /* memory limit that replaces the one in the settings; 0 keeps the one in the settings */
    double mem_mb;
    uint64_t seed;
    tw_simulator_clock clock;
} tw_simulator_controller_options;

/* Creates a controller that is a core in this process. Returns NULL, with a message in `error`, if
 * the settings are invalid. Free it with its `free` method. */
tw_simulator_controller *
tw_simulator_new_local_controller(const tw_simulator_controller_options *options, char *error,
                                  size_t error_size);
/* Creates a controller that is a core in a separate process. `program` is a tw_core_server
 * (tools/core_server), built from the version that the node is to run. Returns NULL, with a message
 * in `error`, if the process can't be started. Free it with its `free` method. */
tw_simulator_controller *
tw_simulator_new_remote_controller(const char *program,
                                   const tw_simulator_controller_options *options, char *error,
                                   size_t error_size);

#endif
