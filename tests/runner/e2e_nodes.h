/* The processes of the end-to-end test: nodes of one fleet on loopback, each with settings of its
 * own in a file under /tmp. */
#ifndef TW_E2E_NODES_H
#define TW_E2E_NODES_H
#include <sys/types.h>

#define E2E_NODES 3
/* Ports after the run's base: nodes from 0, their peers' ports, then the stand-ins. */
#define E2E_PEER_PORTS 10
#define E2E_STAND_IN_PORTS 20

/* The stand-ins that nodes call, by the number of their port; each worker has one of its own. */
enum { E2E_STATE, E2E_CLOUD, E2E_WORKER };

typedef struct {
    const char *program;
    int base_port;
    pid_t pid[E2E_NODES]; /* 0: not started, or killed */
} e2e_nodes;

/* Starts a node once program and ports are set; returns 0 if it can't. */
int e2e_node_start(e2e_nodes *nodes, int node);

/* Kills a node without a warning and waits for its end; returns 0 if it doesn't run. */
int e2e_node_kill(e2e_nodes *nodes, int node);

/* Asks the nodes that run to end and waits for them; returns 0 and prints why if one ended badly.
 */
int e2e_nodes_stop(e2e_nodes *nodes);

#endif
