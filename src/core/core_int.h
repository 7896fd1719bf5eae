/* What the files of the core share. Not for other packages. */
#ifndef TW_CORE_INT_H
#define TW_CORE_INT_H
#include "core/budget.h"
#include "core/core.h"
#include "core/memory.h"
#include "core/room.h"
#include "core/status.h"
#include "log/log.h"
#include "wire/wire.h"
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#define TW_LEADER_KEY "leader"
/* Key of a deputy: this and the node's name; and room for one. */
#define TW_DEPUTY_KEY "dep/"
#define TW_DEPUTY_KEY_SIZE (TW_NAME + sizeof TW_DEPUTY_KEY)
#define TW_MAX_ZONES 16
#define TW_RENT_NUMBER 50 /* machines a request to the cloud, by the protocol */
/* By the protocol, once troubles are over: the largest jobs begin within this, too. */
#define TW_BEGIN_S 240.0
#define TW_MAX_TXNS 3 /* transactions in flight, over disjoint jobs */

struct job;
struct machine;

/* ---- placements: a task that runs, or may run, on a machine ---- */

enum { PL_SENT_NO, PL_SENT }; /* whether a launch may have reached the machine */
typedef struct placement {
    struct job *job;
    struct machine *m;
    int index;
    uint64_t attempt;
    uint64_t ver;       /* job version that holds it: launchable once that is durable */
    int inherited;      /* written by a predecessor */
    int sent;           /* a launch went out */
    int direct;         /* launches sent to /orders whose fate is unknown */
    uint64_t sent_tick; /* report to whose response the last launch was attached */
    uint64_t shift;     /* session it was sent in */
    int misses;         /* launches that did not take */
    int sharing;        /* other images the machine fetched when it was placed */
    int warmth;         /* then: its image was cached (1), absent (0) or on its way (-1) */
    int seen, stage;    /* from reports: TW_PIECE_* once seen */
    int cause;
    int kill;      /* to be stopped */
    int preempted; /* counts as running until it is gone, but its room is promised */
    double mercy_s;
    double made_at, run_at, kill_at; /* run_at 0: not yet */
    double launch_after;             /* a gang's task: not launched before, see gang.c */
    uint64_t mark;                   /* scratch: seen in the report in hand */
    int on_job;                      /* still in the job's list (not exited, not lost) */
    struct placement *jprev, *jnext; /* job's list */
    struct placement *prev, *next;   /* machine's list */
} placement;

/* ---- jobs ---- */

/* How far an attempt of a gang has come; see gang.c. */
typedef enum {
    GANG_IDLE,      /* no task of it may run */
    GANG_GATHERING, /* placed whole; not known to have started */
    GANG_RUNNING,   /* has started */
    GANG_STOPPING   /* every task is told to stop */
} gang_state;

/* Machines that one attempt may lose before it starts, and be completed elsewhere. */
#define GANG_MOST_REPLACED 4

typedef struct gang {
    gang_state state;
    uint64_t attempt;
    double grace_s;      /* that the tasks get when it is stopped */
    int saved;           /* while it stops: a task has told that its progress is saved */
    double waits_from;   /* when a task was first seen to wait for the others; 0: none yet */
    double missing_from; /* since when a task is to be replaced; 0: none is */
    struct machine *left[GANG_MOST_REPLACED]; /* where tasks of this attempt were, and are gone */
    int nleft;
} gang;

enum { T_FREE, T_LIVE, T_DONE };
typedef struct waiter {
    uint64_t conn;
    int cancels; /* else: a submission */
    double until;
    struct waiter *next;
} waiter;

typedef struct lane {
    char name[TW_NAME];
    double within_s;     /* start objective, 0: none */
    double finish_s;     /* objective for the end, from the submission; 0: none */
    int deadline;        /* has a deadline objective */
    double ratio, dev;   /* EMA of actual over estimated run time, and of its deviation */
    double rate;         /* EMA of tasks asked per second */
    double batch_tasks;  /* EMA of tasks per job */
    double largest_gang; /* tasks of the largest gang so far */
    double last_arrival;
    tw_wire_job sample; /* shape of its latest job (no racks) */
    int has_sample;
    uint32_t sample_racks;
    int reserve, holes; /* tasks to keep room for, and that there is room for; see reserve.c */
    UT_hash_handle hh;
} lane;

