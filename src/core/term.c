/* End of a term: clears all state that belongs to the term, so that the node's next term
 * starts without any of it. */
#include "core/jobs.h"

/* Answers all clients that wait for the job with the error "no leader". */
static void reject_waiting_clients(tw_core *core, tw_job *job) {
    tw_waiting_client *client;
    while ((client = tw_job_take_waiting_client(job))) {
        tw_reply_error(&core->context, client->connection, TW_HTTP_UNAVAILABLE, 1, "no leader");
        free(client);
    }
}

/* The machines are freed first, because their placements point to jobs. */
static void clear_jobs_and_machines(tw_core *core) {
    tw_machine *machine, *next_machine;
    tw_job *job, *next_job;
    HASH_ITER(hh, core->jobs, job, next_job) { reject_waiting_clients(core, job); }
    HASH_ITER(hh, core->machines, machine, next_machine) {
        tw_placement *placed, *next;
        DL_FOREACH_SAFE(machine->placements, placed, next) {
            tw_attempt_terminate_on(core, placed, TW_EVIDENCE_TERM_ENDED);
        }
        tw_machine_forget(core, machine, NULL);
    }
    HASH_ITER(hh, core->jobs, job, next_job) { tw_job_free(core, job); }
    tw_completed_jobs_free(core->completed_jobs);
    core->completed_jobs = NULL;
    core->active_jobs = NULL;
    core->cancelled_jobs = NULL;
    core->zone_count = 0;
}

static void clear_rentals(tw_core *core) {
    tw_rejected_admission *rejected, *next_rejected;
    HASH_ITER(hh, core->rejected_admissions, rejected, next_rejected) {
        tw_rejected_admission_drop(core, rejected);
    }
    tw_rental_request *request, *next_request;
    DL_FOREACH_SAFE(core->rental_requests, request, next_request) {
        DL_DELETE(core->rental_requests, request);
        free(request);
    }
    core->next_rental_request = 0;
    core->machine_list_in_flight = false;
    core->return_in_flight = false;
    core->machine_lists_read = 0;
    *core->machine_list_cursor = 0;
}

void tw_term_clear(tw_core *core) {
    clear_jobs_and_machines(core);
    tw_expiring_names_clear(&core->returned_machines);
    clear_rentals(core);
    tw_expiring_names_clear(&core->unprocessed_admissions);
    tw_store_reset(core->store);
    core->silent_zone_count = 0;
    core->admission_watch_in_flight = false;
    core->admission_watch_revision = 0;
    core->next_admission_watch_at = 0;
    core->load_in_flight = false;
    const size_t team_count = core->context.config->team_count + 1;
    memset(core->team_cores_used, 0, team_count * sizeof *core->team_cores_used);
    memset(core->team_gpus_used, 0, team_count * sizeof *core->team_gpus_used);
}
