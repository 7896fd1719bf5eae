// The server: gRPC's threads enqueue calls and wait until the daemon's thread has answered them.
#include <control.grpc.pb.h>
#include "rpc/convert.hpp"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace tw_rpc {

namespace {

constexpr auto max_answer_wait = std::chrono::seconds(TW_RPC_MAX_WAIT_S);
constexpr auto watch_interval = std::chrono::milliseconds(200);
constexpr auto min_heartbeat_interval = std::chrono::milliseconds(10);
constexpr auto max_heartbeat_interval = std::chrono::milliseconds(1000);
constexpr auto shutdown_timeout = std::chrono::seconds(1);

/// A copy of an answer that owns its arrays.
class answer_copy {
  public:
    answer_copy() = default;
    explicit answer_copy(const tw_rpc_answer &from) : answer(from) {
        shards.assign(from.shards, from.shards + from.shard_count);
        notifications.assign(from.notifications, from.notifications + from.notification_count);
        followers.assign(from.followers, from.followers + from.follower_count);
        write_feed(from.message, feed);
    }
    /// Returns the answer without its feed message. Its arrays remain owned by this object.
    tw_rpc_answer view() {
        tw_rpc_answer copy = answer;
        copy.shards = shards.data();
        copy.notifications = notifications.data();
        copy.followers = followers.data();
        copy.message = {};
        return copy;
    }
    const messages::FollowMessage &feed_message() const { return feed; }

  private:
    tw_rpc_answer answer = {};
    std::vector<tw_shards_shard_view> shards;
    std::vector<tw_shards_notification> notifications;
    std::vector<tw_standby_follower_status> followers;
    messages::FollowMessage feed;
};

} // namespace

/// Queue of calls that gRPC's threads submit and the daemon's thread answers.
class call_queue {
  public:
    call_queue(void (*wake_daemon)(void *), void *daemon) : wake(wake_daemon), context(daemon) {}

    /// Enqueues the call and waits for its answer. Returns false if no answer arrives in time or
    /// the queue is stopped. The queue takes ownership of what the call owns.
    bool submit(tw_rpc_call call, answer_copy &answer) {
        std::unique_lock<std::mutex> lock(mutex);
        if (stopped) {
            tw_rpc_call_free(&call);
            return false;
        }
        const uint64_t id = ++last_id;
        call.id = id;
        call.request.id = id;
        queued.push_back(call);
        answers[id] = nullptr;
        wake(context);
        const bool in_time = changed.wait_for(lock, max_answer_wait,
                                              [&] { return stopped || answers[id] != nullptr; });
        const std::unique_ptr<answer_copy> received = std::move(answers[id]);
        answers.erase(id);
        if (!in_time || received == nullptr) return false;
        answer = *received;
        return true;
    }

    bool next(tw_rpc_call &call) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (queued.empty()) return false;
        call = queued.front();
        queued.pop_front();
        return true;
    }

    void answer(uint64_t id, const tw_rpc_answer &answer) {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto found = answers.find(id);
        if (found == answers.end()) return; // the call has timed out
        found->second = std::make_unique<answer_copy>(answer);
        changed.notify_all();
    }

    void stop() {
        const std::lock_guard<std::mutex> lock(mutex);
        stopped = true;
        for (tw_rpc_call &call : queued) tw_rpc_call_free(&call);
        queued.clear();
        changed.notify_all();
    }

    bool is_stopped() {
        const std::lock_guard<std::mutex> lock(mutex);
        return stopped;
    }

  private:
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<tw_rpc_call> queued;
    std::map<uint64_t, std::unique_ptr<answer_copy>> answers;
    void (*wake)(void *);
    void *context;
    uint64_t last_id = 0;
    bool stopped = false;
};

namespace {

grpc::Status unavailable_status() {
    return {grpc::StatusCode::UNAVAILABLE, "no answer in time, ask again"};
}

grpc::Status malformed_status() {
    return {grpc::StatusCode::INVALID_ARGUMENT, "a name is too long"};
}

class control_service final : public messages::Control::Service {
  public:
    explicit control_service(call_queue &queue) : calls(queue) {}

    grpc::Status Show(grpc::ServerContext *, const messages::ShowRequest *request,
                      messages::ShowReply *reply) override {
        tw_rpc_call call = {};
        answer_copy answer;
        call.method = TW_RPC_SHOW;
        call.show_machines = request->machines();
        if (!calls.submit(call, answer)) return unavailable_status();
        write_show(answer.view(), *reply);
        return grpc::Status::OK;
    }

    grpc::Status Change(grpc::ServerContext *, const messages::ChangeRequest *request,
                        messages::ChangeReply *reply) override {
        tw_rpc_call call = {};
        call.method = TW_RPC_CHANGE;
        if (!read_change(*request, call.request)) return malformed_status();
        answer_copy answer;
        if (!calls.submit(call, answer)) return unavailable_status();
        write_reply(answer.view(), *reply);
        return grpc::Status::OK;
    }

