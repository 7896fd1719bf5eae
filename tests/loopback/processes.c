#define _GNU_SOURCE
#include "processes.h"
#include <fcntl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PATH_SIZE 300
#define EXIT_NO_PROGRAM 127
#define LOG_MODE 0644
/* A controller has 60 s to exit; its state is polled every 20 ms. */
#define MAX_EXIT_POLLS 3000
#define EXIT_POLL_NS 20000000

bool tw_loopback_write_settings(const char *path, const tw_loopback_settings *settings) {
    FILE *file = fopen(path, "w");
    if (!file) return false;
    fprintf(file, "host_name = \"%s\"\nlocation = \"%s\"\napi_addr = \"%s\"\npeer_bind = \"%s\"\n",
            settings->name, settings->zone, settings->api_address, settings->peer_address);
    for (int i = 0; i < settings->peer_count; i++) {
        const tw_loopback_peer *peer = &settings->peers[i];
        fprintf(file, "[[known]]\nhost_name = \"%s\"\nlocation = \"%s\"\nendpoint = \"%s\"\n",
                peer->name, peer->zone, peer->endpoint);
    }
    fprintf(file,
            "[external]\ncloud = \"%s\"\nstate = \"%s\"\n[settings]\n%s"
            "[settings.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n",
            settings->cloud, settings->state, settings->teams, settings->report_s,
            settings->lease_s, settings->cancel_s);
    if (settings->gang_wait_s > 0)
        fprintf(file, "gang_wait_s = %g\ngang_peer_s = %g\n", settings->gang_wait_s,
                settings->gang_peer_s);
    fprintf(file,
            "[settings.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
            "[settings.cloud]\nrps = 20.0\nlist_lag_s = %g\n"
            "[settings.limits]\ncpu_share = 1.0\nmem_mb = 512.0\nsockets = %d\n",
            settings->list_lag_s, settings->sockets);
    return fclose(file) == 0;
}

/* Runs in the child process. Redirects the log to a file, makes the kernel kill this process when
 * the test exits or is killed, and executes the controller program. */
static void exec_controller(const tw_loopback_nodes *nodes, int node, const char *settings_path,
                            pid_t parent) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(EXIT_NO_PROGRAM);
    if (nodes->log_directory) {
        char path[PATH_SIZE];
        snprintf(path, sizeof path, "%s/node-%d.log", nodes->log_directory, node);
        const int log = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LOG_MODE);
        if (log >= 0) dup2(log, STDERR_FILENO);
    }
    execl(nodes->program, nodes->program, "--config", settings_path, (char *)NULL);
    _exit(EXIT_NO_PROGRAM);
}

bool tw_loopback_start_node(tw_loopback_nodes *nodes, int node, const char *settings_path) {
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid < 0) return false;
    if (pid == 0) exec_controller(nodes, node, settings_path, parent);
    nodes->pid[node] = pid;
    return true;
}

bool tw_loopback_kill_node(tw_loopback_nodes *nodes, int node) {
    if (!nodes->pid[node]) return false;
    kill(nodes->pid[node], SIGKILL);
    waitpid(nodes->pid[node], NULL, 0);
    nodes->pid[node] = 0;
    return true;
}

void tw_loopback_signal_node(const tw_loopback_nodes *nodes, int node, int signal_number) {
    if (nodes->pid[node]) kill(nodes->pid[node], signal_number);
}

int tw_loopback_reap_node(tw_loopback_nodes *nodes, int *status) {
    for (int node = 0; node < TW_LOOPBACK_MAX_NODES; node++) {
        if (!nodes->pid[node] || waitpid(nodes->pid[node], status, WNOHANG) <= 0) continue;
        nodes->pid[node] = 0;
        return node;
    }
    return -1;
}

/* Waits until the process has exited; kills it after 60 s. Returns false if it is not a child of
 * this process any more. */
static bool wait_for_exit(pid_t pid, int *status) {
    const struct timespec pause = {.tv_nsec = EXIT_POLL_NS};
    pid_t ended = 0;
    for (int waited = 0; !ended && waited < MAX_EXIT_POLLS; waited++) {
        ended = waitpid(pid, status, WNOHANG);
        if (!ended) nanosleep(&pause, NULL);
    }
    if (!ended) {
        kill(pid, SIGKILL);
        ended = waitpid(pid, status, 0);
    }
    return ended == pid;
}

static bool exited_cleanly(pid_t pid, int node) {
    int status = 0;
    const bool is_known = wait_for_exit(pid, &status);
    if (is_known && WIFEXITED(status) && WEXITSTATUS(status) == 0) return true;
    printf("FAIL: controller %d exited %s status %d\n", node,
           is_known ? "with" : "earlier, unknown", status);
    return false;
}

bool tw_loopback_stop_nodes(tw_loopback_nodes *nodes) {
    bool all_clean = true;
    for (int node = 0; node < TW_LOOPBACK_MAX_NODES; node++) {
        /* SIGCONT must precede SIGTERM: the leak check stops the process by SIGSTOP when it exits,
         * and waits forever if a later SIGCONT resumes it. */
        tw_loopback_signal_node(nodes, node, SIGCONT);
        tw_loopback_signal_node(nodes, node, SIGTERM);
    }
    for (int node = 0; node < TW_LOOPBACK_MAX_NODES; node++) {
        if (nodes->pid[node] && !exited_cleanly(nodes->pid[node], node)) all_clean = false;
        nodes->pid[node] = 0;
    }
    return all_clean;
}
