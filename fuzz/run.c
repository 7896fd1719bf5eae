/* Runs a day in the simulator, in this process or in a child process. */
#include "run.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

enum { TEXT_SIZE = 256, CPU_TIME_MAX_S = 120 }; /* processor time limit of a day */

void tw_fuzz_run_day(const tw_fuzz_day *day, tw_simulator_verdict *verdict) {
    char error[TEXT_SIZE];
    tw_simulator *sim = tw_simulator_new(NULL);
    memset(verdict, 0, sizeof *verdict);
    for (size_t i = 0; i < day->count; i++) {
        if (!tw_simulator_add_line(sim, day->lines[i], error, sizeof error)) continue;
        verdict->failed = 1;
        snprintf(verdict->rule, sizeof verdict->rule, "%s", TW_FUZZ_LINE_REJECTED);
        snprintf(verdict->detail, sizeof verdict->detail, "%.200s: %.200s", error, day->lines[i]);
        tw_simulator_free(sim);
        return;
    }
    tw_simulator_judge_to_end(sim);
    tw_simulator_run(sim, verdict);
    tw_simulator_free(sim);
    if (!*verdict->rule && verdict->failed)
        snprintf(verdict->rule, sizeof verdict->rule, "%s", TW_FUZZ_EXPECTATION_FAILED);
    if (!*verdict->later_violation.rule && *verdict->later_violation.detail)
        snprintf(verdict->later_violation.rule, sizeof verdict->later_violation.rule, "%s",
                 TW_FUZZ_EXPECTATION_FAILED);
    verdict->failed = *verdict->rule != 0;
}

static tw_simulator_violation first_violation(const tw_simulator_verdict *verdict) {
    tw_simulator_violation first = {.at = verdict->violated_at};
    memcpy(first.rule, verdict->rule, sizeof first.rule);
    memcpy(first.detail, verdict->detail, sizeof first.detail);
    return first;
}

tw_simulator_violation tw_fuzz_this_version_violation(const tw_simulator_verdict *verdict) {
    return verdict->only_earlier_version_led ? verdict->later_violation : first_violation(verdict);
}

tw_simulator_violation tw_fuzz_violation_to_shrink(const tw_simulator_verdict *verdict) {
    const tw_simulator_violation own = tw_fuzz_this_version_violation(verdict);
    return *own.rule ? own : first_violation(verdict);
}

void tw_fuzz_limit_cpu_time(void) {
    const struct itimerval limit = {.it_value = {.tv_sec = CPU_TIME_MAX_S}};
    setitimer(ITIMER_VIRTUAL, &limit, NULL); /* SIGVTALRM terminates the process */
}

void tw_fuzz_set_exit_verdict(int status, tw_simulator_verdict *verdict) {
    const int signal_number = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    const char *rule = signal_number == SIGVTALRM ? TW_FUZZ_TIMED_OUT : TW_FUZZ_CRASH;
    memset(verdict, 0, sizeof *verdict);
    verdict->failed = 1;
    snprintf(verdict->rule, sizeof verdict->rule, "%s", rule);
    if (signal_number)
        snprintf(verdict->detail, sizeof verdict->detail, "signal %d (%s)", signal_number,
                 strsignal(signal_number));
    else
        snprintf(verdict->detail, sizeof verdict->detail, "exit code %d", WEXITSTATUS(status));
}

void tw_fuzz_run_day_in_child(const tw_fuzz_day *day, tw_simulator_verdict *verdict) {
    int ends[2], status = 0;
    if (pipe(ends)) abort();
    const pid_t child = fork();
    if (child < 0) abort();
    if (!child) {
        close(ends[0]);
        tw_fuzz_limit_cpu_time();
        tw_fuzz_run_day(day, verdict);
        const ssize_t written = write(ends[1], verdict, sizeof *verdict);
        _exit(written == (ssize_t)sizeof *verdict ? 0 : 1);
    }
    close(ends[1]);
    const ssize_t got =
        read(ends[0], verdict,
             sizeof *verdict); /* smaller than PIPE_BUF, so the pipe transfers it atomically */
    close(ends[0]);
    while (waitpid(child, &status, 0) < 0) continue;
    if (got != (ssize_t)sizeof *verdict) tw_fuzz_set_exit_verdict(status, verdict);
}
