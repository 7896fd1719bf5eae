/* tw_ports_held PROGRAM [ARGUMENT...]: runs the program while some ports of the kernel's range for
 * outgoing connections are in use, as they are on a machine with a busy service. A test that
 * listens on ports of that range fails then. Exits with the exit code of the program. */
#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define RANGE_FILE "/proc/sys/net/ipv4/ip_local_port_range"
/* Distance between the bound ports, which are multiples of it: tests prefer round port numbers. */
#define HELD_PORT_STEP 100
#define LINE_SIZE 64
#define DECIMAL 10

static int bind_port(int port) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int held = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    return held < 0 ? -1 : bind(held, (struct sockaddr *)&address, sizeof address);
}

/* Reads the first and the last port of the kernel's range. Returns false if it cannot be read. */
static bool read_port_range(int *first, int *last) {
    char line[LINE_SIZE];
    char *rest;
    FILE *range = fopen(RANGE_FILE, "r");
    if (!range) return false;
    const bool is_read = fgets(line, sizeof line, range) != NULL;
    fclose(range);
    if (!is_read) return false;
    *first = (int)strtol(line, &rest, DECIMAL);
    *last = (int)strtol(rest, NULL, DECIMAL);
    return true;
}

/* Binds ports of the range and returns how many were bound. Skips ports that cannot be bound, since
 * other processes already use them. */
static int bind_ports(void) {
    int first;
    int last;
    int count = 0;
    if (!read_port_range(&first, &last)) return 0;
    for (int port = first - first % HELD_PORT_STEP + HELD_PORT_STEP; port <= last;
         port += HELD_PORT_STEP)
        count += !bind_port(port);
    return count;
}

int main(int count, char **arguments) {
    int status;
    if (count < 2) {
        fprintf(stderr, "usage: tw_ports_held PROGRAM [ARGUMENT...]\n");
        return 64;
    }
    if (!bind_ports()) {
        fprintf(stderr, "cannot bind any ports\n");
        return EXIT_FAILURE;
    }
    const pid_t child = fork();
    if (child == 0) {
        execvp(arguments[1], arguments + 1);
        _exit(127);
    }
    if (child < 0 || waitpid(child, &status, 0) != child || !WIFEXITED(status)) return EXIT_FAILURE;
    return WEXITSTATUS(status);
}
