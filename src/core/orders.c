/* Commands to machines: those in the answers to their reports, and those sent to their own
 * address. */
#include "core/fleet.h"

#define MAX_ORDERS 500  /* keeps an answer under the protocol's 64 KiB; the rest in the next one */
#define MOST_EXITED 200 /* on a machine: keeps its report far under the protocol's 64 KiB */
#define MAX_ASKED 0.06  /* silent machines asked at once, as a share of the sockets */
#define DIRECT_S 1.5    /* a direct order's answer is waited for */
#define SPARE_TTL 0.1   /* a launch should arrive under our authority: of its length, left then */
#define SILENT_REPORTS 1.5   /* without a report for so long, a machine is asked itself */
#define PAUSE_MOST_REPORTS 8 /* between direct orders to one that doesn't answer */
#define MOST_PROBES 4

static void take(tw_room *from, const tw_wire_job *s) {
    from->cores -= s->cores;
    from->gpus -= s->gpus;
    from->memory_gb -= s->memory_gb;
}

tw_orders tw_orders_new(tw_core *core) {
    if (!core->order) core->order = tw_zalloc(MAX_ORDERS * sizeof *core->order);
    return (tw_orders){core->order, 0};
}

void tw_orders_add(tw_orders *orders, tw_wire_command order, const char *job) {
    if (orders->count >= MAX_ORDERS) return;
    snprintf(order.job, sizeof order.job, "%s", job);
    orders->list[orders->count++] = order;
}

static void add(tw_orders *orders, int verb, const placement *placed) {
    tw_orders_add(orders,
                  (tw_wire_command){.kind = verb,
                                    .index = placed->index,
                                    .attempt = placed->attempt,
                                    .grace_s = verb == TW_COMMAND_STOP ? placed->mercy_s : 0},
                  placed->job->id);
}

static int may_launch(const placement *placed) {
    /* A predecessor's is never launched again: whether it still comes is settled first, and then
     * the task gets a new attempt. */
    return !placed->inherited && !placed->seen && !placed->kill && placed->on_job &&
           placed->job->stage == TW_JOB_PENDING && !placed->job->aborting &&
           placed->ver <= placed->job->durable_ver;
}

/* A gang's task whose image is there long before the last one's is launched later. */
static int is_early(const tw_core *core, const placement *placed) {
    return core->now < placed->launch_after;
}

/* Takes off `room` what tasks that still save hold, though they count as gone. */
static void stops(const machine *machine, tw_orders *orders, uint64_t tick, tw_room *room) {
    const placement *each;
    DL_FOREACH(machine->pls, each) {
        if (!each->on_job || !each->kill) continue;
        if (!each->seen && each->direct && tick &&
            (each->sent_tick ? each->sent_tick < tick : !machine->direct_busy))
            /* A direct launch got no answer and may still come: started and stopped here, it
             * can't start then. Without that a lost one would leave the task in between for
             * ever: a kill of what the machine doesn't have tells nothing. */
            add(orders, TW_COMMAND_LAUNCH, each);
        if (each->stage != TW_TASK_SAVING || each->mercy_s <= 0) add(orders, TW_COMMAND_STOP, each);
        const int saves =
            each->mercy_s > 0 && each->job->s.checkpoint_s > 0 && each->stage != TW_TASK_FETCHING;
        if (saves && each->preempted) take(room, &each->job->s);
    }
}

/* An earlier attempt of the task has ended, or this one would not be placed: checked again where it
 * is launched, since a task that runs twice starts here. */
static int is_only_attempt(tw_core *core, const placement *placed) {
    const job *job = placed->job;
    if (placed->on_job && !placed->inherited && job->st[placed->index] == T_LIVE) return 1;
    tw_invariant_broken(core, INVARIANT_LAUNCH, "piece=%s/%d try=%llu tray=%s", job->id,
                        placed->index, (unsigned long long)placed->attempt, placed->m->name);
    return 0;
}

static void log_launch(const placement *placed, uint64_t tick) {
    tw_log_debug("event=launch piece=%s/%d try=%llu tray=%s shift=%llu tick=%llu direct=%d",
                 placed->job->id, placed->index, (unsigned long long)placed->attempt,
                 placed->m->name, (unsigned long long)placed->m->shift, (unsigned long long)tick,
                 !tick);
}

static void note_direct(const tw_core *core, placement *placed) {
    placed->direct++;
    placed->direct_at = core->now;
}

