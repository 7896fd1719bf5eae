/* Declarations shared by the files that parse and run scenarios. */
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
/* Returns the index of the named node, or -1 if there is none. "leader" stands for the node that
 * decides, or, if none does, for the leader that the scenario named last. */
int tw_script_node(const tw_world *world, const char *name);
/* Returns the first client request with the key, or NULL. */
tw_world_client *tw_script_client(tw_world *world, const char *key);
/* Runs the command `expect` (expect.c). Returns -1 if the command is malformed; an expectation that
 * does not hold is reported by tw_world_fail. */
int tw_script_expect(tw_world *world, const tw_script_words *read);

#endif
