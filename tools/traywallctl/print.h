/* How answers are shown, as text or as one JSON object a line. */
#ifndef TW_CTL_PRINT_H
#define TW_CTL_PRINT_H
#include "rpc/rpc.h"
#include <stdbool.h>

void tw_ctl_print_shards_text(const tw_rpc_answer *answer);
void tw_ctl_print_shards_json(const tw_rpc_answer *answer);
/* A verdict, and how far a move is. */
void tw_ctl_print_change(bool json, const tw_rpc_answer *answer);
/* What the daemon at that address is. */
void tw_ctl_print_standby_text(const tw_rpc_answer *answer, const char *address);
void tw_ctl_print_standby_json(const tw_rpc_answer *answer, const char *address);

#endif
