/* Prints answers to standard output, as text or as one JSON object per line. */
#ifndef TW_CTL_PRINT_H
#define TW_CTL_PRINT_H
#include "rpc/rpc.h"
#include <stdbool.h>

void tw_ctl_print_shards_text(const tw_rpc_answer *answer);
void tw_ctl_print_shards_json(const tw_rpc_answer *answer);
/* Prints the verdict on a change and, for a move, its progress. */
void tw_ctl_print_change(bool json, const tw_rpc_answer *answer);
/* Prints the standby status and followers of the daemon at this address. */
void tw_ctl_print_standby_text(const tw_rpc_answer *answer, const char *address);
void tw_ctl_print_standby_json(const tw_rpc_answer *answer, const char *address);

#endif
