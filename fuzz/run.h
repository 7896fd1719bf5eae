/* What the processes that play days share. */
#ifndef TW_FUZZ_RUN_H
#define TW_FUZZ_RUN_H
#include "fuzz.h"

/* From here on, this process may use only so much processor time, or is ended as stuck. */
void tw_fuzz_limit_cpu_time(void);
/* The verdict on a day whose process ended with this status before it had one. */
void tw_fuzz_set_exit_verdict(int status, tw_simulator_verdict *verdict);

#endif
