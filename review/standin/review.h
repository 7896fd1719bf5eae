/* The world of a review case: real controllers on loopback, and the stand-ins of tests/soak and
 * simulator/ around them. A case file says which machines there are, when which jobs are submitted
 * and cancelled, and when which fault strikes. */
#ifndef TW_REVIEW_H
#define TW_REVIEW_H
#include "soak.h"

#define TW_REVIEW_MAX_ACTIONS 64

/* Kinds of actions beside those of users, TW_SIMULATOR_SUBMIT and TW_SIMULATOR_CANCEL: the network
 * holds all that controllers send to machines; a machine hangs; the copies of a session's reports
 * that were kept arrive at all controllers. */
enum { TW_REVIEW_HOLD = 'h', TW_REVIEW_HANG = 'z', TW_REVIEW_COPIES = 'c' };

/* A user's request, or a disruption, at a given time. */
typedef struct {
    double at_s;
    int kind;
    char id[32];  /* of the job */
    char *body;   /* of a submission */
    double run_s; /* of a task; of a disruption: its length */
    int number;   /* of the machine that hangs, or of the session */
    bool varies;  /* the tasks' run times vary around run_s */
    bool begun;
} tw_review_action;

typedef struct {
    tw_soak soak;
    double end_s;
    char kept[32]; /* id of the job whose running work must not be lost */
    bool lost;     /* it was lost */
    /* the machine that ran a task of it at the last tick, and its session; NULL: none */
    const tw_simulator_worker *kept_machine;
    uint64_t kept_session;
    bool with_trouble; /* TROUBLE is not 0 */
    FILE *record;
    const char *programs[2]; /* the version under review; the one in production, or NULL */
    bool old_node[TW_LOOPBACK_MAX_NODES]; /* controllers of the version in production */
    tw_review_action actions[TW_REVIEW_MAX_ACTIONS];
    int action_count;
} tw_review;

extern tw_review review;

/* Reads the case file. Returns false and prints the line if it can't be read. */
bool tw_review_read_case(const char *path);
/* Writes one line with the time to the record. */
void tw_review_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Submits, polls and cancels what is due. */
void tw_review_users_tick(void);
/* Begins a disruption. */
void tw_review_disrupt(const tw_review_action *action);
/* Keeps the copies of reports until a case asks for them. */
void tw_review_keep_copies(void);
/* Gives tasks that have just started a run time of their own, if their job says so. */
void tw_review_vary_run_times(void);

#endif
