#define _GNU_SOURCE /* SOCK_NONBLOCK */
#include "net/address.h"
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_IP_LENGTH 64
#define MAX_PORT 65535
#define DECIMAL 10

bool tw_address_parse(const char *text, struct sockaddr_in *address) {
    char ip[MAX_IP_LENGTH];
    char *end;
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof ip) return false;
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = 0;
    const long port = strtol(colon + 1, &end, DECIMAL);
    if (end == colon + 1 || *end || port < 1 || port > MAX_PORT) return false;
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

void tw_socket_set_no_delay(int socket) {
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int tw_socket_open(void) {
    int opened = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (opened >= 0) tw_socket_set_no_delay(opened);
    return opened;
}
