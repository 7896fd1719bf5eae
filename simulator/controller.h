/* A node's controller behind a table of functions: a core in this process, or one of another
 * version in a process of its own. Both do the same for the same inputs. */
#ifndef TW_SIMULATOR_CONTROLLER_H
#define TW_SIMULATOR_CONTROLLER_H
#include "core/core.h"

/* A node's clocks. */
typedef struct {
    double steady, wall; /* as tw_core_new has them */
} tw_simulator_clock;

typedef struct tw_simulator_controller tw_simulator_controller;

typedef struct {
    void (*request)(tw_simulator_controller *controller, tw_simulator_clock clock, int port,
                    uint64_t conn, const char *method, const char *path, const char *body);
    void (*response)(tw_simulator_controller *controller, tw_simulator_clock clock, uint64_t call,
                     int status, const char *body);
    void (*tick)(tw_simulator_controller *controller, tw_simulator_clock clock);
    /* The next effect, or NULL; the caller frees it with tw_core_effect_free. */
    tw_effect *(*next)(tw_simulator_controller *controller);
    uint64_t (*steps)(const tw_simulator_controller *controller);
    double (*tick_s)(const tw_simulator_controller *controller);
    void (*free)(tw_simulator_controller *controller);
} tw_simulator_controller_methods;

struct tw_simulator_controller {
    const tw_simulator_controller_methods *methods;
    const char *failure;   /* why it has ended by itself; NULL: it goes on */
    bool failure_reported; /* to the judge: it ends once */
};

/* What a controller begins with. */
typedef struct {
    const char *settings; /* text of the platform's file */
    double mem_mb;        /* memory limit instead of that of the settings; 0: theirs */
    uint64_t seed;
    tw_simulator_clock clock;
} tw_simulator_controller_options;

/* A core in this process. NULL, with a text in `error`, if it can't begin. */
tw_simulator_controller *
tw_simulator_new_local_controller(const tw_simulator_controller_options *options, char *error,
                                  size_t error_size);
/* A core in a process of its own: `program` is a tw_core_server (tools/core_server), built with the
 * version that is to be played. NULL, with a text in `error`, if it can't begin. */
tw_simulator_controller *
tw_simulator_new_remote_controller(const char *program,
                                   const tw_simulator_controller_options *options, char *error,
                                   size_t error_size);

#endif