typedef struct job {
    char id[TW_WIRE_ID];
    int has_spec;
    tw_wire_job s;
    char *spec_text;   /* s as in the record, made once; NULL: not yet */
    size_t spec_bytes; /* the length of that text; 0: not measured yet */
    int team;          /* index, -1: unknown */
    lane *lane;
    uint32_t rackmask; /* over c->flavors */
    uint32_t bundle;   /* sum of its image's name */
    int pieces;
    int stage; /* TW_STAGE_PENDING while unfinished */
    int durable_stage;
    double submitted; /* steady clock */
    double submitted_wall;
    uint8_t *st; /* per task; NULL once over */
    int ndone, nlive;
    int cursor; /* no free task below it */
    uint64_t next_try;
    placement *live;
    int nplacements; /* that point to it: live, or not yet forgotten by their machines */
    /* writing */
    int created; /* its key is known to exist */
    uint64_t stamp, ver, durable_ver, writing_ver;
    int inflight, queued, urgent, need_read, reading;
    int over_sent; /* a record that says it is over may be in the state service */
    double write_after;
    char set[TW_WIRE_SET];      /* slices that its record names as last known; "": it is whole */
    int slices;                 /* how many */
    struct record_parts *parts; /* of its next record, while they are written; see record_parts.c */
    int refusals;               /* of its record for its size, in a row */
    size_t refused_bytes;       /* the length that was refused */
    int alone;                  /* to be written in a transaction of its own */
    waiter *waiters;
    /* errors */
    int aborting; /* its user cancels it; not yet safe to tell, see tw_abort_safe */
    uint64_t abort_seq;
    int errors; /* in a row */
    double retry_at;
    struct machine *bad[4]; /* machines it failed on lately, passed over until bad_until */
    int nbad;
    double bad_until;
    double pending_since;
    int begun;                 /* a task of it has run for a lease */
    int guaranteed;            /* scratch: within its team's guarantee, see queue.c */
    int cramped;               /* nothing can be rented for it */
    int any_machine;           /* without GPUs, but only GPU machines are to be had */
    int resumed;               /* a task's run time is no longer the whole */
    gang gang;                 /* of a job whose tasks start together */
    struct job *prev, *next;   /* c->active */
    struct job *wprev, *wnext; /* c->dirty */
    int in_cancelled;
    struct job *cprev, *cnext; /* c->cancelled */
    UT_hash_handle hh;
} job;

/* ---- machines ---- */

typedef struct image {
    char name[TW_WIRE_NAME];
    uint32_t sum;              /* of the name, compared first */
    double gb, used, ready_at; /* ready_at 0: cached; else expected */
    struct image *prev, *next;
} image;

enum { M_BOOTING, M_UP };
typedef struct machine {
    char name[TW_NAME], endpoint[TW_NAME], yard[TW_NAME];
    int rack; /* index in c->flavors, -1 unknown */
    char rack_name[TW_NAME];
    int loaner, stage;
    uint64_t shift, tick;
    double session_at;   /* when we learned of its session: it began no later than that */
    int confirmed;       /* has seen our token */
    double confirmed_at; /* when we learned that */
    double born;         /* known since (rental, or first sight) */
    double heard;        /* last report that we answered or will answer; 0 never */
    double contact;      /* last report, also in answer to direct orders */
    double first_heard;
    double renewed;      /* an older report was answered then */
    double warned_until; /* 0: no notice; else when it is taken */
    int overdue;         /* booting for longer than is usual */
    int probe_fails;     /* asked in vain, in a row */
    int unreached;       /* direct orders without an answer, in a row, since the last report */
    int probed;          /* asked once, since it stood in the list */
    int listed, missing; /* seen in a list; lists in a row without it */
    int failed;
    int cordon;             /* nothing new: sick, deaf, returning */
    int release, releasing; /* to be returned; call in flight */
    int lapsed;
    double no_close_until;
    int closing;       /* its replicas are being moved, to return it */
    double idle_since; /* 0: not idle */
    int keep;          /* scratch: needed as headroom */
    int deaf;          /* launches in a row that did not take */
    int blame;         /* errors in a row, of different jobs, weighed: see sick.c */
    char err_last[TW_WIRE_ID];
    double failed_at, failed_after_s; /* the last error; the longest that a failed task had run */
    int trial;                        /* suspect, and tried with one task at a time */
    double trial_at, sick_pause;
    double slowness, q, p;         /* EMAs; p in seconds a GB */
    double step, step_of;          /* what slowness step_of is in steps, see preference.c */
    double used_c, used_g, used_m; /* by all that may run */
    double kill_c, kill_g, kill_m; /* part of it that was told to stop for others */
    struct {
        double c, g, m;
    } held[TW_RANK_PROD + 1]; /* the rest of it, by rank */
    int held_for_gang;        /* scratch of a pass: for c->holder, see gang_hold.c */
    int zone;                 /* index in c->yards, -1: not known, or too many */
    int direct_busy, want_direct, want_probe;
    double direct_after;           /* no direct orders before this */
    int in_direct;                 /* in c->direct, to be looked at */
    struct machine *dprev, *dnext; /* there */
    image *images;
    placement *pls;
    UT_hash_handle hh;
} machine;

