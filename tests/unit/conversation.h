/* A controller alone with a state service, a cloud, one machine and a node that only answers
 * heartbeats; whatever it says to them is printed. */
#ifndef TW_TEST_CONVERSATION_H
#define TW_TEST_CONVERSATION_H
#include "controller.h"
#include "world.h"

#define TW_TEST_CONVERSATION_MAX_CALLS 64

/* A call of the controller that has not been answered yet. */
typedef struct {
    uint64_t id;
    double answer_at; /* when it is answered */
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
    char last_printed_heartbeat[TW_SIMULATOR_MESSAGE_SIZE]; /* the last one shown, without its times
                                                             */
} tw_test_conversation;

/* The state service is empty, the machine is up. */
void tw_test_conversation_init(tw_test_conversation *conversation);
/* The node starts: with a core in this process, or (not NULL) one that a tw_core_server runs. */
void tw_test_conversation_start_node(tw_test_conversation *conversation, const char *program);
void tw_test_conversation_free(tw_test_conversation *conversation);
/* Lets time pass up to that moment. */
void tw_test_conversation_advance_to(tw_test_conversation *conversation, double moment);
/* Asks the node, port TW_PORT_*. */
void tw_test_conversation_request(tw_test_conversation *conversation, int port, const char *method,
                                  const char *path, const char *body);
/* Writes a key of the state service, before the node starts. */
void tw_test_conversation_write_key(tw_test_conversation *conversation, const char *key,
                                    const char *value);
void tw_test_conversation_print_record(const tw_test_conversation *conversation, const char *key);

#endif
