/* Events: a heap by time, then by order of coming. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdlib.h>

#define FIRST_CAP 256

static bool before(const tw_simulator_event *a, const tw_simulator_event *b) {
    return a->at < b->at || (a->at == b->at && a->seq < b->seq);
}

static void push(tw_simulator *sim, tw_simulator_event *e, double at) {
    e->at = at > sim->world.now ? at : sim->world.now;
    e->seq = ++sim->seq;
    e->queued = true;
    if (sim->nheap == sim->heap_cap) {
        sim->heap_cap = sim->heap_cap ? 2 * sim->heap_cap : FIRST_CAP;
        sim->heap = realloc(sim->heap, sim->heap_cap * sizeof(tw_simulator_event *));
        if (!sim->heap) abort();
    }
    tw_simulator_event **heap = sim->heap;
    size_t i = sim->nheap++;
    for (; i && before(e, heap[(i - 1) / 2]); i = (i - 1) / 2) heap[i] = heap[(i - 1) / 2];
    heap[i] = e;
}

tw_simulator_event *tw_simulator_at(tw_simulator *sim, double at,
                                    void (*act)(tw_simulator *sim, tw_simulator_event *e)) {
    tw_simulator_event *e = tw_simulator_zeroed(sizeof *e);
    e->act = act;
    push(sim, e, at);
    return e;
}

tw_simulator_event *tw_simulator_after(tw_simulator *sim, double seconds,
                                       void (*act)(tw_simulator *sim, tw_simulator_event *e)) {
    return tw_simulator_at(sim, sim->world.now + seconds, act);
}

void tw_simulator_again(tw_simulator *sim, tw_simulator_event *e, double seconds) {
    push(sim, e, sim->world.now + seconds);
}

void tw_simulator_again_at(tw_simulator *sim, tw_simulator_event *e, double at) {
    push(sim, e, at);
}

tw_simulator_event *tw_simulator_next_event(tw_simulator *sim) {
    if (!sim->nheap) return NULL;
    tw_simulator_event **heap = sim->heap, *first = heap[0], *last = heap[--sim->nheap];
    size_t i = 0;
    for (size_t k; (k = 2 * i + 1) < sim->nheap; i = k) {
        if (k + 1 < sim->nheap && before(heap[k + 1], heap[k])) k++;
        if (!before(heap[k], last)) break;
        heap[i] = heap[k];
    }
    heap[i] = last;
    first->queued = false;
    return first;
}

void tw_simulator_event_free(tw_simulator_event *e) {
    free(e->path);
    free(e->body);
    free(e);
}
