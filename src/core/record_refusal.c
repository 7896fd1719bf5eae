/* Records that the state service refuses for their size, and what may be done about it: they are
 * divided while all other nodes read divided records, and written whole again for one that does
 * not.
 */
#include "core/record_chunks.h"
#include <stdbool.h>

/* Until such a record is tried again: growing up to the longest. */
#define FIRST_PAUSE_S 0.15
#define LONGEST_PAUSE_S 10.0
#define DOUBLINGS 8

void tw_record_refused(tw_core *core, tw_job *job, size_t bytes) {
    if (bytes && (!job->refused_bytes || bytes < job->refused_bytes)) job->refused_bytes = bytes;
    if (bytes && tw_record_needs_chunks(core, job, bytes)) return;
    const int doublings = job->size_refusals < DOUBLINGS ? job->size_refusals : DOUBLINGS;
    const double pause_s = fmin(LONGEST_PAUSE_S, FIRST_PAUSE_S * (double)(1 << doublings));
    job->size_refusals++;
    job->write_after = core->context.now + pause_s;
    tw_log_error("event=record_refused id=%s bytes=%zu pause_s=%.2f", job->id, bytes, pause_s);
    tw_job_reject_waiting_clients(core, job);
}

/* A node of the old version came back: what it can't read is written whole, if that fits. */
static void write_whole_again(tw_core *core) {
    tw_job *job;
    DL_FOREACH(core->active_jobs, job) {
        if (!*job->chunk_set) continue;
        char *text = tw_job_record_text(job);
        if (!tw_record_needs_chunks(core, job, strlen(text))) tw_job_mark_changed(core, job, false);
        free(text);
    }
}

void tw_record_format_update(tw_core *core) {
    const bool divides = tw_cluster_all_read_chunks(core->cluster);
    const bool heard_old = tw_cluster_any_lacks_chunks(core->cluster);
    tw_job *job;
    if (divides != core->peers_read_chunks)
        tw_log_info("event=record_format_changed chunked=%d", divides);
    if (divides && !core->peers_read_chunks) {
        DL_FOREACH2(core->pending_writes, job, write_next) {
            if (job->size_refusals) job->write_after = 0;
            job->size_refusals = 0;
        }
    }
    if (heard_old && !core->a_peer_lacks_chunks) write_whole_again(core);
    core->peers_read_chunks = divides;
    core->a_peer_lacks_chunks = heard_old;
}
