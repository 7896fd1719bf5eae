/* Taking a worker's report in, and answering it. */
#include "core/fleet.h"

/* Among so many machines, one that seems not to hear us is believed to. */
#define MACHINES_PER_DEAF 15
/* A lease that lapsed although we answered less than this ago, in leases. */
#define HEARD_LATELY_LEASES 0.5

static placement *find(const machine *machine, const tw_wire_piece *told) {
    placement *each;
    DL_FOREACH(machine->pls, each)
    if (each->attempt == told->attempt && each->index == told->index &&
        !strcmp(each->job->id, told->job))
        return each;
    return NULL;
}

/* Many machines that seem not to hear us: then it is us, or the network. */
static int deaf_believable(tw_core *core) {
    if (core->now - core->deaf_since > core->cf->lease_s) {
        core->deaf_since = core->now;
        core->deaf_n = 0;
    }
    return ++core->deaf_n <= 1 + (int)HASH_COUNT(core->machines) / MACHINES_PER_DEAF;
}

/* Whether the attempt could run only in a session before the report's: with its session a worker
 * kills and forgets all tasks. This leader knows the session that it launched in. An earlier leader
 * may have launched in the new one, of which only a late copy was heard yet, or by a message that
 * is still on its way, unless the machine refused that leader's token in the old one already.
 * `confirmed` is as of before this report; a report that confirms the machine ends what it doesn't
 * name as absent. */
static int is_of_earlier_session(const placement *placed, const tw_wire_report *report) {
    if (placed->inherited) return placed->m->confirmed;
    return placed->sent && placed->shift < report->shift;
}

/* A later session than the last one that was heard of. */
static void new_session(tw_core *core, machine *machine, const tw_wire_report *report) {
    placement *each, *next;
    int lost = 0;
    DL_FOREACH_SAFE(machine->pls, each, next) {
        if (!is_of_earlier_session(each, report)) continue;
        lost += each->on_job;
        tw_placement_lost(core, each, "session");
    }
    /* It reported, we answered, and still its lease lapsed: it does not hear us. */
    if (machine->confirmed &&
        core->now - machine->heard < HEARD_LATELY_LEASES * core->cf->lease_s && !machine->lapsed &&
        deaf_believable(core)) {
        machine->deaf += TW_DEAF_AT;
        tw_log_info("event=deaf tray=%s shift=%llu lost=%d", machine->name,
                    (unsigned long long)report->shift, lost);
    }
}

/* Nearly always it says what is known: to compare costs a tenth of printing it anew. */
static void note_text(char *known, size_t size, const char *told) {
    if (strcmp(known, told) != 0) snprintf(known, size, "%s", told);
}

/* What it says of the machine itself. */
static void note_machine(tw_core *core, machine *machine, const tw_wire_report *report) {
    if (report->shift != machine->shift) machine->session_at = core->now;
    machine->shift = report->shift;
    machine->tick = report->tick;
    machine->stage = M_UP;
    machine->contact = core->now;
    machine->unreached = 0;
    machine->lapsed = 0;
    machine->loaner = report->loaner;
    note_text(machine->endpoint, sizeof machine->endpoint, report->endpoint);
    tw_machine_at(core, machine, report->yard);
    note_text(machine->rack_name, sizeof machine->rack_name, report->rack);
    if (machine->rack < 0) machine->rack = tw_rack_index(core, report->rack);
    if (!machine->confirmed && report->baton >= core->token) {
        machine->confirmed = 1;
        machine->confirmed_at = core->now;
        core->sched_dirty = 1;
    }
    if (report->warning_s >= 0 && machine->warned_until <= 0) {
        machine->warned_until = core->now + report->warning_s;
        tw_log_info("event=notice tray=%s s=%.1f", machine->name, report->warning_s);
    }
}

/* The answer that held the launch was lost, and is not executed late. */
static void not_taken(tw_core *core, placement *placed) {
    machine *machine = placed->m;
    placed->sent = 0;
    if (placed->kill) {
        tw_placement_lost(core, placed, "never_started");
    } else if (++placed->misses >= TW_DEAF_AT && machine->deaf < TW_DEAF_AT &&
               deaf_believable(core)) {
        machine->deaf = TW_DEAF_AT;
        tw_log_info("event=deaf tray=%s misses=%d", machine->name, placed->misses);
    }
}

/* A task that the report doesn't name. proper: no answer to direct orders. */
static void absent(tw_core *core, placement *placed, const tw_wire_report *report, int proper) {
    if (placed->stage == TW_PIECE_EXITED && placed->seen) {
        tw_placement_free(core, placed); /* forgotten, as told */
    } else if (placed->inherited || placed->seen) {
        /* Gone, and nothing on the way could still start it: older tokens are refused. */
        if (placed->m->confirmed && !placed->direct) tw_placement_lost(core, placed, "absent");
    } else if (proper && !placed->direct && placed->sent_tick < report->tick) {
        /* Only the next report proper tells: an answer to direct orders may have overtaken the
         * answer that holds the launch. */
        not_taken(core, placed);
    }
}

