/* The event queue: a binary heap, ordered by time and then by the order of scheduling. */
#include "simulator_int.h"
#include <stdbool.h>
#include <stdlib.h>

#define INITIAL_EVENT_CAPACITY 256

static bool is_earlier(const tw_simulator_event *left, const tw_simulator_event *right) {
    return left->at < right->at || (left->at == right->at && left->sequence < right->sequence);
}

static void push_event(tw_simulator *sim, tw_simulator_event *event, double at) {
    event->at = at > sim->world.now ? at : sim->world.now;
    event->sequence = ++sim->last_sequence;
    event->queued = true;
    if (sim->event_count == sim->event_capacity) {
        sim->event_capacity =
            sim->event_capacity ? 2 * sim->event_capacity : INITIAL_EVENT_CAPACITY;
        sim->events = realloc(sim->events, sim->event_capacity * sizeof(tw_simulator_event *));
        if (!sim->events) abort();
    }
    tw_simulator_event **events = sim->events;
    size_t i = sim->event_count++;
    for (; i && is_earlier(event, events[(i - 1) / 2]); i = (i - 1) / 2)
        events[i] = events[(i - 1) / 2];
    events[i] = event;
}

tw_simulator_event *tw_simulator_schedule_at(tw_simulator *sim, double at,
                                             void (*handler)(tw_simulator *sim,
                                                             tw_simulator_event *event)) {
    tw_simulator_event *event = tw_simulator_allocate(sizeof *event);
    event->handler = handler;
    push_event(sim, event, at);
    return event;
}

tw_simulator_event *tw_simulator_schedule_after(tw_simulator *sim, double seconds,
                                                void (*handler)(tw_simulator *sim,
                                                                tw_simulator_event *event)) {
    return tw_simulator_schedule_at(sim, sim->world.now + seconds, handler);
}

void tw_simulator_reschedule_after(tw_simulator *sim, tw_simulator_event *event, double seconds) {
    push_event(sim, event, sim->world.now + seconds);
}

void tw_simulator_reschedule_at(tw_simulator *sim, tw_simulator_event *event, double at) {
    push_event(sim, event, at);
}

tw_simulator_event *tw_simulator_pop_event(tw_simulator *sim) {
    if (!sim->event_count) return NULL;
    tw_simulator_event **events = sim->events, *first = events[0],
                       *last = events[--sim->event_count];
    size_t i = 0;
    for (size_t k; (k = 2 * i + 1) < sim->event_count; i = k) {
        if (k + 1 < sim->event_count && is_earlier(events[k + 1], events[k])) k++;
        if (!is_earlier(events[k], last)) break;
        events[i] = events[k];
    }
    events[i] = last;
    first->queued = false;
    return first;
}

void tw_simulator_event_free(tw_simulator_event *event) {
    free(event->path);
    free(event->body);
    free(event);
}
