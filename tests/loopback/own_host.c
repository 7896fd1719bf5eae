/* Addresses by process id; see own_host.h. */
#include "own_host.h"
#include <arpa/inet.h>
#include <stdint.h>
#include <unistd.h>

/* 127.(128 + part).part.part: the soak's addresses are below, and tests/daemon/lib.sh has the same
 * rule. */
#define FIRST_HOST 0x7f800000u
/* Process ids have at most 22 bits. */
#define PROCESS_ID_MASK 0x3fffffu

struct in_addr tw_loopback_own_host(void) {
    const uint32_t host = FIRST_HOST | ((uint32_t)getpid() & PROCESS_ID_MASK);
    return (struct in_addr){.s_addr = htonl(host)};
}

void tw_loopback_own_host_text(char text[TW_LOOPBACK_HOST_SIZE]) {
    const struct in_addr host = tw_loopback_own_host();
    inet_ntop(AF_INET, &host, text, TW_LOOPBACK_HOST_SIZE);
}
