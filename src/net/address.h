/* IPv4 addresses and TCP sockets. Internal to the net package. */
#ifndef TW_NET_ADDRESS_H
#define TW_NET_ADDRESS_H
#include <netinet/in.h>
#include <stdbool.h>

/* Parses an IPv4 address of the form "IP:port". Returns false if the text has another form;
 * *address is then unspecified. */
bool tw_address_parse(const char *text, struct sockaddr_in *address);
/* Creates a non-blocking TCP socket with TCP_NODELAY set. The caller closes it. Returns -1 and sets
 * errno on failure. */
int tw_socket_open(void);
/* Sets TCP_NODELAY, so that small writes are sent without delay. */
void tw_socket_set_no_delay(int socket);

#endif
