/* Taking a worker's report in, and answering it. */
#include "core/fleet.h"

/* Among so many machines, one that seems not to hear us is believed to. */
#define MACHINES_PER_DEAF 15
/* A lease that lapsed although we answered less than this ago, in leases. */
#define HEARD_LATELY_LEASES 0.5

static placement *find(const machine *machine, const tw_wire_task *told) {
    placement *each;
    DL_FOREACH(machine->pls, each)
    if (each->attempt == told->attempt && each->index == told->index &&
        !strcmp(each->job->id, told->job))
        return each;
    return NULL;
}

/* Many machines that seem not to hear us: then it is us, or the network. */
static int deaf_believable(tw_core *core) {
    if (core->now - core->unresponsive_since > core->cf->lease_s) {
        core->unresponsive_since = core->now;
        core->unresponsive_count = 0;
    }
    return ++core->unresponsive_count <= 1 + (int)HASH_COUNT(core->machines) / MACHINES_PER_DEAF;
}

/* The session is over: the worker has killed and forgotten all. */
static void new_session(tw_core *core, machine *machine, const tw_wire_heartbeat *report) {
    const attempt_end end = {.ground = END_SESSION, .report = report};
    placement *each, *next;
    int lost = 0;
    DL_FOREACH_SAFE(machine->pls, each, next) {
        const int was_on_job = each->on_job;
        if (tw_attempt_end(core, each, &end)) lost += was_on_job;
    }
    /* It reported, we answered, and still its lease lapsed: it does not hear us. */
    if (machine->confirmed &&
        core->now - machine->heard < HEARD_LATELY_LEASES * core->cf->lease_s && !machine->lapsed &&
        deaf_believable(core)) {
        machine->unresponsive += TW_DEAF_AT;
        tw_log_info("event=deaf tray=%s shift=%llu lost=%d", machine->name,
                    (unsigned long long)report->incarnation, lost);
    }
}

/* Nearly always it says what is known: to compare costs a tenth of printing it anew. */
static void note_text(char *known, size_t size, const char *told) {
    if (strcmp(known, told) != 0) snprintf(known, size, "%s", told);
}

/* What it says of the machine itself. */
static void note_machine(tw_core *core, machine *machine, const tw_wire_heartbeat *report) {
    if (report->incarnation != machine->shift) machine->session_at = core->now;
    machine->shift = report->incarnation;
    machine->tick = report->sequence;
    machine->stage = M_UP;
    machine->contact = core->now;
    machine->unreached = 0;
    machine->lapsed = 0;
    machine->loaner = report->spot;
    note_text(machine->endpoint, sizeof machine->endpoint, report->endpoint);
    tw_machine_at(core, machine, report->zone);
    note_text(machine->rack_name, sizeof machine->rack_name, report->machine_type);
    if (machine->rack < 0) machine->rack = tw_rack_index(core, report->machine_type);
    if (!machine->confirmed && report->fencing_token >= core->token) {
        machine->confirmed = 1;
        machine->confirmed_at = core->now;
        core->sched_dirty = 1;
    }
    if (report->preemption_notice_s >= 0 && machine->warned_until <= 0) {
        machine->warned_until = core->now + report->preemption_notice_s;
        tw_log_info("event=notice tray=%s s=%.1f", machine->name, report->preemption_notice_s);
    }
}

/* The answer that held the launch was lost, and is not executed late. */
static void not_taken(tw_core *core, placement *placed, const tw_wire_heartbeat *report) {
    machine *machine = placed->m;
    if (placed->kill) {
        const attempt_end end = {.ground = END_NOT_TAKEN, .report = report};
        tw_attempt_end(core, placed, &end);
        return;
    }
    placed->sent = 0;
    if (++placed->misses >= TW_DEAF_AT && machine->unresponsive < TW_DEAF_AT &&
        deaf_believable(core)) {
        machine->unresponsive = TW_DEAF_AT;
        tw_log_info("event=deaf tray=%s misses=%d", machine->name, placed->misses);
    }
}

/* A task that the report doesn't name. answers_order: the report answers direct orders. */
static void absent(tw_core *core, placement *placed, const tw_wire_heartbeat *report,
                   int answers_order) {
    const int not_launched = tw_launch_not_taken(placed, report, answers_order);
    const int forgotten = placed->stage == TW_TASK_EXITED && placed->seen;
    const int done_unseen = not_launched && !placed->on_job; /* with its gang */
    if (forgotten || done_unseen) {
        tw_attempt_forget(core, placed);
    } else if (placed->inherited || placed->seen) {
        const attempt_end end = {
            .ground = END_ABSENT, .report = report, .answers_order = answers_order};
        tw_attempt_end(core, placed, &end);
    } else if (not_launched) {
        not_taken(core, placed, report);
    }
}

