/* A controller alone with a state service, a cloud, one machine and a node that only answers
 * heartbeats; whatever it says to them is printed. */
#ifndef TW_TEST_CONVERSATION_H
#define TW_TEST_CONVERSATION_H
#include "controller.h"
#include "world.h"

#define CONVERSATION_MAX_WAITING 64

/* A call of the controller that has not been answered yet. */
typedef struct {
    uint64_t id;
    double at; /* when it is answered */
    int to;
    const char *method;
    char *path, *body;
} waiting_call;

typedef struct {
    tw_simulator_controller *controller;
    tw_simulator_world world;
    double now, next_tick;
    waiting_call waiting[CONVERSATION_MAX_WAITING];
    int count;
    uint64_t last_conn;
    char heartbeat[TW_SIMULATOR_MESSAGE]; /* the last one shown, without its times */
} conversation;

/* The state service is empty, the machine is up. */
void conversation_around(conversation *c);
/* The node starts: with a core in this process, or (not NULL) one that a tw_core_server runs. */
void conversation_begin(conversation *c, const char *program);
void conversation_end(conversation *c);
/* Lets time pass up to that moment. */
void conversation_until(conversation *c, double moment);
/* Asks the node, port TW_PORT_*. */
void conversation_ask(conversation *c, int port, const char *method, const char *path,
                      const char *body);
/* Writes a key of the state service, before the node starts. */
void conversation_put(conversation *c, const char *key, const char *value);
void conversation_show_record(const conversation *c, const char *key);

#endif