    grpc::Status Watch(grpc::ServerContext *context, const messages::WatchRequest *request,
                       grpc::ServerWriter<messages::ChangeReply> *writer) override {
        std::string last;
        while (!context->IsCancelled() && !calls.is_stopped()) {
            tw_rpc_call call = {};
            answer_copy answer;
            call.method = TW_RPC_CHANGE;
            call.request.kind = TW_SHARDS_WATCH;
            if (!copy_text(call.request.key, request->key())) return malformed_status();
            if (!calls.submit(call, answer)) return unavailable_status();
            messages::ChangeReply reply;
            write_reply(answer.view(), reply);
            const std::string text = reply.SerializeAsString();
            if (text != last && !writer->Write(reply)) return grpc::Status::OK;
            last = text;
            if (reply.done() || answer.view().verdict != TW_SHARDS_OK) return grpc::Status::OK;
            std::this_thread::sleep_for(watch_interval);
        }
        return unavailable_status();
    }

    grpc::Status Report(grpc::ServerContext *, const messages::ReportRequest *request,
                        messages::ReportReply *reply) override {
        tw_rpc_call call = {};
        answer_copy answer;
        call.method = TW_RPC_REPORT;
        if (!read_report(*request, call)) return malformed_status();
        if (!calls.submit(call, answer)) return unavailable_status();
        write_notifications(answer.view(), *reply);
        return grpc::Status::OK;
    }

    /// Sends the feed to a follower. A slow follower blocks this thread in Write and later gets a
    /// snapshot; no messages are queued for it.
    grpc::Status Follow(grpc::ServerContext *context, const messages::FollowRequest *request,
                        grpc::ServerWriter<messages::FollowMessage> *writer) override {
        tw_rpc_call call = {};
        call.method = TW_RPC_FOLLOW;
        if (!read_follow(*request, call)) return malformed_status();
        const auto requested =
            std::chrono::milliseconds(static_cast<long>(request->pause_s() * 1000));
        const auto pause =
            std::min(std::max(requested, min_heartbeat_interval), max_heartbeat_interval);
        while (!context->IsCancelled() && !calls.is_stopped()) {
            answer_copy answer;
            if (!calls.submit(call, answer)) return unavailable_status();
            const messages::FollowMessage &feed = answer.feed_message();
            if (!writer->Write(feed) || feed.kind() == messages::FollowMessage::DENIED)
                return grpc::Status::OK;
            if (!advance(call.position, feed)) return malformed_status();
            if (feed.kind() == messages::FollowMessage::HEARTBEAT)
                std::this_thread::sleep_for(pause);
        }
        return unavailable_status();
    }

    grpc::Status Promote(grpc::ServerContext *, const messages::PromoteRequest *request,
                         messages::ChangeReply *reply) override {
        tw_rpc_call call = {};
        answer_copy answer;
        call.method = TW_RPC_PROMOTE;
        if (!copy_text(call.owner, request->node())) return malformed_status();
        if (!calls.submit(call, answer)) return unavailable_status();
        write_reply(answer.view(), *reply);
        return grpc::Status::OK;
    }

    grpc::Status Standby(grpc::ServerContext *, const messages::StandbyRequest *,
                         messages::StandbyReply *reply) override {
        tw_rpc_call call = {};
        answer_copy answer;
        call.method = TW_RPC_STANDBY;
        if (!calls.submit(call, answer)) return unavailable_status();
        write_standby(answer.view(), *reply);
        return grpc::Status::OK;
    }

  private:
    static bool advance(tw_standby_position &position, const messages::FollowMessage &sent) {
        tw_standby_message message;
        if (!read_feed(sent, message)) return false;
        tw_standby_advance(&position, &message);
        tw_standby_message_free(&message);
        return true;
    }

    call_queue &calls;
};

} // namespace

} // namespace tw_rpc

struct tw_rpc_server {
    tw_rpc_server(void (*wake)(void *), void *context) : calls(wake, context), service(calls) {}
    tw_rpc::call_queue calls;
    tw_rpc::control_service service;
    std::unique_ptr<grpc::Server> server;
};

extern "C" tw_rpc_server *tw_rpc_server_start(const char *address, void (*wake)(void *context),
                                              void *context) {
    auto started = std::make_unique<tw_rpc_server>(wake, context);
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(&started->service);
    started->server = builder.BuildAndStart();
    return started->server == nullptr ? nullptr : started.release();
}

extern "C" bool tw_rpc_server_next_call(tw_rpc_server *server, tw_rpc_call *call) {
    return server->calls.next(*call);
}

extern "C" void tw_rpc_answer_call(tw_rpc_server *server, uint64_t id,
                                   const tw_rpc_answer *answer) {
    server->calls.answer(id, *answer);
}

extern "C" void tw_rpc_server_stop(tw_rpc_server *server) {
    if (server == nullptr) return;
    server->calls.stop();
    server->server->Shutdown(std::chrono::system_clock::now() + tw_rpc::shutdown_timeout);
    delete server;
}
