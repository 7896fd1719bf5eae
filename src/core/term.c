/* The end of a term: everything that belongs to it is forgotten. */
#include "core/record_parts.h"

static void forget_set(expiring **set) {
    expiring *member, *next;
    HASH_ITER(hh, *set, member, next) {
        HASH_DEL(*set, member);
        free(member);
    }
}

/* Turns away all users who wait for the job. */
static void turn_waiters_away(tw_core *core, job *job) {
    for (waiter *user = job->waiters, *next; user; user = next) {
        next = user->next;
        tw_reply_error(core, user->conn, TW_HTTP_UNAVAILABLE, 1, "no leader");
        free(user);
    }
    job->waiters = NULL;
}

static void forget_jobs_and_machines(tw_core *core) {
    machine *machine, *next_machine;
    job *job, *next_job;
    HASH_ITER(hh, core->jobs, job, next_job) turn_waiters_away(core, job);
    HASH_ITER(hh, core->machines, machine, next_machine) {
        placement *placed, *next;
        DL_FOREACH_SAFE(machine->pls, placed, next) tw_attempt_end_on(core, placed, END_TERM);
        tw_machine_drop(core, machine, NULL);
    }
    HASH_ITER(hh, core->jobs, job, next_job) tw_job_free(core, job);
    tw_finished_free(core->finished);
    core->finished = NULL;
    core->active = NULL;
    core->dirty = NULL;
    core->cancelled = NULL;
    core->nyards = 0;
}

static void forget_rentals(tw_core *core) {
    turned_away_job *turned_away_job, *next_turned_away;
    HASH_ITER(hh, core->turned_away, turned_away_job, next_turned_away)
    tw_turned_away_drop(core, turned_away_job);
    rental_request *rental_request, *next_rental_request;
    DL_FOREACH_SAFE(core->rental_requests, rental_request, next_rental_request) {
        DL_DELETE(core->rental_requests, rental_request);
        free(rental_request);
    }
    core->next_rental_request = 0;
    core->list_busy = 0;
    core->release_busy = 0;
    core->lists = 0;
    *core->list_after = 0;
}

void tw_term_clear(tw_core *core) {
    forget_jobs_and_machines(core);
    forget_set(&core->released);
    forget_rentals(core);
    forget_set(&core->untaken);
    tw_parts_forget_stale(core);
    tw_loaded_free(core);
    core->divides = core->heard_old = 0;
    core->nquiet = 0;
    core->elsewhere_busy = 0;
    core->elsewhere_since = 0;
    core->elsewhere_next = 0;
    core->ntxns = 0;
    core->ndirty_new = 0;
    core->load_busy = 0;
    memset(core->team_c, 0, (core->cf->nteams + 1) * sizeof *core->team_c);
    memset(core->team_g, 0, (core->cf->nteams + 1) * sizeof *core->team_g);
}