int tw_report_take(tw_core *core, machine *machine, const tw_wire_report *report,
                   tw_orders *orders) {
    const int same_session = report->shift == machine->shift;
    if (report->shift < machine->shift || (same_session && report->tick <= machine->tick)) return 0;
    /* Its lease has surely lapsed: of that session only late reports can come, held by a cut or
     * sent by a machine that goes on after it hung. Whatever they name runs no more. */
    if (machine->lapsed && same_session) return 0;
    if (machine->shift && report->shift > machine->shift) new_session(core, machine, report);
    note_machine(core, machine, report);
    core->mark++;
    for (int i = 0; i < report->npieces; i++) {
        placement *placed = find(machine, &report->pieces[i]);
        if (placed) {
            placed->mark = core->mark;
            tw_task_reported(core, placed, &report->pieces[i]);
        } else {
            tw_task_stranger(core, machine, &report->pieces[i], orders);
        }
    }
    placement *each, *next;
    DL_FOREACH_SAFE(machine->pls, each, next) {
        if (each->mark == core->mark || (!each->sent && !each->inherited)) continue;
        absent(core, each, report, orders != NULL);
    }
    return 1;
}

/* Overtaken by the answer to direct orders, or a late copy. The worker of the former must not be
 * turned away; the latter must not make a dead machine look alive. */
static void answer_older(tw_core *core, uint64_t conn, machine *machine,
                         const tw_wire_report *report) {
    if (report->shift != machine->shift || machine->lapsed) {
        tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, 1, "older than known");
        return;
    }
    machine->renewed = core->now;
    tw_reply(core, conn, TW_HTTP_OK, 0, tw_wire_orders_text(core->token, 0, NULL, 0));
}

static void answer(tw_core *core, uint64_t conn, machine *machine, const tw_wire_report *report) {
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
                    report->rack, report->yard, report->loaner, core->now - machine->born);
    }
    tw_orders_due(core, machine, &orders, report->tick);
    machine->want_probe = machine->want_direct = 0;
    if (!machine->confirmed) tw_want_probe(core, machine);
    tw_reply(core, conn, TW_HTTP_OK, 0,
             tw_wire_orders_text(core->token, 0, orders.list, (size_t)orders.count));
}

/* A late report of a machine that we returned. */
static int is_returned(tw_core *core, const machine *machine, const char *name) {
    const gone *returned;
    HASH_FIND_STR(core->released, name, returned);
    return returned || (machine && machine->releasing);
}

/* At a node that may answer workers. */
static void lead(tw_core *core, uint64_t conn, const tw_wire_report *report, int from_peer) {
    /* Sent to its own zone, where it is answered even if that is cut off from ours. */
    const int is_ours = !strcmp(report->yard, core->cf->location);
    if (!from_peer &&
        (is_ours ? tw_redirect_safer(core, conn, report) : tw_redirect_home(core, conn, report)))
        return;
    if (core->phase == PH_LOADING) {
        /* Renewed, nothing more: what should run there is not known yet. */
        core->load_answered = core->now;
        tw_reply(core, conn, TW_HTTP_OK, 0, tw_wire_orders_text(core->token, 0, NULL, 0));
        return;
    }
    machine *machine = tw_machine(core, report->tray);
    if (is_returned(core, machine, report->tray)) {
        tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, 1, "returned");
        return;
    }
    if (!machine) {
        machine = tw_machine_new(core, report->tray);
        tw_log_info("event=machine_new tray=%s rack=%s yard=%s", report->tray, report->rack,
                    report->yard);
    }
    answer(core, conn, machine, report);
}

void tw_hello(tw_core *core, uint64_t conn, const char *body, size_t length, int from_peer) {
    if (core->now >= core->reports_tidy) {
        core->reports_tidy = core->now + core->cf->lease_s;
        tw_wire_reports_sweep(core->reports);
    }
    const tw_wire_report *report = tw_wire_reports_read(core->reports, body, length);
    if (!report) {
        tw_reply_error(core, conn, TW_HTTP_BAD_REQUEST, 0, "malformed report");
        return;
    }
    if (report->baton > core->seen_token) tw_saw_token(core, report->baton, NULL);
    if (core->role == R_LEADER && report->baton > core->token)
        tw_step_down(core, "a worker saw a later token");
    if (core->role == R_LEADER && (tw_authority(core) || tw_holding(core)))
        lead(core, conn, report, from_peer);
    else if (from_peer)
        tw_reply_error(core, conn, TW_HTTP_UNAVAILABLE, 1, "not the leader");
    else if (report->baton > core->leader_token) /* somebody we don't know leads by now */
        tw_reply(core, conn, TW_HTTP_MISDIRECTED, 0, tw_wire_foreman_text(NULL));
    else
        tw_relay_hello(core, conn, report, body, length);
}
