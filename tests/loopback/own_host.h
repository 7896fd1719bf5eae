/* Loopback address that one test process uses for its listeners. */
#ifndef TW_LOOPBACK_OWN_HOST_H
#define TW_LOOPBACK_OWN_HOST_H
#include <netinet/in.h>

/* Size of a buffer for the address as text, with the terminating null byte. */
#define TW_LOOPBACK_HOST_SIZE INET_ADDRSTRLEN

/* Returns a loopback address that no other process listens on. Its ports conflict neither with
 * other tests nor with outgoing connections, which the kernel binds to ports of 127.0.0.1. */
struct in_addr tw_loopback_own_host(void);

/* Writes the address of tw_loopback_own_host() to text. */
void tw_loopback_own_host_text(char text[TW_LOOPBACK_HOST_SIZE]);

#endif
