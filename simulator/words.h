/* Reads the first line of a message between a simulation and a tw_core_server, word by word. */
#ifndef TW_SIMULATOR_WORDS_H
#define TW_SIMULATOR_WORDS_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    const char *at; /* what has not been read yet */
    bool failed;    /* a word was missing or not of its kind */
} tw_simulator_reader;

/* The reader of a line that begins with this word, which is read; another line is bad. */
tw_simulator_reader tw_simulator_read_line(const char *line, const char *first);
double tw_simulator_read_number(tw_simulator_reader *reader);
uint64_t tw_simulator_read_count(tw_simulator_reader *reader);
long tw_simulator_read_int(tw_simulator_reader *reader);
void tw_simulator_read_word(tw_simulator_reader *reader, char *to, size_t size);
/* Whether all words were read and there is no other. */
bool tw_simulator_read_all(const tw_simulator_reader *reader);

#endif
