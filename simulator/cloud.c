/* Stand-in for the cloud: machine types, rentals, the list of machines. */
#include "world.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NEVER 1e9
#define FAST_BOOT_LEAST_S 0.2
#define FAST_BOOT_MOST_S 2.0

tw_simulator_worker *tw_simulator_worker_by_id(const tw_simulator_world *w, const char *id) {
    int i = strncmp(id, "n-", 2) ? -1 : tw_simulator_int(id + 2) - 1; /* names are given in order */
    if (i < 0 || i >= w->nworkers || strcmp(w->workers[i]->id, id) != 0) return NULL;
    return w->workers[i];
}

tw_simulator_worker *tw_simulator_rent(tw_simulator_world *w, int type, const char *zone, int spot,
                                       double boot_s) {
    tw_simulator_worker *x = tw_simulator_zeroed(sizeof *x);
    w->workers =
        tw_simulator_grow(w->workers, w->nworkers, &w->workers_cap, sizeof(tw_simulator_worker *));
    w->workers[w->nworkers++] = x;
    snprintf(x->id, sizeof x->id, "n-%06d", w->nworkers);
    snprintf(x->endpoint, sizeof x->endpoint, "10.1.0.%d:9000", w->nworkers);
    snprintf(x->type, sizeof x->type, "%s", w->types[type].name);
    snprintf(x->zone, sizeof x->zone, "%s", zone);
    x->type_index = type;
    x->spot = spot;
    x->rented_at = w->now;
    x->up_at = w->now + boot_s;
    x->session = 1;
    x->slow = 1;
    x->warned_at = -1;
    return x;
}

static cJSON *type_json(const tw_wire_machine_type *f) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "label", f->name);
    cJSON_AddNumberToObject(o, "cores", f->cores);
    cJSON_AddNumberToObject(o, "gpus", f->gpus);
    cJSON_AddNumberToObject(o, "memoryGb", f->memory_gb);
    cJSON_AddNumberToObject(o, "cacheGb", f->cache_gb);
    cJSON_AddNumberToObject(o, "fetchGbPerS", f->fetch_gb_s);
    cJSON_AddNumberToObject(o, "hourly", f->on_demand_price);
    cJSON_AddNumberToObject(o, "lowPrice", f->spot_price);
    cJSON_AddNumberToObject(o, "startupS", f->startup_s);
    cJSON *zones = cJSON_AddArrayToObject(o, "yards");
    for (int i = 0; i < f->zone_count; i++)
        cJSON_AddItemToArray(zones, cJSON_CreateString(f->zones[i]));
    return o;
}

static int list_types(const tw_simulator_world *w, char **out) {
    cJSON *o = cJSON_CreateObject(), *types = cJSON_AddArrayToObject(o, "racks");
    for (int i = 0; i < w->ntypes; i++) cJSON_AddItemToArray(types, type_json(&w->types[i]));
    *out = tw_simulator_json_print(o);
    return TW_SIMULATOR_OK;
}

static double boot_time(tw_simulator_world *w) {
    if (w->now >= w->fast_until) return w->boot_s;
    return tw_simulator_draw(w, TW_SIMULATOR_DRAW_BOOT, FAST_BOOT_LEAST_S, FAST_BOOT_MOST_S);
}

/* Rents up to n machines; the answer, or NULL if there is no capacity. */
static char *rent_some(tw_simulator_world *w, const cJSON *request) {
    int type = 0, n = (int)tw_simulator_json_number(request, "number"), have = 0;
    while (type < w->ntypes &&
           strcmp(w->types[type].name, tw_simulator_json_text(request, "rack")) != 0)
        type++;
    for (int i = 0; i < w->nworkers; i++)
        have += !w->workers[i]->gone && w->workers[i]->type_index == type;
    if (type == w->ntypes || w->refuse || have >= w->capacity[type]) return NULL;
    cJSON *o = cJSON_CreateObject(), *ids = cJSON_AddArrayToObject(o, "trays");
    int spot = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(request, "loaner"));
    for (int i = 0; i < n && have < w->capacity[type]; i++, have++) {
        double boot = w->never_up > 0 ? NEVER : boot_time(w);
        if (w->never_up > 0) w->never_up--;
        tw_simulator_worker *x =
            tw_simulator_rent(w, type, tw_simulator_json_text(request, "yard"), spot, boot);
        cJSON_AddItemToArray(ids, cJSON_CreateString(x->id));
    }
    return tw_simulator_json_print(o);
}

static int rent(tw_simulator_world *w, const char *body, char **out) {
    cJSON *request = cJSON_Parse(body);
    const char *name = tw_simulator_json_text(request, "ask");
    int i = 0;
    while (i < w->nrentals && strcmp(w->rentals[i].request, name) != 0) i++;
    if (i < w->nrentals) { /* repeated: the same answer, nothing rented */
        *out = tw_simulator_text(w->rentals[i].answer);
        cJSON_Delete(request);
        return TW_SIMULATOR_OK;
    }
    *out = rent_some(w, request);
    if (*out) {
        w->rentals =
            tw_simulator_grow(w->rentals, w->nrentals, &w->rentals_cap, sizeof *w->rentals);
        tw_simulator_rental *r = &w->rentals[w->nrentals++];
        snprintf(r->request, sizeof r->request, "%s", name);
        r->answer = tw_simulator_text(*out);
    }
    cJSON_Delete(request);
    if (*out) return TW_SIMULATOR_OK;
    *out = tw_simulator_text("{\"error\":\"no capacity\"}");
    return TW_SIMULATOR_UNAVAILABLE;
}

static int release(tw_simulator_world *w, const char *body, char **out) {
    char(*names)[TW_WIRE_NAME_SIZE];
    int n;
    *out = tw_simulator_text("{}");
    if (tw_wire_machine_names_parse(&names, &n, body, strlen(body))) return TW_SIMULATOR_MALFORMED;
    for (int i = 0; i < n; i++) {
        tw_simulator_worker *x = tw_simulator_worker_by_id(w, names[i]);
        if (x) x->gone = 1;
    }
    free(names);
    return TW_SIMULATOR_OK;
}

static int list_machines(const tw_simulator_world *w, char **out) {
    cJSON *o = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(o, "trays");
    for (int i = 0; i < w->nworkers; i++) {
        const tw_simulator_worker *x = w->workers[i];
        if (x->gone) continue;
        cJSON *t = cJSON_CreateObject();
        cJSON_AddStringToObject(t, "id", x->id);
        cJSON_AddStringToObject(t, "endpoint", x->endpoint);
        cJSON_AddStringToObject(t, "rack", x->type);
        cJSON_AddStringToObject(t, "yard", x->zone);
        cJSON_AddBoolToObject(t, "loaner", x->spot);
        cJSON_AddStringToObject(t, "stage", x->up ? "running" : "booting");
        cJSON_AddNumberToObject(t, "heldS", w->now - x->rented_at);
        cJSON_AddItemToArray(list, t);
    }
    cJSON_AddBoolToObject(o, "more", 0);
    *out = tw_simulator_json_print(o);
    return TW_SIMULATOR_OK;
}

int tw_simulator_cloud_request(tw_simulator_world *w, const char *method, const char *path,
                               const char *body, char **out) {
    if (!strcmp(path, "/flavors")) return list_types(w, out);
    if (!strcmp(path, "/rentals/release")) return release(w, body, out);
    if (!strcmp(method, "POST")) return rent(w, body, out);
    return list_machines(w, out);
}
