/* Plays scenarios of shards; the commands are in README.md. */
#ifndef TW_SHARDS_PLAY_H
#define TW_SHARDS_PLAY_H
#include <stddef.h>

/* Plays a scenario's text. 0, or -1 with what broke in *why. */
int tw_shards_play(const char *text, char *why, size_t size);

#endif
