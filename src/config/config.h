/* Settings: the platform's file (TOML) and the operators' own (YAML). What was accepted is complete
 * and in range; nobody else checks it again. Where a name ends with _s it is in seconds. */
#ifndef TW_CONFIG_H
#define TW_CONFIG_H
#include <stddef.h>
#include <stdio.h>

#define TW_NAME_SIZE 64 /* longest name taken from the settings, with its end */

/* Another node, its zone and the address where it can be reached. */
typedef struct {
    char name[TW_NAME_SIZE], zone[TW_NAME_SIZE], addr[TW_NAME_SIZE];
} tw_config_peer;

/* A team: what it is guaranteed, and the most that it may use. */
typedef struct {
    char name[TW_NAME_SIZE];
    double cpus, cpus_max, gpus, gpus_max; /* 0 in a maximum: none set */
    double share;                          /* weight in turns (operators' settings) */
} tw_config_team;

/* What is expected for a class of jobs: kind "wait" (start within_s), "deadline", "guarantee". */
typedef struct {
    char kind[16], cls[TW_NAME_SIZE];
    double within_s, share, times;
} tw_config_objective;

/* The operators' own settings; every one has a default and a checked range. */
typedef struct {
    double election_ratio; /* leader lease, as a share of the workers' lease_s */
    double hold_ratio;     /* longest stay in office without the state service, in lease_s */
    double margin_ratio;   /* safety margin on waits, as a share of lease_s */
    double drift;          /* clock drift allowed for */
    double ema;            /* weight of a new sample in the moving averages */
    double recheck_ratio;  /* time between rechecks of running tasks, in report_s */
    double headroom;       /* scales the spare room that is rented ahead */
    double idle_ratio;     /* an idle machine goes after this share of its boot time */
    double silent_ratio;   /* a machine silent this share of lease_s is suspect */
    double write_share;    /* of the state service's limits that we use */
} tw_config_tuning;

/* Limits of the state service. */
typedef struct {
    double rps, write_rps; /* requests; puts and deletes, a second */
    double value_kb;       /* largest value, in KiB */
    int txn_ops;           /* puts and deletes in a transaction */
} tw_config_state_limits;

/* All settings. */
typedef struct {
    char host_name[TW_NAME_SIZE], location[TW_NAME_SIZE], api_addr[TW_NAME_SIZE],
        peer_bind[TW_NAME_SIZE];
    char cloud[TW_NAME_SIZE], state[TW_NAME_SIZE];
    tw_config_peer *peers;
    size_t npeers;
    char (*zones)[TW_NAME_SIZE];
    size_t nzones;
    tw_config_team *teams;
    size_t nteams;
    tw_config_objective *objectives;
    size_t nobjectives;
    double time_bound_ms;
    double report_s, lease_s, cancel_s;
    double gang_wait_s; /* a task of a gang waits so long for the others of its attempt */
    double gang_peer_s; /* and notices within this that another one is gone */
    /* What the service keeps within: the smaller one of each limit that holds now and of the one
     * that is announced, for it begins to hold without notice. */
    double state_rps, state_write_rps, state_value_kb;
    int state_txn_ops;
    tw_config_state_limits state_now;  /* as they are when the service is started */
    tw_config_state_limits state_next; /* as they will be; 0: not announced */
    double cloud_rps, list_lag_s;
    double cpu_share, mem_mb;
    int sockets;
    tw_config_tuning tune;
} tw_config;

/* 0, or -1 with one line in err that names the setting. */
int tw_config_load(tw_config *c, const char *toml_path, char *err, size_t errlen);
/* From the text itself, for tests. */
int tw_config_parse(tw_config *c, const char *toml_text, char *err, size_t errlen);
/* The operators' file, into settings that were loaded. */
int tw_config_load_yaml(tw_config *c, const char *yaml_path, char *err, size_t errlen);
void tw_config_free(tw_config *c);

void tw_config_tuning_defaults(tw_config_tuning *tuning);

/* Rows of a Markdown table, a setting each: key, default, range, meaning. */
void tw_config_describe(FILE *out);
void tw_config_describe_tuning(FILE *out);

#endif
