/* What the files of the scenario reader share. */
#ifndef TW_SHARDS_SCRIPT_H
#define TW_SHARDS_SCRIPT_H
#include "shards_world.h"
#include <stdlib.h>

#define MAX_WORDS 12
#define SCRIPT_WORD_SIZE 160

typedef struct {
    char words[MAX_WORDS][SCRIPT_WORD_SIZE];
    int count;
} tw_script_words;

static inline double word_number(const tw_script_words *read, int i) {
    return strtod(read->words[i], NULL);
}
/* "leader": the one that decides, or was named last. -1: none. */
int tw_script_node(const tw_world *world, const char *name);
tw_world_client *tw_script_client(tw_world *world, const char *key);
/* expect.c: the command expect */
int tw_script_expect(tw_world *world, const tw_script_words *read);

#endif
