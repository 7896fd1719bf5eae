/* What the processes that play days share. */
#ifndef TW_FUZZ_PLAY_H
#define TW_FUZZ_PLAY_H
#include "fuzz.h"

/* From here on, this process may use only so much processor time, or is ended as stuck. */
void tw_fuzz_limit_time(void);
/* The verdict on a day whose process ended with this status before it had one. */
void tw_fuzz_ended_by(int status, tw_simulator_verdict *verdict);

#endif
