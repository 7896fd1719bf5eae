#include "e2e_nodes.h"
#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#define PATH_SIZE 64
#define EXIT_NO_PROGRAM 127

static const char *zone_of(int node) { return node == 1 ? "b" : "a"; }

static void write_settings(FILE *file, int base_port, int node) {
    fprintf(file,
            "host_name = \"tray-%d\"\nlocation = \"%s\"\napi_addr = \"127.0.0.1:%d\"\n"
            "peer_bind = \"127.0.0.1:%d\"\n",
            node, zone_of(node), base_port + node, base_port + E2E_PEER_PORTS + node);
    for (int peer = 0; peer < E2E_NODES; peer++) {
        if (peer == node) continue;
        fprintf(file,
                "[[known]]\nhost_name = \"tray-%d\"\nlocation = \"%s\"\nendpoint = "
                "\"127.0.0.1:%d\"\n",
                peer, zone_of(peer), base_port + E2E_PEER_PORTS + peer);
    }
    fprintf(file,
            "[external]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n[settings]\n"
            "[[settings.teams]]\nname = \"crew\"\n"
            "[settings.workers]\nreport_s = 0.4\nlease_s = 8.0\ncancel_s = 20.0\n"
            "[settings.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
            "[settings.cloud]\nrps = 20.0\nlist_lag_s = 0.5\n"
            "[settings.limits]\ncpu_share = 1.0\nmem_mb = 512.0\nsockets = 200\n",
            base_port + E2E_STAND_IN_PORTS + E2E_CLOUD, base_port + E2E_STAND_IN_PORTS + E2E_STATE);
}

int e2e_node_start(e2e_nodes *nodes, int node) {
    char path[PATH_SIZE];
    snprintf(path, sizeof path, "/tmp/tw_e2e_%d_%d.toml", (int)getpid(), node);
    FILE *file = fopen(path, "w");
    if (!file) return 0;
    write_settings(file, nodes->base_port, node);
    fclose(file);
    const pid_t pid = fork();
    if (pid < 0) return 0;
    if (pid == 0) {
        execl(nodes->program, nodes->program, "--config", path, (char *)NULL);
        _exit(EXIT_NO_PROGRAM);
    }
    nodes->pid[node] = pid;
    return 1;
}

int e2e_node_kill(e2e_nodes *nodes, int node) {
    if (!nodes->pid[node]) return 0;
    kill(nodes->pid[node], SIGKILL);
    waitpid(nodes->pid[node], NULL, 0);
    nodes->pid[node] = 0;
    return 1;
}

static int ended_well(pid_t pid, int node) {
    int status = 0;
    waitpid(pid, &status, 0);
    if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return 1;
    printf("FAIL end_to_end: node %d ended with status %d\n", node, status);
    return 0;
}

int e2e_nodes_stop(e2e_nodes *nodes) {
    int well = 1;
    for (int node = 0; node < E2E_NODES; node++)
        if (nodes->pid[node]) kill(nodes->pid[node], SIGTERM);
    for (int node = 0; node < E2E_NODES; node++)
        if (nodes->pid[node] && !ended_well(nodes->pid[node], node)) well = 0;
    return well;
}
