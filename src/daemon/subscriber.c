/* The thread that reads the active controller's feed. */
#include "daemon/subscriber.h"
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_QUEUED 32

struct tw_subscriber {
    pthread_t thread;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    void (*wake)(void *context);
    void *context;
    char node[TW_SHARDS_NAME], address[TW_RPC_ADDRESS_SIZE];
    double pause_s;
    tw_standby_position position;
    bool stopping, open_requested; /* open_requested: the thread is to open a feed */
    uint64_t generation;           /* number of the feed, counted by tw_subscriber_open */
    bool open;                     /* whether the feed of this generation is open or being opened */
    tw_rpc_feed *feed;             /* the feed that the thread reads, for cancelling it */
    tw_standby_message queue[MAX_QUEUED];
    int queue_count;
};

static void clear_queue(tw_subscriber *subscriber) {
    for (int i = 0; i < subscriber->queue_count; i++)
        tw_standby_message_free(&subscriber->queue[i]);
    subscriber->queue_count = 0;
}

/* Adds the message to the queue, waiting while the queue is full. Frees the message and returns
 * false if another feed has been requested or the subscriber is stopping. */
static bool enqueue_message(tw_subscriber *subscriber, uint64_t generation,
                            tw_standby_message *message) {
    while (subscriber->queue_count == MAX_QUEUED && subscriber->generation == generation &&
           !subscriber->stopping)
        pthread_cond_wait(&subscriber->changed, &subscriber->mutex);
    if (subscriber->generation != generation || subscriber->stopping) {
        tw_standby_message_free(message);
        return false;
    }
    subscriber->queue[subscriber->queue_count++] = *message;
    subscriber->wake(subscriber->context);
    return true;
}

/* Reads a feed until it ends. The mutex must be held at the call and is held on return. It is
 * released while the feed connects and is read, since the daemon's loop, which renews the lease,
 * must never wait for another daemon. */
static void read_feed(tw_subscriber *subscriber) {
    const uint64_t generation = subscriber->generation;
    const tw_standby_position position = subscriber->position;
    tw_standby_message message;
    tw_rpc_client *client = tw_rpc_client_new(subscriber->address);
    tw_rpc_feed *feed = tw_rpc_feed_open(client, subscriber->node, &position, subscriber->pause_s);
    subscriber->open_requested = false;
    subscriber->feed = feed;
    bool reading = true;
    while (reading) {
        pthread_mutex_unlock(&subscriber->mutex);
        const bool received = tw_rpc_feed_next(feed, &message);
        pthread_mutex_lock(&subscriber->mutex);
        reading = received && enqueue_message(subscriber, generation, &message);
    }
    subscriber->feed = NULL;
    if (subscriber->generation == generation) subscriber->open = false;
    pthread_mutex_unlock(&subscriber->mutex);
    tw_rpc_feed_close(feed);
    tw_rpc_client_free(client);
    pthread_mutex_lock(&subscriber->mutex);
    subscriber->wake(subscriber->context);
}

static void *run_thread(void *context) {
    tw_subscriber *subscriber = context;
    pthread_mutex_lock(&subscriber->mutex);
    while (!subscriber->stopping) {
        if (subscriber->open_requested)
            read_feed(subscriber);
        else
            pthread_cond_wait(&subscriber->changed, &subscriber->mutex);
    }
    pthread_mutex_unlock(&subscriber->mutex);
    return NULL;
}

tw_subscriber *tw_subscriber_start(const char *node, double pause_s, void (*wake)(void *context),
                                   void *context) {
    tw_subscriber *subscriber = calloc(1, sizeof *subscriber);
    if (!subscriber) abort();
    snprintf(subscriber->node, sizeof subscriber->node, "%s", node);
    subscriber->pause_s = pause_s;
    subscriber->wake = wake;
    subscriber->context = context;
    pthread_mutex_init(&subscriber->mutex, NULL);
    pthread_cond_init(&subscriber->changed, NULL);
    if (pthread_create(&subscriber->thread, NULL, run_thread, subscriber)) abort();
    return subscriber;
}

void tw_subscriber_open(tw_subscriber *subscriber, const char *address,
                        const tw_standby_position *position) {
    pthread_mutex_lock(&subscriber->mutex);
    snprintf(subscriber->address, sizeof subscriber->address, "%s", address);
    subscriber->position = *position;
    subscriber->generation++;
    subscriber->open_requested = subscriber->open = address[0] != 0;
    if (subscriber->feed) tw_rpc_feed_cancel(subscriber->feed);
    clear_queue(subscriber);
    pthread_cond_broadcast(&subscriber->changed);
    pthread_mutex_unlock(&subscriber->mutex);
}

bool tw_subscriber_next(tw_subscriber *subscriber, tw_standby_message *message) {
    pthread_mutex_lock(&subscriber->mutex);
    const bool found = subscriber->queue_count > 0;
    if (found) {
        *message = subscriber->queue[0];
        subscriber->queue_count--;
        memmove(subscriber->queue, subscriber->queue + 1,
                sizeof *subscriber->queue * (size_t)subscriber->queue_count);
        pthread_cond_broadcast(&subscriber->changed);
    }
    pthread_mutex_unlock(&subscriber->mutex);
    return found;
}

bool tw_subscriber_is_open(tw_subscriber *subscriber) {
    pthread_mutex_lock(&subscriber->mutex);
    const bool open = subscriber->open || subscriber->queue_count > 0;
    pthread_mutex_unlock(&subscriber->mutex);
    return open;
}

void tw_subscriber_stop(tw_subscriber *subscriber) {
    if (!subscriber) return;
    pthread_mutex_lock(&subscriber->mutex);
    subscriber->stopping = true;
    subscriber->generation++;
    if (subscriber->feed) tw_rpc_feed_cancel(subscriber->feed);
    pthread_cond_broadcast(&subscriber->changed);
    pthread_mutex_unlock(&subscriber->mutex);
    pthread_join(subscriber->thread, NULL);
    clear_queue(subscriber);
    pthread_cond_destroy(&subscriber->changed);
    pthread_mutex_destroy(&subscriber->mutex);
    free(subscriber);
}
