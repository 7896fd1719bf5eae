/* What the files of the scenario reader share. */
#ifndef TW_SHARDS_SCRIPT_H
#define TW_SHARDS_SCRIPT_H
#include "shards_world.h"
#include <stdlib.h>

#define MOST_WORDS 12
#define WORD 160

typedef struct {
    char words[MOST_WORDS][WORD];
    int count;
} words;

static inline double number(const words *read, int i) { return strtod(read->words[i], NULL); }
/* "leader": the one that decides, or was named last. -1: none. */
int tw_script_node(const world *world, const char *name);
client *tw_script_client(world *world, const char *key);
/* expect.c: the command expect */
int tw_script_expect(world *world, const words *read);

#endif
