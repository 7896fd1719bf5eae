/* Model of the cloud: machine types, rentals and the list of machines. */
#include "world.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NEVER 1e9
#define MIN_FAST_BOOT_S 0.2
#define MAX_FAST_BOOT_S 2.0

tw_simulator_worker *tw_simulator_worker_by_id(const tw_simulator_world *world, const char *id) {
    /* Ids are numbered from 1 in the order of creation. */
    int i = strncmp(id, "n-", 2) ? -1 : tw_simulator_parse_int(id + 2) - 1;
    if (i < 0 || i >= world->worker_count || strcmp(world->workers[i]->id, id) != 0) return NULL;
    return world->workers[i];
}

tw_simulator_worker *tw_simulator_add_machine(tw_simulator_world *world, int type, const char *zone,
                                              int spot, double boot_s) {
    tw_simulator_worker *worker = tw_simulator_allocate(sizeof *worker);
    world->workers = tw_simulator_grow(world->workers, world->worker_count, &world->worker_capacity,
                                       sizeof(tw_simulator_worker *));
    world->workers[world->worker_count++] = worker;
    snprintf(worker->id, sizeof worker->id, "n-%06d", world->worker_count);
    snprintf(worker->endpoint, sizeof worker->endpoint, "10.1.0.%d:9000", world->worker_count);
    snprintf(worker->type, sizeof worker->type, "%s", world->types[type].name);
    snprintf(worker->zone, sizeof worker->zone, "%s", zone);
    worker->type_index = type;
    worker->spot = spot;
    worker->rented_at = world->now;
    worker->up_at = world->now + boot_s;
    worker->incarnation = 1;
    worker->slowdown = 1;
    worker->preempted_at = -1;
    return worker;
}

static cJSON *type_json(const tw_wire_machine_type *type) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "label", type->name);
    cJSON_AddNumberToObject(object, "cores", type->cores);
    cJSON_AddNumberToObject(object, "gpus", type->gpus);
    cJSON_AddNumberToObject(object, "memoryGb", type->memory_gb);
    cJSON_AddNumberToObject(object, "cacheGb", type->cache_gb);
    cJSON_AddNumberToObject(object, "fetchGbPerS", type->fetch_gb_s);
    cJSON_AddNumberToObject(object, "hourly", type->on_demand_price);
    cJSON_AddNumberToObject(object, "lowPrice", type->spot_price);
    cJSON_AddNumberToObject(object, "startupS", type->startup_s);
    cJSON *zones = cJSON_AddArrayToObject(object, "yards");
    for (int i = 0; i < type->zone_count; i++)
        cJSON_AddItemToArray(zones, cJSON_CreateString(type->zones[i]));
    return object;
}

static int list_types(const tw_simulator_world *world, char **out) {
    cJSON *object = cJSON_CreateObject(), *types = cJSON_AddArrayToObject(object, "racks");
    for (int i = 0; i < world->type_count; i++)
        cJSON_AddItemToArray(types, type_json(&world->types[i]));
    *out = tw_simulator_json_print(object);
    return TW_SIMULATOR_OK;
}

/* Returns whether a machine of that type that is rented now in that zone never boots. */
static bool boot_fails(tw_simulator_world *world, int type, const char *zone) {
    if (world->failing_boot_count > 0) {
        world->failing_boot_count--;
        return true;
    }
    if (world->now >= world->failing_until[type]) return false;
    if (*world->failing_zone[type] && strcmp(world->failing_zone[type], zone) != 0) return false;
    return tw_simulator_draw(world, TW_SIMULATOR_DRAW_FAILED_BOOTS, 0, 1) <
           world->failing_share[type];
}

static double draw_boot_s(tw_simulator_world *world) {
    if (world->now >= world->fast_boot_until) return world->boot_s;
    return tw_simulator_draw(world, TW_SIMULATOR_DRAW_BOOT, MIN_FAST_BOOT_S, MAX_FAST_BOOT_S);
}

/* Rents up to the requested number of machines. Returns the body of the answer, which the caller
 * frees, or NULL if there is no capacity. */
