/* A job within other messages. Not for other packages. */
#ifndef TW_WIRE_JOB_H
#define TW_WIRE_JOB_H
#include "wire/wire.h"
#include <cjson/cJSON.h>

/* Fills a zeroed job. 0; or -1, what is wrong in *reason, and what was allocated is to be freed
 * with tw_wire_job_free. */
tw_wire_error tw_wire_job_read(tw_wire_job *job, const cJSON *object, const char **reason);
cJSON *tw_wire_job_write(const tw_wire_job *job);

#endif
