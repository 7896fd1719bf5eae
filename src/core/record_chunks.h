/* Divided records, see docs/design.md, "Two versions at once": a record's text that doesn't fit
 * into one value is cut into slices, which are written first; the write of the record that names
 * them is the moment at which it changes. Not for other packages. */
#ifndef TW_CORE_RECORD_PARTS_H
#define TW_CORE_RECORD_PARTS_H
#include "core/jobs.h"
#include <stdbool.h>

/* Key of a slice: this, the job's id, the set and the slice's number; and room for one. */
#define TW_CHUNK_KEY "part/"
#define TW_CHUNK_KEY_SIZE (sizeof TW_CHUNK_KEY + TW_WIRE_ID_SIZE + TW_WIRE_CHUNK_SET_SIZE + 16)

/* A record's text on its way into the state service. */
typedef struct tw_record_chunks {
    char name[TW_WIRE_CHUNK_SET_SIZE];
    char **texts; /* JSON values */
    int count, written;
    bool write_in_flight; /* a transaction with some of them is on its way */
    int record_sent;      /* the record that names them was sent: its fate may be unknown */
    uint64_t version;     /* of the job, when the text was made */
    int state, done_count, placed_count;
} tw_record_chunks;

/* Bytes that a record may have to be written whole. */
size_t tw_record_whole_size(const tw_core *core);
/* Whether the job's next record, a text of that length, has to be divided. */
bool tw_record_needs_chunks(const tw_core *core, const tw_job *job, size_t length);
/* Whether a job that was submitted just now can be written, divided or not. */
bool tw_record_is_writable(const tw_core *core, const tw_wire_job *spec);
/* Begins to write the job's next record in slices. */
void tw_chunks_begin(tw_core *core, tw_job *job, const char *text);
/* Whether all slices of the job's next record are known to be written. */
bool tw_chunks_all_written(const tw_job *job);
/* The record that names them. */
char *tw_chunks_record_text(const tw_job *job);
/* Gives the job's next record up, before it was sent. */
void tw_chunks_drop(tw_core *core, tw_job *job);
/* The job's record, as it is known to be written, names this set ("": none). The one before it is
 * removed. */
void tw_chunks_set_current(tw_core *core, tw_job *job, const char *set, int slices);
/* Sends slices that are due, at most so many in a transaction. */
void tw_chunks_flush(tw_core *core, int most);
/* Removes slices that no record names, as far as the limits of writes have room. */
void tw_chunks_remove_stale(tw_core *core, int most);
/* A set that no record names. */
void tw_chunks_add_stale(tw_core *core, const char *id, const char *set, int slices);
/* Forgets which sets are to be removed: a successor finds them when it reads the slices. */
void tw_chunks_forget_stale(tw_core *core);
/* The state service answered a removal. */
void tw_chunks_removal_response(tw_core *core, const tw_call *call, int status);
/* Lets go a job's slices in memory. */
void tw_chunks_free(tw_job *job);

/* record_refusal.c */
/* A record, or a slice of it (bytes 0), was refused for its size, alone in its transaction. The
 * record is divided, if it may be; else it is tried again after growing pauses, and nobody is left
 * waiting for it. */
void tw_record_refused(tw_core *core, tw_job *job, size_t bytes);
/* Looks whether the other nodes have changed in what they read. */
void tw_record_format_update(tw_core *core);

/* chunk_loader.c: slices, while the records are read */
/* A page of slices was read: their number, or -1: it can't be read. *more, and *last: the last key.
 */
int tw_chunk_loader_page(tw_core *core, const char *body, size_t len, int *more, char *last,
                         size_t size);
/* The text of a divided record, or NULL: its slices are not all there. */
char *tw_chunk_loader_text(tw_core *core, const char *id, const tw_wire_record *record);
/* All records are read: sets that none of them names are to be removed. */
void tw_chunk_loader_finish(tw_core *core);
void tw_chunk_loader_free(tw_core *core);

#endif
