/* Starts and ends controllers as processes on loopback for tests, and writes their settings files.
 * If a log directory is given, each controller writes its log to a file in it. */
#ifndef TW_LOOPBACK_PROCESSES_H
#define TW_LOOPBACK_PROCESSES_H
#include <stdbool.h>
#include <stdio.h>
#include <sys/types.h>

#define TW_LOOPBACK_MAX_NODES 8
#define TW_LOOPBACK_TEXT_SIZE 64

/* Peer in a controller's settings. */
typedef struct {
    char name[TW_LOOPBACK_TEXT_SIZE], zone[TW_LOOPBACK_TEXT_SIZE], endpoint[TW_LOOPBACK_TEXT_SIZE];
} tw_loopback_peer;

/* Content of a controller's settings file. Addresses are `IP:PORT`. */
typedef struct {
    char name[TW_LOOPBACK_TEXT_SIZE], zone[TW_LOOPBACK_TEXT_SIZE];
    char api_address[TW_LOOPBACK_TEXT_SIZE], peer_address[TW_LOOPBACK_TEXT_SIZE];
    char cloud[TW_LOOPBACK_TEXT_SIZE], state[TW_LOOPBACK_TEXT_SIZE];
    tw_loopback_peer peers[TW_LOOPBACK_MAX_NODES];
    int peer_count;
    const char *teams; /* TOML text of the teams and objectives */
    double report_s, lease_s, cancel_s, gang_wait_s, gang_peer_s, list_lag_s;
    int sockets;
} tw_loopback_settings;

typedef struct {
    const char *program;
    const char *log_directory;        /* NULL: controllers log to the test's standard error */
    pid_t pid[TW_LOOPBACK_MAX_NODES]; /* 0: not started, or killed */
} tw_loopback_nodes;

/* Writes the settings file. Returns false if it cannot be written. */
bool tw_loopback_write_settings(const char *path, const tw_loopback_settings *settings);

/* Starts a controller with the settings file. The kernel kills it when the test exits. Returns
 * false if no process can be started. */
bool tw_loopback_start_node(tw_loopback_nodes *nodes, int node, const char *settings_path);

/* Kills a controller with SIGKILL and waits until it has exited. Returns false if it does not run.
 */
bool tw_loopback_kill_node(tw_loopback_nodes *nodes, int node);

/* Sends a signal to a controller. Does nothing if it does not run. */
void tw_loopback_signal_node(const tw_loopback_nodes *nodes, int node, int signal_number);

/* Reaps a controller that has exited without tw_loopback_kill_node() or tw_loopback_stop_nodes(),
 * and stores its wait status. Returns its number, or -1 if there is none. The controller counts as
 * not started afterwards. */
int tw_loopback_reap_node(tw_loopback_nodes *nodes, int *status);

/* Sends SIGTERM to all running controllers and waits until they have exited. Returns false and
 * prints the reason if one does not exit with code 0. */
bool tw_loopback_stop_nodes(tw_loopback_nodes *nodes);

#endif
