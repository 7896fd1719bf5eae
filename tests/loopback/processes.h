/* Controllers as real processes on loopback, for tests: their settings, starts and ends. Each has a
 * settings file and, where a directory is named for it, a log in that directory. */
#ifndef TW_LOOPBACK_PROCESSES_H
#define TW_LOOPBACK_PROCESSES_H
#include <stdbool.h>
#include <stdio.h>
#include <sys/types.h>

#define TW_LOOPBACK_MAX_NODES 8
#define TW_LOOPBACK_TEXT_SIZE 64

/* Another controller, as one of them knows it. */
typedef struct {
    char name[TW_LOOPBACK_TEXT_SIZE], zone[TW_LOOPBACK_TEXT_SIZE], endpoint[TW_LOOPBACK_TEXT_SIZE];
} tw_loopback_peer;

/* What one controller's settings file says. Addresses are `IP:PORT`. */
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
    const char *log_directory;        /* NULL: logs go where the test's standard error goes */
    pid_t pid[TW_LOOPBACK_MAX_NODES]; /* 0: not started, or killed */
} tw_loopback_nodes;

/* Writes the settings file; false if it can't be written. */
bool tw_loopback_write_settings(const char *path, const tw_loopback_settings *settings);

/* Starts a controller with that settings file; it ends when the test does. False if no
 * process can be started. */
bool tw_loopback_start_node(tw_loopback_nodes *nodes, int node, const char *settings_path);

/* Kills a controller without notice and waits for its end; false if it doesn't run. */
bool tw_loopback_kill_node(tw_loopback_nodes *nodes, int node);

/* Sends a signal to a controller that runs. */
void tw_loopback_signal_node(const tw_loopback_nodes *nodes, int node, int signal_number);

/* A controller that ended by itself, with its wait status; -1: none did. It counts as not started
 * from then on. */
int tw_loopback_reap_node(tw_loopback_nodes *nodes, int *status);

/* Asks all that run to end and waits for them; false, with the reason printed, if one ended badly.
 */
bool tw_loopback_stop_nodes(tw_loopback_nodes *nodes);

#endif
