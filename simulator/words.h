/* Parses the first line of a message between the simulator and a tw_core_server, word by word. */
#ifndef TW_SIMULATOR_WORDS_H
#define TW_SIMULATOR_WORDS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    const char *at; /* the unread rest of the line */
    bool failed;    /* a word was missing or malformed */
} tw_simulator_reader;

/* Returns a reader positioned behind the word `first`. The reader is marked as failed if the line
 * does not begin with that word. */
tw_simulator_reader tw_simulator_read_line(const char *line, const char *first);
double tw_simulator_read_number(tw_simulator_reader *reader);
uint64_t tw_simulator_read_count(tw_simulator_reader *reader);
long tw_simulator_read_int(tw_simulator_reader *reader);
void tw_simulator_read_word(tw_simulator_reader *reader, char *to, size_t size);
/* Returns whether every read succeeded and the line has no further words. */
bool tw_simulator_read_all(const tw_simulator_reader *reader);

#endif