/* ---- calls ---- */

enum {
    K_LEADER_GET,
    K_LEADER_WATCH,
    K_GRANT,
    K_ACQUIRE,
    K_RENEW,
    K_GRANT_DEL,
    K_TXN,
    K_PARTS,        /* slices of a record */
    K_PARTS_REMOVE, /* of sets that no record names any more */
    K_JOB_READ,     /* to settle a job's stamp */
    K_LOOKUP,       /* an unknown job, for a user */
    K_CREATE,       /* a follower's own accept */
    K_LOAD,
    K_PING,
    K_PROXY,
    K_ORDERS,
    K_FLAVORS,
    K_LIST,
    K_RENT,
    K_RELEASE,
    K_RELAY,
    K_DEPUTY,
    K_DEPUTIES,
    K_DEP_JOBS,
    K_NEWS_LIST,
    K_NEWS,
    K_NEWS_DEL,
    K_KINDS
};
/* A job's record as a transaction holds it. */
typedef struct job_write {
    char id[TW_WIRE_ID];
    uint64_t ver;          /* of the job, when the record's text was made */
    uint64_t stamp;        /* that the write is conditioned on */
    int stage;             /* TW_STAGE_* that the record holds */
    char set[TW_WIRE_SET]; /* of a divided one */
    int slices;
    size_t bytes; /* of its text */
} job_write;

typedef struct call {
    uint64_t id;
    int kind;
    double sent, until;
    uint64_t conn, gen, seq;
    int n, op;
    char name[256];
    char *text;             /* a request kept for a second way */
    char (*names)[TW_NAME]; /* trays of a release */
    job_write *records;     /* of a txn */
    uint64_t *vers;
    UT_hash_handle hh;
} call;

/* A worker's report that waits for a leader, see relay.c. */
typedef struct held_report {
    uint64_t conn;
    char tray[TW_NAME];
    char *body;
    double until;
    struct held_report *prev, *next;
} held_report;

typedef struct flavor {
    tw_wire_flavor f;
    double slowness, q, p; /* priors pooled by type */
    double p_dev;          /* EMA of |p of a fetch / p - 1|: a rate differs from fetch to fetch */
    double overdue;        /* EMA of the share of machines that come up late or never */
    double late_sum;       /* scratch of a plan */
    double share;          /* EMA, 0 to 1: how much a fetch is slowed by each other one beside it */
} flavor;

/* A kind of machine in a zone, as the cloud has treated us. */
typedef struct offer {
    int rack, zone, loaner;
    double refused_until;
    int refused;
    int have;            /* scratch: machines of the type in the zone */
    int want;            /* to be asked for, as of the last plan */
    double wanted_since; /* 0: not wanted */
} offer;

/* Room as the plan sees it: of a machine, or of one that is to come. */
typedef struct bin {
    machine *m; /* NULL: to come */
    offer *o;   /* of one to be rented */
    int rack, loaner, busy, tried;
    const char *yard;
    double c, g, mem;
} bin;
typedef struct bins {
    bin *v;
    int n, cap;
    struct bin_start *starts; /* where to begin for a kind of task: see bins.c */
    int nstarts, starts_cap;
} bins;

/* Room that a running batch task is expected to give back. */
typedef struct tw_release {
    double at;
    bin room;
} tw_release;
typedef struct tw_drain {
    tw_release *v;
    int n;
} tw_drain;

typedef struct ask {
    char name[TW_NAME];
    int rack, zone, loaner, number, busy;
    double next_try;
    struct ask *prev, *next;
} ask;

