/* Earlier forms of words of the scenario language. Scenario files that users sent, and stored
 * generated scenarios, still use them. Only this table contains earlier forms; the rest of the
 * simulator uses the current ones. */
#include "simulator_int.h"
#include <stdbool.h>
#include <string.h>

static const struct {
    tw_simulator_word_role role;
    const char *earlier, *current;
} vocabulary[] = {{TW_SIMULATOR_WORD_COMMAND, "rack", "machine_type"},
                  {TW_SIMULATOR_WORD_COMMAND, "abort", "cancel"},
                  {TW_SIMULATOR_WORD_COMMAND, "aborts", "cancels"},
                  {TW_SIMULATOR_WORD_COMMAND, "alone", "isolate"},
                  {TW_SIMULATOR_WORD_COMMAND, "island", "isolatezone"},
                  {TW_SIMULATOR_WORD_COMMAND, "deaf", "unresponsive"},
                  {TW_SIMULATOR_WORD_COMMAND, "sick", "faulty"},
                  {TW_SIMULATOR_WORD_COMMAND, "warn", "notice"},
                  {TW_SIMULATOR_WORD_COMMAND, "lateorders", "latecommand"},
                  {TW_SIMULATOR_WORD_COMMAND, "dupreport", "dupheartbeat"},
                  {TW_SIMULATOR_WORD_COMMAND, "holdreport", "holdheartbeat"},
                  {TW_SIMULATOR_WORD_COMMAND, "latereports", "lateheartbeats"},
                  {TW_SIMULATOR_WORD_OPTION, "lane", "class"},
                  {TW_SIMULATOR_WORD_OPTION, "crew", "team"},
                  {TW_SIMULATOR_WORD_OPTION, "rank", "priority"},
                  {TW_SIMULATOR_WORD_OPTION, "pieces", "tasks"},
                  {TW_SIMULATOR_WORD_OPTION, "bundle", "image_name"},
                  {TW_SIMULATOR_WORD_OPTION, "image", "image_gb"},
                  {TW_SIMULATOR_WORD_OPTION, "yard", "zone"},
                  {TW_SIMULATOR_WORD_OPTION, "rack", "machine_type"},
                  {TW_SIMULATOR_WORD_OPTION, "same", "single_zone"},
                  {TW_SIMULATOR_WORD_OPTION, "apart", "spread"},
                  {TW_SIMULATOR_WORD_OPTION, "loaner", "spot"},
                  {TW_SIMULATOR_WORD_OPTION, "snapshot", "checkpoint"},
                  {TW_SIMULATOR_WORD_OPTION, "flush", "save"},
                  {TW_SIMULATOR_WORD_OPTION, "due", "deadline"},
                  {TW_SIMULATOR_WORD_VALUE, "group", "gang"},
                  {TW_SIMULATOR_WORD_VALUE, "report", "heartbeat"},
                  {TW_SIMULATOR_WORD_EXPECTATION, "aborted", "cancelled"},
                  {TW_SIMULATOR_WORD_EXPECTATION, "shift", "incarnation"}};

static bool equals(const char *text, size_t length, const char *word) {
    return strlen(word) == length && !strncmp(text, word, length);
}

bool tw_simulator_is_word(tw_simulator_word_role role, const char *text, size_t length,
                          const char *word) {
    if (equals(text, length, word)) return true;
    for (size_t i = 0; i < sizeof vocabulary / sizeof *vocabulary; i++) {
        if (vocabulary[i].role != role || strcmp(vocabulary[i].current, word) != 0) continue;
        if (equals(text, length, vocabulary[i].earlier)) return true;
    }
    return false;
}

bool tw_simulator_is_command(const char *text, const char *word) {
    return tw_simulator_is_word(TW_SIMULATOR_WORD_COMMAND, text, strlen(text), word);
}

bool tw_simulator_is_value(const char *text, const char *word) {
    return tw_simulator_is_word(TW_SIMULATOR_WORD_VALUE, text, strlen(text), word);
}

bool tw_simulator_is_expectation(const char *text, const char *word) {
    return tw_simulator_is_word(TW_SIMULATOR_WORD_EXPECTATION, text, strlen(text), word);
}
