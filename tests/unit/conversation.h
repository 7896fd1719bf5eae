/* Runs one controller against a simulated state service, a cloud, one machine and a peer that only
 * answers peer heartbeats. Prints the controller's writes, replies and messages to peers and
 * workers. */
#ifndef TW_TEST_CONVERSATION_H
#define TW_TEST_CONVERSATION_H
#include "controller.h"
#include "world.h"

#define TW_TEST_CONVERSATION_MAX_CALLS 64

/* Call of the controller that has not been answered yet. Owns path and body. */
typedef struct {
    uint64_t id;
    double answer_at; /* time of the answer */
    int to;
    const char *method;
    char *path, *body;
} tw_test_pending_call;

typedef struct {
    tw_simulator_controller *controller;
    tw_simulator_world world;
    double now, next_tick;
    tw_test_pending_call pending_calls[TW_TEST_CONVERSATION_MAX_CALLS];
    int pending_call_count;
    uint64_t last_connection;
    char last_printed_heartbeat[TW_SIMULATOR_MESSAGE_SIZE]; /* without its times */
} tw_test_conversation;

/* Initializes the conversation with an empty state service and one machine that is up. */
void tw_test_conversation_init(tw_test_conversation *conversation);
/* Starts the controller. If program is NULL, its core runs in this process, else in a process of
 * the tw_core_server `program`. Exits if it cannot be started. */
void tw_test_conversation_start_node(tw_test_conversation *conversation, const char *program);
void tw_test_conversation_free(tw_test_conversation *conversation);
/* Advances the simulated time to the moment, with the answers and ticks that are due by then. */
void tw_test_conversation_advance_to(tw_test_conversation *conversation, double moment);
/* Sends a request to the controller's port TW_PORT_*. */
void tw_test_conversation_request(tw_test_conversation *conversation, int port, const char *method,
                                  const char *path, const char *body);
/* Writes a key to the state service. Call it before the controller starts. */
void tw_test_conversation_write_key(tw_test_conversation *conversation, const char *key,
                                    const char *value);
void tw_test_conversation_print_record(const tw_test_conversation *conversation, const char *key);

#endif
