/* Derives the address of a test process from its process id. */
#include "own_host.h"
#include <arpa/inet.h>
#include <stdint.h>
#include <unistd.h>

/* Addresses have the form 127.(128 + high bits).(middle bits).(low bits) of the process id. The
 * soak test uses 127.20 to 127.119. tests/daemon/lib.sh derives addresses in the same way. */
#define FIRST_HOST 0x7f800000u
/* Linux process ids have at most 22 bits. */
#define PROCESS_ID_MASK 0x3fffffu

struct in_addr tw_loopback_own_host(void) {
    const uint32_t host = FIRST_HOST | ((uint32_t)getpid() & PROCESS_ID_MASK);
    return (struct in_addr){.s_addr = htonl(host)};
}

void tw_loopback_own_host_text(char text[TW_LOOPBACK_HOST_SIZE]) {
    const struct in_addr host = tw_loopback_own_host();
    inet_ntop(AF_INET, &host, text, TW_LOOPBACK_HOST_SIZE);
}