typedef struct peer {
    tw_conf_peer cf;
    int failover_in_time; /* see tw_core */
    uint64_t token;       /* what it said it had seen */
    double ok_at;         /* when a ping was last answered (send time) */
    double back_at;       /* when it answered again after a silence */
    double vouched_at;    /* the same, and it can't have led since the time before */
    double next;
    int busy, state_ok;
    int record_format;             /* TW_RECORD_* by its last heartbeat; 0: none was heard */
    uint64_t dep_stamp;            /* of its key as a deputy, 0: none */
    double dep_until;              /* it may answer workers until then, by its key */
    uint64_t abort_ack, asked_seq; /* it knows of the cancellations up to, was told of */
    double grant_until;            /* and by our answer to its ping, as long as it can't reach us */
    double dep_last; /* when it last did, as it said in answer to a ping sent at dep_asof */
    double dep_asof;
    double shun_from, shun_until; /* workers sent to it come back, see redirect.c */
    int came_back;
} peer;

/* A worker, the node that we told it to report to, and when. */
typedef struct redirect {
    char name[TW_NAME];
    const peer *to;
    double at;
    int back; /* and it came back */
    UT_hash_handle hh;
} redirect;

typedef struct gone {
    char name[TW_NAME];
    double at;
    UT_hash_handle hh;
} gone;

/* What makes room of use to a task. One of this shape found none. */
typedef struct tw_futile {
    double cores, gpus, mem;
    uint32_t racks, zones;
    int loaner, rank, service, any_machine, whole;
} tw_futile;

/* A submission that was turned away and will come again: machines are rented for it meanwhile. */
typedef struct wish {
    char id[TW_WIRE_ID];
    job j; /* not among the jobs: nothing of it is accepted */
    double until;
    UT_hash_handle hh;
} wish;

enum { R_FOLLOWER, R_LEADER };
enum { PH_LOADING, PH_ACTIVE };

struct tw_core {
    const tw_conf *cf;
    double now, wall;
    gsl_rng *rng;
    tw_fx *fx_head, *fx_tail;
    call *calls;
    unsigned calls_made[K_KINDS], calls_refused; /* to the state service, since the last log line */
    double next_calls_log;
    uint64_t next_call;

    /* election */
    int role, phase;
    double load_answered; /* last report answered while the records were read */
    uint64_t gen;         /* changes with each term: calls of another term are ignored */
    uint64_t hold, token, seen_token;
    double ttl, auth_until, acquired_at, next_renew, next_poll;
    int renew_busy, poll_busy, electing;
    uint64_t watch_since; /* revision to watch the leader key from; 0: read it first */
    double grant_sent, renew_sent;
    tw_budget follows;   /* this node's part of the requests that elections may take */
    int follows_refused; /* of those, in a row */
    char leader[TW_NAME];
    uint64_t leader_token;
    double leader_seen, state_ok_at, started_at;
    int fresh;               /* this term began without any job */
    double opened_at;        /* first acceptance in a state service without jobs */
    double all_confirmed_at; /* 0: not all peers have said that they know our token */
    peer *peers;
    size_t npeers;
    /* A worker of this node's zone that reports to it finds another node within its lease when it
     * ends, also where no other zone can be reached; see failover.c. */
    int failover_in_time;

    /* as a deputy, see deputy.c; reports handed on, see relay.c; redirects, see redirect.c */
    uint64_t dep_token, dep_seq;
    double dep_until, dep_read_at, relay_bad_until;
    uint64_t grant_token; /* by the leader's answer to a ping */
    double grant_until;
    double dep_last;      /* when we last answered a worker as a deputy */
    struct gone *relayed; /* workers, and when the leader last answered them through us */
    double relayed_tidy;
    redirect *redirects; /* workers that were told of another node */
    double redirects_tidy;
    int dep_busy, nheld;
    double dep_try;    /* no earlier attempt to become one */
    held_report *held; /* reports that wait for a leader */
    double held_next;
    uint64_t abort_seq;  /* numbers the cancellations of a term */
    gone *dep_aborted;   /* cancelled jobs, whose tasks a deputy stops: read as one by its key */
    gone *grant_aborted; /* and named with the leader's last grant */
    int dep_listing;
    double dep_list_from, dep_list_next;
    char dep_list_after[256];
    /* deputies, at the leader, see deputies_seen.c */
    int dep_reading, dep_known;
    double dep_checked_at, dep_next, lapse_decided_at;