int tw_report_take(tw_core *core, machine *machine, const tw_wire_heartbeat *report,
                   tw_orders *orders) {
    const int same_session = report->incarnation == machine->shift;
    if (report->incarnation < machine->shift ||
        (same_session && report->sequence <= machine->tick)) {
        core->counters.refused[REFUSED_OLDER_REPORT]++;
        return 0;
    }
    /* Its lease has surely lapsed: of that session only late reports can come, held by a cut or
     * sent by a machine that goes on after it hung. Whatever they name runs no more. */
    if (machine->lapsed && same_session) {
        core->counters.refused[REFUSED_LAPSED_REPORT]++;
        return 0;
    }
    if (machine->shift && report->incarnation > machine->shift) new_session(core, machine, report);
    note_machine(core, machine, report);
    core->mark++;
    for (int i = 0; i < report->task_count; i++) {
        placement *placed = find(machine, &report->tasks[i]);
        if (placed) {
            placed->mark = core->mark;
            tw_task_reported(core, placed, report, &report->tasks[i]);
        } else {
            tw_task_stranger(core, machine, report, &report->tasks[i], orders);
        }
    }
    placement *each, *next;
    DL_FOREACH_SAFE(machine->pls, each, next) {
        if (each->mark == core->mark || (!each->sent && !each->inherited)) continue;
        absent(core, each, report, orders == NULL);
    }
    return 1;
}

static const tw_orders no_orders = {NULL, 0};

static void reply_orders(tw_core *core, uint64_t conn, const tw_orders *orders) {
    char *text = tw_orders_answer_text(core, orders);
    if (text)
        tw_reply(core, conn, TW_HTTP_OK, 0, text);
    else
        tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, 1, "no right to answer");
}

/* Overtaken by the answer to direct orders, or a late copy. The worker of the former must not be
 * turned away; the latter must not make a dead machine look alive. */
static void answer_older(tw_core *core, uint64_t conn, machine *machine,
                         const tw_wire_heartbeat *report) {
    if (report->incarnation != machine->shift || machine->lapsed) {
        tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, 1, "older than known");
        return;
    }
    machine->renewed = core->now;
    reply_orders(core, conn, &no_orders);
}

static void answer(tw_core *core, uint64_t conn, machine *machine,
                   const tw_wire_heartbeat *report) {
    tw_orders orders = tw_orders_new(core);
    if (!tw_report_take(core, machine, report, &orders)) {
        answer_older(core, conn, machine, report);
        return;
    }
    machine->heard = core->now;
    if (machine->first_heard <= 0) {
        machine->first_heard = core->now;
        if (machine->rack >= 0 && !machine->overdue) tw_learn_boot(core, machine);
        tw_log_info("event=machine_up tray=%s rack=%s yard=%s loaner=%d after=%.1f", machine->name,
                    report->machine_type, report->zone, report->spot, core->now - machine->born);
    }
    tw_orders_due(core, machine, &orders, report->sequence);
    machine->want_probe = machine->want_direct = 0;
    if (!machine->confirmed) tw_want_probe(core, machine);
    reply_orders(core, conn, &orders);
}

/* A late report of a machine that we returned. */
static int is_returned(tw_core *core, const machine *machine, const char *name) {
    const expiring *returned;
    HASH_FIND_STR(core->released, name, returned);
    return returned || (machine && machine->releasing);
}

/* At a node that may answer workers. */
static void lead(tw_core *core, uint64_t conn, const tw_wire_heartbeat *report, int from_peer) {
    /* Sent to its own zone, where it is answered even if that is cut off from ours. */
    const int is_ours = !strcmp(report->zone, core->cf->location);
    if (!from_peer &&
        (is_ours ? tw_redirect_safer(core, conn, report) : tw_redirect_home(core, conn, report)))
        return;
    if (core->phase == PH_LOADING) {
        /* Renewed, nothing more: what should run there is not known yet. */
        core->load_answered = core->now;
        reply_orders(core, conn, &no_orders);
        return;
    }
    machine *machine = tw_machine(core, report->worker);
    if (is_returned(core, machine, report->worker)) {
        core->counters.refused[REFUSED_RETURNED]++;
        tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, 1, "returned");
        return;
    }
    if (!machine) {
        machine = tw_machine_new(core, report->worker);
        tw_log_info("event=machine_new tray=%s rack=%s yard=%s", report->worker,
                    report->machine_type, report->zone);
    }
    answer(core, conn, machine, report);
}

void tw_hello(tw_core *core, uint64_t conn, const char *body, size_t length, int from_peer) {
    if (core->now >= core->reports_tidy) {
        core->reports_tidy = core->now + core->cf->lease_s;
        tw_wire_heartbeat_cache_sweep(core->reports);
    }
    const tw_wire_heartbeat *report = tw_wire_heartbeat_cache_read(core->reports, body, length);
    if (!report) {
        tw_reply_error(core, conn, TW_HTTP_BAD_REQUEST, 0, "malformed report");
        return;
    }
    if (report->fencing_token > core->seen_token) tw_saw_token(core, report->fencing_token, NULL);
    if (core->role == R_LEADER && report->fencing_token > core->token)
        tw_step_down(core, "a worker saw a later token");
    if (tw_may(core, RIGHT_RENEW))
        lead(core, conn, report, from_peer);
    else if (from_peer) {
        core->counters.refused[REFUSED_NO_RIGHT]++;
        tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, 1, "not the leader");
    } else if (report->fencing_token > core->leader_token) /* somebody we don't know leads by now */
        tw_reply(core, conn, TW_HTTP_MISDIRECTED, 0, tw_wire_redirect_text(NULL));
    else
        tw_relay_hello(core, conn, report, body, length);
}