/* room: all of the machine's, less what still saves. */
static void launches(tw_core *core, machine *machine, tw_orders *orders, uint64_t tick,
                     tw_room room) {
    placement *each;
    DL_FOREACH(machine->pls, each) {
        if (!each->on_job || each->preempted) continue;
        if (may_launch(each) && !each->sent) continue;
        take(&room, &each->job->s);
    }
    DL_FOREACH(machine->pls, each) {
        if (!may_launch(each) || is_early(core, each)) continue;
        const tw_wire_job *s = &each->job->s;
        if (each->sent && !tick) continue; /* its first launch is on the way */
        if (!each->sent) {
            if (room.cores + TW_ROUNDING < s->cores || room.gpus + TW_ROUNDING < s->gpus ||
                room.memory_gb + TW_ROUNDING < s->memory_gb)
                continue;
            take(&room, s);
        }
        if (orders->count >= MAX_ORDERS) break;
        if (!is_only_attempt(core, each)) continue;
        add(orders, TW_COMMAND_LAUNCH, each);
        log_launch(each, tick);
        each->sent = 1;
        each->shift = machine->shift;
        if (tick)
            each->sent_tick = tick;
        else
            note_direct(core, each);
    }
}

static int count_exited(const machine *machine) {
    const placement *each;
    int count = 0;
    DL_FOREACH(machine->pls, each) count += each->stage == TW_TASK_EXITED;
    return count;
}

static void forgets(const tw_core *core, const machine *machine, tw_orders *orders) {
    int too_many = count_exited(machine) - MOST_EXITED; /* the oldest stand first */
    const placement *each;
    DL_FOREACH(machine->pls, each) {
        if (each->stage != TW_TASK_EXITED || !each->seen || each->direct) continue;
        /* A repeated launch starts what the machine has forgotten. */
        if (tw_launch_may_repeat(core, each) && too_many-- <= 0) continue;
        if (each->cause == TW_CAUSE_DONE && each->job->durable_ver != each->job->ver &&
            each->job->durable_stage == TW_JOB_PENDING)
            continue; /* not durable yet */
        add(orders, TW_COMMAND_FORGET, each);
    }
}

/* From a report's answer (tick > 0) they are never executed late; direct ones may be, as long as
 * token and session match:
 * - a launch is of a durable placement, which counts as running until its fate is known;
 * - a kill names one attempt, which is never started again;
 * - a forget is not sent directly, nor for an attempt whose direct launch is still under way, or
 * was sent so lately that it may come once more. */
void tw_orders_due(tw_core *core, machine *machine, tw_orders *orders, uint64_t tick) {
    tw_room room = {0, 0, 0};
    if (machine->rack >= 0) {
        const tw_wire_machine_type *type = &core->flavors[machine->rack].f;
        room = (tw_room){type->cores, type->gpus, type->memory_gb};
    }
    stops(machine, orders, tick, &room);
    if (!tw_may(core, RIGHT_COMMAND)) {
        core->counters.refused[REFUSED_COMMANDS]++;
        return;
    }
    if (machine->rack < 0) return;
    launches(core, machine, orders, tick, room);
    if (tick) forgets(core, machine, orders);
}

/* ---- direct orders ---- */

static void look_at(tw_core *core, machine *machine) {
    if (machine->in_direct) return;
    machine->in_direct = 1;
    DL_APPEND2(core->direct, machine, dprev, dnext);
}

void tw_want_direct(tw_core *core, machine *machine) {
    machine->want_direct = 1;
    look_at(core, machine);
}

void tw_want_probe(tw_core *core, machine *machine) {
    machine->want_probe = 1;
    look_at(core, machine);
}

static call *send(tw_core *core, machine *machine, const char *method, const char *path,
                  char *body) {
    call *call =
        tw_call(core, K_ORDERS, TW_TO_WORKER, machine->endpoint, method, path, body, DIRECT_S);
    snprintf(call->name, sizeof call->name, "%s", machine->name);
    machine->direct_busy = 1;
    core->ndirect++;
    return call;
}

/* Which tasks are launched by these orders: their fate is unknown until the answer. */
static void note_launches(call *call, const tw_orders *orders) {
    call->names = tw_zalloc((size_t)orders->count * TW_NAME_SIZE);
    call->vers = tw_zalloc((size_t)orders->count * sizeof *call->vers);
    for (int i = 0; i < orders->count; i++) {
        const tw_wire_command *order = &orders->list[i];
        if (order->kind != TW_COMMAND_LAUNCH) continue;
        snprintf(call->names[call->n], TW_NAME_SIZE, "%s/%d", order->job, order->index);
        call->vers[call->n++] = order->attempt;
    }
}