    /* jobs */
    job *jobs, *active, *dirty;
    struct tw_finished
        *finished;  /* jobs that are over and of which nothing may run; see finished.h */
    job *cancelled; /* those being cancelled, and cancelled ones that may still run */
    wish *wishes;
    lane *lanes;
    int ntxns, ndirty_new;
    uint64_t last_set;            /* numbers the sets of slices that this process writes */
    struct stale_set *stale_sets; /* that no record names: to be removed */
    int stale_busy;
    double stale_next;
    int divides, heard_old;         /* as of the last look at the peers */
    struct loaded_set *loaded_sets; /* of divided records, while they are read */
    int load_parts;                 /* those are being read, before the records */
    tw_budget writes, reqs, cloud;
    int old_credit[TW_RANK_PROD + 1]; /* by rank: the next room may go to the longest wait */
    tw_budget reads, creates;         /* of a node that does not lead */
    double *team_c, *team_g;          /* in use, or may be */
    char load_after[256];
    double load_retry;
    int load_busy;
    int news_busy; /* jobs that other nodes accepted, see accepted_elsewhere.c */
    gone *untaken; /* those that we heard of and that aren't among ours yet, and their next read */
    uint64_t news_since;
    double news_next;

    /* fleet */
    flavor *flavors;
    int nflavors;
    double next_flavors;
    int flavors_busy;
    machine *machines;
    size_t longest_name;      /* of a machine that was known in this process */
    machine *direct;          /* those that may be due for direct orders */
    int ndirect;              /* direct orders on their way */
    double next_direct;       /* no look at all machines before it */
    tw_wire_reports *reports; /* as they came last */
    double reports_tidy;
    tw_wire_order *order; /* scratch: the orders in hand */
    char yards[TW_MAX_ZONES][TW_NAME];
    int nyards;
    uint64_t steps;    /* machines looked at in passes over the fleet: what such a pass costs */
    tw_futile *futile; /* kinds of tasks that found no room in this pass, see futile.c */
    int nfutile, futile_cap;
    struct job *holder;              /* gang that machines are held for in this pass; NULL: none */
    struct tw_candidate *candidates; /* machines that this pass may use, see candidates.c */
    int ncandidates, candidates_cap;
    struct tw_score_table *score_tables; /* of this pass, see scores.c */
    int nscore_tables, next_score_table;
    double gpu_cores, gpu_mem; /* what a GPU's user takes along at most, by the lanes' samples */
    gone *released;
    int list_busy, list_more, lists;
    char list_after[TW_NAME];
    double next_list;
    int release_busy;
    int returns_due; /* some machine is to be returned and may not have been asked for */
    double release_retry;
    offer *offers;
    int noffers;
    ask *asks;
    uint64_t next_ask;
    double next_rent, rent_from, next_fleet_log;

    double next_move;
    struct {
        double free_cores, free_gpus; /* shares */
    } zones[TW_MAX_ZONES + 1]; /* as of the last pass; the last one: machines of no known zone */
    struct {
        char yard[TW_NAME];
        int all, silent;
        double until; /* taken for cut off until then */
    } quiet[TW_MAX_ZONES];
    int nquiet;
    int sched_dirty;
    double next_sched, next_recheck;
    double next_tidy, next_fleet;
    double deaf_since;
    int deaf_n;
    uint64_t mark;
};

/* effects.c: replies to requests, and calls until their responses come. The body is taken. */
/* retry_after: seconds, 0: none. conn 0: nobody waits for the reply. */
void tw_reply(tw_core *core, uint64_t conn, int status, double retry_after, char *body);
void tw_reply_error(tw_core *core, uint64_t conn, int status, double retry_after, const char *what);
/* kind: K_*; to: TW_TO_*. Returns what is known of the call until its response, to be filled in. */
call *tw_call(tw_core *core, int kind, int to, const char *addr, const char *method,
              const char *path, char *body, double timeout_s);
/* The call that a response with this status belongs to, to be freed by tw_call_free; NULL: none is
 * waited for. */
call *tw_call_answered(tw_core *core, uint64_t id, int status);
void tw_call_free(call *sent);
/* Logs now and then how often the state service was called: its limit is for all nodes together. */
void tw_calls_log(tw_core *core);
/* Frees the calls and the effects that nobody took. */
void tw_effects_free(tw_core *core);

/* election.c */
void tw_election_init(tw_core *c); /* needs the settings and the time */
void tw_election_tick(tw_core *c);
void tw_election_response(tw_core *c, call *k, int status, const char *body, size_t len);
void tw_saw_token(tw_core *c, uint64_t token, const char *leader);
void tw_step_down(tw_core *c, const char *why);
/* How long a leader leaves the state service's limit to others after an answer with this status. */
double tw_refused_wait_s(tw_core *c, int status);

/* authority.c */
int tw_authority(const tw_core *c); /* may command, write and tell */
int tw_holding(const tw_core *c);   /* may renew workers' leases, no more */
double tw_predecessor_end(const tw_core *c);
double tw_blind_s(const tw_core *c);
double tw_alone_s(const tw_core *c);

