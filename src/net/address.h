/* Addresses and sockets. Not for other packages. */
#ifndef TW_NET_ADDRESS_H
#define TW_NET_ADDRESS_H
#include <netinet/in.h>
#include <stdbool.h>

/* Parses "IP:port" with an IPv4 address. false: the text is not that, and *address may be changed.
 */
bool tw_address_parse(const char *text, struct sockaddr_in *address);
/* A TCP socket that never blocks and sends at once; -1 with errno: none. The caller closes it. */
int tw_socket_open(void);
/* Has the socket send at once, without waiting for more to send. */
void tw_socket_set_no_delay(int socket);

#endif