/* Orders that order nothing make a machine know our token, and tell what is on it. Commands go only
 * to one that answered lately: others might carry them out late. */
static void direct(tw_core *core, machine *machine) {
    if (machine->direct_busy || core->now < machine->direct_after ||
        (!machine->want_direct && !machine->want_probe))
        return;
    const int probe = machine->want_probe;
    const double silent_s = core->now - machine->contact;
    const double in_touch_s = TW_IN_TOUCH_REPORTS * core->cf->report_s;
    machine->want_direct = machine->want_probe = 0;
    if (machine->release || !*machine->endpoint) return;
    if (!probe && (machine->stage != M_UP || !machine->confirmed || silent_s > in_touch_s)) return;
    if (!machine->shift) { /* its session is not known yet */
        send(core, machine, "GET", "/inspect", NULL);
        return;
    }
    tw_orders orders = tw_orders_new(core);
    if (machine->confirmed && silent_s < in_touch_s) tw_orders_due(core, machine, &orders, 0);
    if (!orders.count && !probe) return;
    char *body = tw_orders_direct_text(core, machine, &orders);
    if (!body) return;
    note_launches(send(core, machine, "POST", "/orders", body), &orders);
}

static void look_at_all(tw_core *core) {
    const int most = (int)(MAX_ASKED * core->cf->sockets);
    int asked = core->ndirect;
    machine *each, *next;
    HASH_ITER(hh, core->machines, each, next) {
        if (each->direct_busy || core->now < each->direct_after) continue;
        /* Its reports may reach a node that can't reach us, while we reach the machine. */
        if (each->stage == M_UP &&
            core->now - each->contact > SILENT_REPORTS * core->cf->report_s && asked < most) {
            each->want_probe = 1;
            asked++;
        }
        if (each->want_direct || each->want_probe) look_at(core, each);
    }
}

/* Runs after every input, so it looks only at machines that something was wanted of; at all of them
 * once a tick. */
void tw_fleet_direct(tw_core *core) {
    machine *due;
    if (core->now + SPARE_TTL * core->ttl > core->auth_until) return;
    if (core->now >= core->next_direct) {
        core->next_direct = core->now + tw_core_tick_s(core);
        look_at_all(core);
    }
    while ((due = core->direct)) {
        DL_DELETE2(core->direct, due, dprev, dnext);
        due->in_direct = 0;
        direct(core, due);
    }
}

/* A launch that was sent so is no longer under way; refused: it won't start. */
static void settle_launch(const machine *machine, const char *task, uint64_t attempt, int refused) {
    placement *each;
    char name[TW_NAME_SIZE];
    DL_FOREACH(machine->pls, each) {
        snprintf(name, sizeof name, "%s/%d", each->job->id, each->index);
        if (each->attempt != attempt || strcmp(name, task) != 0) continue;
        tw_launch_answered(each, refused);
        return;
    }
}

void tw_fleet_response(tw_core *core, call *call, int status, const char *body, size_t length) {
    machine *machine = tw_machine(core, call->name);
    if (!machine) return;
    core->ndirect -= machine->direct_busy;
    machine->direct_busy = 0;
    if (machine->want_direct || machine->want_probe) look_at(core, machine);
    if (status == 0) {
        machine->unreached++;
        const double pause =
            machine->contact ? fmin(1 + machine->unreached, PAUSE_MOST_REPORTS) : 1;
        machine->direct_after = core->now + pause * core->cf->report_s;
        if (!machine->contact && ++machine->probe_fails < MOST_PROBES) tw_want_probe(core, machine);
        return; /* may still arrive: the placements keep their mark */
    }
    for (int i = 0; i < call->n; i++)
        settle_launch(machine, call->names[i], call->vers[i], status != TW_HTTP_OK);
    tw_wire_heartbeat report;
    if ((status != TW_HTTP_OK && status != TW_HTTP_CONFLICT) ||
        tw_wire_heartbeat_parse(&report, body, length))
        return;
    if (report.fencing_token > core->token) {
        tw_saw_token(core, report.fencing_token, NULL);
    } else if (!strcmp(report.worker, machine->name)) {
        tw_report_take(core, machine, &report, NULL);
        if (!machine->confirmed && machine->probed++ < MOST_PROBES) tw_want_probe(core, machine);
    }
    tw_wire_heartbeat_free(&report);
}