/* heartbeat.c */
int tw_abort_safe(tw_core *c, const job *j, int ask);
void tw_ping_request(tw_core *c, uint64_t conn, const char *body, size_t len);
peer *tw_peer_of(tw_core *c, const char *name);
int tw_isolated(const tw_core *c);
/* Whether every other node has said that it reads divided records; and whether one says that it
 * doesn't. */
int tw_all_read_divided(const tw_core *c);
int tw_heard_old_peer(const tw_core *c);

/* recover.c */
/* A term begins: the records are read. */
void tw_recover_begin(tw_core *core);
void tw_recover_tick(tw_core *core);
/* The state service answered with a page of records. */
void tw_recover_page(tw_core *core, int status, const char *body, size_t len);
/* A job as its record has it, among the jobs or, if it is over and nothing of it may run, among the
 * finished ones. Takes what the job was submitted with out of the record. */
void tw_adopt(tw_core *core, const char *id, tw_wire_record *record, uint64_t stamp);

/* term.c */
/* Everything that belongs to a term is forgotten with it. */
void tw_term_clear(tw_core *core);

/* job.c, job_class.c, job_store.c, turned_away.c, user_requests.c, accepted_elsewhere.c */
job *tw_job_find(tw_core *c, const char *id);
job *tw_job_new(tw_core *c, const char *id);
void tw_job_spec(tw_core *c, job *j, tw_wire_job *s /* taken */);
void tw_job_changed(tw_core *c, job *j, int urgent);
void tw_job_free(tw_core *c, job *j);
/* A placement of the job is no more; the job may be none either after it. */
void tw_job_unplaced(tw_core *c, job *j);
void tw_job_finish(tw_core *c, job *j, int stage);
void tw_job_cancelled(tw_core *c, job *j);
int tw_job_durable(const job *j);
void tw_wish_drop(tw_core *c, wish *w);
char *tw_job_answer(const job *j);
char *tw_job_record(job *j);
void tw_jobs_flush(tw_core *c);
void tw_jobs_response(tw_core *c, call *k, int status, const char *body, size_t len);
void tw_jobs_tick(tw_core *c);
void tw_news_tick(tw_core *c);
void tw_news_response(tw_core *c, call *k, int status, const char *body, size_t len);
void tw_submit(tw_core *c, uint64_t conn, const char *body, size_t len, int from_peer);
void tw_poll(tw_core *c, uint64_t conn, const char *id, int from_peer);
void tw_abort_job(tw_core *c, uint64_t conn, const char *id, int from_peer);
void tw_users_response(tw_core *c, call *k, int status, const char *body, size_t len);
lane *tw_lane(tw_core *c, const char *name);
int tw_job_hopeless(tw_core *c, const tw_wire_job *s); /* 422 */
/* The machine types that a job allows, a bit each, over c->flavors. */
uint32_t tw_rack_mask(const tw_core *c, const tw_wire_job *s);
/* task_ranges.c: "0-5,7", the tasks in a state */
char *tw_ranges_text(const uint8_t *st, int n, int want);
int tw_ranges_apply(uint8_t *st, int n, const char *text, int to);

/* machine.c, lapse.c */
machine *tw_machine(tw_core *c, const char *name);
machine *tw_machine_new(tw_core *c, const char *name);
void tw_machine_drop(tw_core *c, machine *m, const char *why);
void tw_machine_at(tw_core *c, machine *m, const char *yard);
int tw_rack_index(const tw_core *c, const char *label);
int tw_machine_silent(const tw_core *c, const machine *m);
int tw_machine_usable(const tw_core *c, const machine *m);

/* image.c */
uint32_t tw_sum(const char *name);
image *tw_image(const machine *m, const job *j);
double tw_fetch_slowed(const tw_core *c, const machine *m, const image *but);

/* placement.c */
placement *tw_place(tw_core *c, job *j, int index, machine *m, uint64_t attempt);
void tw_placement_lost(tw_core *c, placement *p, const char *why);
void tw_placement_kill(tw_core *c, placement *p, double mercy, int preempted);
void tw_placement_free(tw_core *c, placement *p);

/* report.c, orders.c, fleet.c */
void tw_hello(tw_core *c, uint64_t conn, const char *body, size_t len, int from_peer);
void tw_want_direct(tw_core *c, machine *m);
void tw_want_probe(tw_core *c, machine *m);
void tw_fleet_direct(tw_core *c);
void tw_fleet_response(tw_core *c, call *k, int status, const char *body, size_t len);
void tw_fleet_tick(tw_core *c);

