/* An address for a test's own listeners. */
#ifndef TW_LOOPBACK_OWN_HOST_H
#define TW_LOOPBACK_OWN_HOST_H
#include <netinet/in.h>

/* Room for an address in text. */
#define TW_LOOPBACK_HOST_SIZE INET_ADDRSTRLEN

/* The loopback address that this process alone listens on: no other test takes its ports, nor do
 * outgoing connections, whose ports the kernel takes on 127.0.0.1. */
struct in_addr tw_loopback_own_host(void);

/* The same as text. */
void tw_loopback_own_host_text(char text[TW_LOOPBACK_HOST_SIZE]);

#endif