static char *rent_machines(tw_simulator_world *world, const cJSON *request) {
    int type = 0, count = (int)tw_simulator_json_number(request, "number"), rented_count = 0;
    while (type < world->type_count &&
           strcmp(world->types[type].name, tw_simulator_json_text(request, "rack")) != 0)
        type++;
    for (int i = 0; i < world->worker_count; i++)
        rented_count += !world->workers[i]->removed && world->workers[i]->type_index == type;
    if (type == world->type_count || world->is_out_of_capacity ||
        rented_count >= world->capacity[type])
        return NULL;
    cJSON *object = cJSON_CreateObject(), *ids = cJSON_AddArrayToObject(object, "trays");
    int spot = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(request, "loaner"));
    const char *zone = tw_simulator_json_text(request, "yard");
    for (int i = 0; i < count && rented_count < world->capacity[type]; i++, rented_count++) {
        double boot = boot_fails(world, type, zone) ? NEVER : draw_boot_s(world);
        tw_simulator_worker *worker = tw_simulator_add_machine(world, type, zone, spot, boot);
        cJSON_AddItemToArray(ids, cJSON_CreateString(worker->id));
    }
    return tw_simulator_json_print(object);
}

static int answer_rental(tw_simulator_world *world, const char *body, char **out) {
    cJSON *request = cJSON_Parse(body);
    const char *name = tw_simulator_json_text(request, "ask");
    int i = 0;
    while (i < world->rental_count && strcmp(world->rentals[i].request, name) != 0) i++;
    if (i < world->rental_count) { /* a repeated request gets the same answer and rents nothing */
        *out = tw_simulator_copy_text(world->rentals[i].answer);
        cJSON_Delete(request);
        return TW_SIMULATOR_OK;
    }
    *out = rent_machines(world, request);
    if (*out) {
        world->rentals = tw_simulator_grow(world->rentals, world->rental_count,
                                           &world->rental_capacity, sizeof *world->rentals);
        tw_simulator_rental *rental = &world->rentals[world->rental_count++];
        snprintf(rental->request, sizeof rental->request, "%s", name);
        rental->answer = tw_simulator_copy_text(*out);
    }
    cJSON_Delete(request);
    if (*out) return TW_SIMULATOR_OK;
    *out = tw_simulator_copy_text("{\"error\":\"no capacity\"}");
    return TW_SIMULATOR_UNAVAILABLE;
}

static int return_machines(tw_simulator_world *world, const char *body, char **out) {
    char(*names)[TW_WIRE_NAME_SIZE];
    int count;
    *out = tw_simulator_copy_text("{}");
    if (tw_wire_machine_names_parse(&names, &count, body, strlen(body)))
        return TW_SIMULATOR_MALFORMED;
    for (int i = 0; i < count; i++) {
        tw_simulator_worker *worker = tw_simulator_worker_by_id(world, names[i]);
        if (worker) worker->removed = true;
    }
    free(names);
    return TW_SIMULATOR_OK;
}

static int list_machines(const tw_simulator_world *world, char **out) {
    cJSON *object = cJSON_CreateObject(), *list = cJSON_AddArrayToObject(object, "trays");
    for (int i = 0; i < world->worker_count; i++) {
        const tw_simulator_worker *worker = world->workers[i];
        if (worker->removed) continue;
        cJSON *item = cJSON_CreateObject();
        cJSON_AddStringToObject(item, "id", worker->id);
        cJSON_AddStringToObject(item, "endpoint", worker->endpoint);
        cJSON_AddStringToObject(item, "rack", worker->type);
        cJSON_AddStringToObject(item, "yard", worker->zone);
        cJSON_AddBoolToObject(item, "loaner", worker->spot);
        cJSON_AddStringToObject(item, "stage", worker->up ? "running" : "booting");
        cJSON_AddNumberToObject(item, "heldS", world->now - worker->rented_at);
        cJSON_AddItemToArray(list, item);
    }
    cJSON_AddBoolToObject(object, "more", 0);
    *out = tw_simulator_json_print(object);
    return TW_SIMULATOR_OK;
}

int tw_simulator_cloud_request(tw_simulator_world *world, const char *method, const char *path,
                               const char *body, char **out) {
    if (!strcmp(path, "/flavors")) return list_types(world, out);
    if (!strcmp(path, "/rentals/release")) return return_machines(world, body, out);
    if (!strcmp(method, "POST")) return answer_rental(world, body, out);
    return list_machines(world, out);
}
