/* Runs scenarios of shards; README.md lists the commands. */
#ifndef TW_SHARDS_PLAY_H
#define TW_SHARDS_PLAY_H
#include <stddef.h>

/* Runs a scenario given as text. Returns 0, or -1 and writes the first failure to reason. */
int tw_shards_play(const char *text, char *reason, size_t size);

#endif