/* sick.c */
void tw_sick_blame(tw_core *c, const placement *p, int elsewhere);
void tw_sick_well(tw_core *c, machine *m);
void tw_sick_running(tw_core *c, const placement *p);
void tw_sick_tick(tw_core *c, machine *m);
int tw_sick_allows(const machine *m);

/* place.c */
void tw_schedule(tw_core *c);
int tw_place_new(tw_core *c, job *j);

/* record_size.c */
/* Bytes that a record's text may have to be written as one value, under the smaller limit. */
size_t tw_record_room(const tw_core *core);
/* How many tasks of the job may be live at once for its record to fit into one value. */
int tw_max_live(const tw_core *core, job *job);

/* gang.c: jobs whose tasks run together or not at all */
/* All tasks that are to run were placed under one attempt, or the missing ones were replaced. */
void tw_gang_placed(tw_core *core, job *job);
/* A predecessor's placements were taken from the job's record. */
void tw_gang_adopted(job *job);
/* A report tells a task's state that was not known. */
void tw_gang_reported(tw_core *core, placement *placed);
/* A task is no longer on its machine, and not done. */
void tw_gang_left(tw_core *core, placement *placed);
/* One task is done: they complete together, so all are. */
void tw_gang_done(tw_core *core, job *job);
/* The whole gang is to be stopped; its tasks save if they can all be told in time. */
void tw_gang_stop(tw_core *core, job *job, double grace_s);
/* Whether an orderly stop would reach every task in time, and keep its progress. */
int tw_gang_can_save(const tw_core *core, const job *job);
/* Whether it waits to be placed, or for the replacement of a task. */
int tw_gang_pending(const job *job);
/* Whether a task of this attempt was on the machine and is gone: it is not started there again. */
int tw_gang_has_left(const job *job, const machine *machine);
void tw_gang_tick(tw_core *core, job *job);
const char *tw_gang_state_name(const job *job);

/* recheck.c */
void tw_recheck(tw_core *c);

/* estimate.c */
double tw_job_due(const tw_core *c, const job *j); /* steady time; INFINITY: none */
double tw_job_start_due(const job *j); /* of a gang: its start objective; INFINITY: none */
double tw_estimate(const job *j);      /* run time on a machine of slowness 1 */

/* constraints.c */
int tw_zone_allows(const tw_core *c, const job *j, const char *yard);
/* Whether the team's limit allows so many more tasks of the job. */
int tw_quota_allows(const tw_core *c, const job *j, int tasks);
void tw_per_gpu_note(tw_core *c);

/* reserve.c */
void tw_reserve_note(tw_core *c);
int tw_reserve_allows(const tw_core *c, const machine *m, const job *j);
void tw_reserve_take(tw_core *c, const machine *m, const job *j);

/* queue.c: pending jobs, in the order in which they should be served */
typedef struct tw_turns tw_turns;
/* The jobs that are pending now, which have to outlive it. With overdue ones, the jobs that have
 * waited too long for their first task are served between the others. Free it with tw_turns_free.
 */
tw_turns *tw_turns_new(tw_core *core, int with_overdue);
/* The next job; NULL: all have been served. */
job *tw_turns_next(tw_core *core, tw_turns *turns);
/* That so many tasks of the job that was served last were placed. */
void tw_turns_placed(tw_core *core, const tw_turns *turns, const job *job, int count);
/* Puts the last job back at its team's head: it may get more when its team's turn comes again. */
void tw_turns_again(tw_turns *turns);
/* Whether another team waits at the same level as the job served last, or an overdue job of its
 * priority, or the last one was overdue itself. */
int tw_turns_contended(const tw_turns *turns);
void tw_turns_free(tw_turns *turns);
/* Whether a job has tasks that may be placed now. */
int tw_job_pending(const tw_core *core, const job *job);

/* failover.c */
/* Works out failover_in_time of this node and its peers, from their names and zones alone. */
void tw_failover_init(tw_core *core);

/* redirect.c: which node a worker is told to report to */
/* A live node of that zone, for workers to report to, rather one whose end they survive; NULL: none
 * known. */
peer *tw_home_of(tw_core *core, const char *zone);
/* Whether some node of that zone answers us. */
int tw_zone_reached(const tw_core *core, const char *zone);
/* A worker of another zone: redirected to a node of its own; 0: none, or none that answers it. */
int tw_redirect_home(tw_core *core, uint64_t conn, const tw_wire_report *report);
/* A worker of this node's zone, at a node whose end would cost it its lease if the zone is cut off:
 * redirected to another one of the zone where that is not so; 0: there is none, or it is answered
 * here. */
