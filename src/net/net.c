#include "net/net_int.h"
#include <stdlib.h>

void *tw_net_alloc(size_t size) {
    void *memory = calloc(1, size);
    if (!memory) abort();
    return memory;
}

tw_net *tw_net_new(struct ev_loop *loop, const tw_net_limits *limits, const tw_net_handler *handler,
                   void *context) {
    tw_net *net = tw_net_alloc(sizeof *net);
    net->loop = loop;
    net->limits = *limits;
    net->handler = *handler;
    net->context = context;
    net->read_buffer =
        malloc(TW_NET_READ_SIZE); /* malloc: pages stay unallocated until they are used */
    if (!net->read_buffer) abort();
    return net;
}

void tw_net_free(tw_net *net) {
    tw_net_server_free(net);
    tw_net_client_free(net);
    free(net->read_buffer);
    free(net);
}
