/* Gateways, which route user requests to the machines of a controller's shards, and users. */
#include "shards_world.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 8 /* requests that a machine runs concurrently */
#define FIRST_SERVICE_S 0.5
#define USER_POLL_S 0.25

/* ---- gateways ---- */

/* Sets in the router the epoch under which the owner may send requests to the machine. */
void tw_world_refresh_replica(tw_world *world, int node_index, const char *name) {
    const uint64_t epoch = tw_shards_owner_epoch(world->nodes[node_index].owner, name);
    tw_router_set_replica(world->nodes[node_index].router, world->now, name, epoch, SLOTS,
                          FIRST_SERVICE_S);
}

static void send_work(tw_world *world, int node_index, const tw_router_effect *effect) {
    const int to = tw_world_machine_index(world, effect->replica);
    tw_judge_epoch_use(world, node_index, to, effect->epoch);
    tw_shards_owner_request_sent(world->nodes[node_index].owner, effect->replica, effect->epoch);
    const double after =
        tw_world_draw_uniform(world, MESSAGE_DELAY_MIN_S, MESSAGE_DELAY_MAX_S) + world->slow_s;
    tw_world_event *sent = tw_world_add_event(world, after, TW_WORLD_DISPATCH);
    sent->node = node_index;
    sent->incarnation = world->nodes[node_index].incarnation;
    sent->machine = to;
    sent->number = (int)effect->request;
    sent->attempt = effect->attempt;
    sent->epoch = effect->epoch;
}

static void reply_to_user(tw_world *world, int node_index, const tw_router_effect *effect) {
    const int times = world->plant_double ? 2 : !world->plant_drop;
    for (int i = 0; i < times; i++) {
        const double after = tw_world_draw_uniform(world, MESSAGE_DELAY_MIN_S, MESSAGE_DELAY_MAX_S);
        tw_world_event *reply = tw_world_add_event(world, after, TW_WORLD_USER_RESPONSE);
        reply->number = (int)effect->request;
        reply->node = node_index;
        reply->incarnation = world->nodes[node_index].incarnation;
        reply->status = (int)effect->status;
    }
    world->plant_double = world->plant_drop = 0;
}

void tw_world_apply_router_effects(tw_world *world, int node_index) {
    tw_router_effect *effect;
    while ((effect = tw_router_next_effect(world->nodes[node_index].router))) {
        if (effect->kind == TW_ROUTER_SEND) send_work(world, node_index, effect);
        if (effect->kind == TW_ROUTER_ANSWER) reply_to_user(world, node_index, effect);
        free(effect);
    }
}

static tw_router_result router_result_of(int status) {
    if (status == HTTP_OK) return TW_ROUTER_DONE;
    if (status == HTTP_BAD_REQUEST) return TW_ROUTER_REFUSED;
    return status ? TW_ROUTER_BROKEN : TW_ROUTER_LOST;
}

void tw_world_handle_dispatch_result(tw_world *world, const tw_world_event *answer) {
    const tw_world_node *node = &world->nodes[answer->node];
    const char *name = world->machines[answer->machine].name;
    if (answer->status == HTTP_BAD_REQUEST) {
        tw_shards_owner_request_refused(node->owner, name, answer->epoch);
        tw_world_refresh_replica(world, answer->node, name);
    }
    tw_shards_owner_request_ended(node->owner, name, answer->epoch);
    tw_router_attempt_ended(node->router, world->now, (uint64_t)answer->number, answer->attempt,
                            router_result_of(answer->status));
}

/* ---- users ---- */

/* Returns the node that owns the shard according to the records, or -1. */
static int read_shard_owner(tw_world *world, const char *shard) {
    tw_shards *reader = tw_judge_read_records(world);
    int owner = -1;
    for (int i = 0; i < tw_shards_shard_count(reader); i++) {
        const tw_shards_shard_view view = tw_shards_shard_at(reader, i);
        for (int j = 0; j < world->node_count; j++)
            if (!strcmp(view.name, shard) && !strcmp(view.owner, world->nodes[j].name)) owner = j;
    }
    tw_shards_free(reader);
    return owner;
}

/* Returns the owner of the load's shard; reads the records only after new transactions. */
static int owner_of(tw_world *world, tw_world_load *load) {
    if (load->owner_known_at != world->transactions + 1) {
        load->owner = read_shard_owner(world, load->shard);
        load->owner_known_at = world->transactions + 1;
    }
    return load->owner;
}

void tw_world_handle_arrival(tw_world *world, const tw_world_event *due) {
    const tw_world_load *load = &world->loads[due->number];
    if (world->now > load->until) return;
    tw_world_add_event(world, 1 / load->rate, TW_WORLD_LOAD_ARRIVAL)->number = due->number;
    if (world->request_count == world->request_capacity) {
        world->request_capacity = world->request_capacity ? 2 * world->request_capacity : TEXT_SIZE;
        world->requests =
            realloc(world->requests, sizeof *world->requests * (size_t)world->request_capacity);
        if (!world->requests) abort();
    }
    world->requests[world->request_count] = (tw_world_user_request){.load = due->number};
    tw_world_add_event(world, 0, TW_WORLD_USER_REQUEST)->number = world->request_count++;
}

/* Sends the request, and sends it again if the connection broke or no answer arrived within twice
 * the deadline. Only the last attempt's answer counts, since only its connection is open. */
void tw_world_handle_user_request(tw_world *world, const tw_world_event *due) {
    tw_world_user_request *request = &world->requests[due->number];
    tw_world_load *load = &world->loads[request->load];
    if (request->answers) return;
    tw_world_add_event(world, USER_POLL_S, TW_WORLD_USER_REQUEST)->number = due->number;
    const bool open =
        request->incarnation && world->nodes[request->node].incarnation == request->incarnation;
    if (open) tw_judge_unanswered(world, due->number);
    if (open && world->now < request->sent_at + 2 * USER_DEADLINE_S) return;
    const int to = owner_of(world, load);
    if (to < 0 || !world->nodes[to].incarnation || world->nodes[to].hung_until > world->now) return;
    request->node = to;
    request->incarnation = world->nodes[to].incarnation;
    request->sent_at = world->now;
    tw_router_add_request(world->nodes[to].router, world->now, (uint64_t)due->number, load->shard,
                          world->now + USER_DEADLINE_S);
    tw_world_apply_router_effects(world, to);
}

void tw_world_handle_user_response(tw_world *world, const tw_world_event *reply) {
    tw_world_user_request *request = &world->requests[reply->number];
    if (request->node != reply->node || request->incarnation != reply->incarnation) return;
    request->answers++;
    request->status = reply->status;
    world->failed += reply->status != HTTP_OK;
}