int tw_redirect_safer(tw_core *core, uint64_t conn, const tw_wire_report *report);
void tw_redirect_end(tw_core *core);

/* deputy.c: renews leases for a leader that can't be reached */
/* How long a deputy's entitlement lasts from the sending of its write. */
double tw_deputy_s(const tw_core *core);
/* Cancelled jobs, as the leader says: their tasks are stopped by whoever answers their machines. */
void tw_aborted_note(tw_core *core, uint64_t token, const char *body, size_t len);
/* The leader's answer to a heartbeat: should we lose it, we may answer our zone's workers for a
 * while. With it come the cancelled jobs that may still run. */
void tw_deputy_granted(tw_core *core, double sent, uint64_t token, const char *body, size_t len);
/* The state service answered the write of this node's key. */
void tw_deputy_response(tw_core *core, call *sent, int status);
/* The state service answered with a page of jobs. */
void tw_deputy_jobs(tw_core *core, int status, const char *body, size_t len);
void tw_deputy_tick(tw_core *core);
void tw_deputy_end(tw_core *core);

/* relay.c: reports handed to the leader and its answers back, held reports */
/* A report at a node that does not lead. */
void tw_relay_hello(tw_core *core, uint64_t conn, const tw_wire_report *report, const char *body,
                    size_t len);
/* The leader answered a report that was handed to it. */
void tw_relay_response(tw_core *core, call *sent, int status, const char *body, size_t len);
void tw_relay_tick(tw_core *core);
void tw_relay_end(tw_core *core);

/* deputies_seen.c: deputies, at the leader */
/* Until when some deputy of the zone (empty: of any) may have answered workers. */
double tw_deputies_until(const tw_core *core, const char *zone);
/* Conditions that the deputies' keys are as they are known; returns how many. */
int tw_deputy_conds(const tw_core *core, tw_wire_cond *conds, char (*keys)[TW_DEPUTY_KEY_SIZE]);
/* Reads the deputies' keys, unless that is under way. */
void tw_deputies_read(tw_core *core);
/* The state service answered with the keys. */
void tw_deputies_page(tw_core *core, call *sent, int status, const char *body, size_t len);
void tw_deputies_tick(tw_core *core);

/* plan.c */
void tw_plan(tw_core *c);

/* bins.c */
int tw_bin_fits(const bin *b, const tw_wire_job *s);
int tw_bin_allowed(const bin *b, const tw_wire_job *s, uint32_t racks);
int tw_bin_leaves_gpus(const tw_core *c, const bin *b, const tw_wire_job *s, int any_machine);
void tw_bin_take(bin *b, const tw_wire_job *s);
void tw_bin_give(bin *b, const tw_wire_job *s);

/* drain.c */
/* Lists the room that running batch tasks are expected to give back, the earliest first. Free it
 * with tw_drain_free. */
void tw_drain_init(tw_core *core, tw_drain *drain);
/* When a task of the job would start if it waits its turn for room that is given back, which is
 * taken; INFINITY: there is none that it can use. from: where to begin, the same for all jobs
 * alike, for room only gets less. */
double tw_drain_start(tw_core *core, tw_drain *drain, const job *job, int *from);
void tw_drain_free(tw_drain *drain);

/* move.c */
/* Notes which machines are idle, and has those returned that were for too long. */
void tw_return_idle(tw_core *core);
/* Machines that are being emptied are used again as soon as somebody waits for them. */
void tw_reopen(tw_core *core);
/* Machines whose replicas fit elsewhere are emptied, one by one, and returned. The bins are all the
 * machines there are; room in them is taken for what moves. */
void tw_consolidate(tw_core *core, bins *bins);

/* offers.c */
const char *tw_offer_yard(const tw_core *c, const offer *o);

/* rent.c */
void tw_rent_tick(tw_core *c);
void tw_rent_response(tw_core *c, call *k, int status, const char *body, size_t len);

/* Whether a task fits into what is free on the machine, which is of this type. */
static inline int tw_fits(const machine *machine, const flavor *type, const tw_wire_job *spec) {
    return type->f.cores - machine->used_c + TW_ROUNDING >= spec->cores &&
           type->f.gpus - machine->used_g + TW_ROUNDING >= spec->gpus &&
           type->f.memory_gb - machine->used_m + TW_ROUNDING >= spec->memory_gb;
}

#endif
