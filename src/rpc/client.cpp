// The blocking client of the control interface: each call waits for its answer.
#include <control.grpc.pb.h>
#include "rpc/convert.hpp"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <memory>

struct tw_rpc_client {
    std::unique_ptr<tw_rpc::messages::Control::Stub> stub;
};

namespace {

constexpr double milliseconds_per_second = 1000;

void set_deadline(grpc::ClientContext &context, double timeout_s) {
    const auto timeout =
        std::chrono::milliseconds(static_cast<long>(timeout_s * milliseconds_per_second));
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

/// Converts a gRPC status. gRPC reports UNAVAILABLE for an unreachable server, too; only a server
/// that could not answer in time sends a message that contains "ask again".
tw_rpc_status status_of(const grpc::Status &status) {
    if (status.ok()) return TW_RPC_OK;
    const bool answered = status.error_message().find("ask again") != std::string::npos;
    return answered ? TW_RPC_UNAVAILABLE : TW_RPC_UNREACHABLE;
}

tw_rpc_status call_show(tw_rpc_client *client, grpc::ClientContext &context,
                        const tw_rpc_call &call, tw_rpc_answer &answer) {
    tw_rpc::messages::ShowRequest request;
    tw_rpc::messages::ShowReply reply;
    request.set_machines(call.show_machines);
    const grpc::Status status = client->stub->Show(&context, request, &reply);
    if (status.ok()) tw_rpc::read_show(reply, answer);
    return status_of(status);
}

tw_rpc_status call_change(tw_rpc_client *client, grpc::ClientContext &context,
                          const tw_rpc_call &call, tw_rpc_answer &answer) {
    tw_rpc::messages::ChangeRequest request;
    tw_rpc::messages::ChangeReply reply;
    tw_rpc::write_change(call.request, request);
    const grpc::Status status = client->stub->Change(&context, request, &reply);
    if (status.ok()) tw_rpc::read_reply(reply, answer);
    return status_of(status);
}

tw_rpc_status call_promote(tw_rpc_client *client, grpc::ClientContext &context,
                           const tw_rpc_call &call, tw_rpc_answer &answer) {
    tw_rpc::messages::PromoteRequest request;
    tw_rpc::messages::ChangeReply reply;
    request.set_node(call.owner);
    const grpc::Status status = client->stub->Promote(&context, request, &reply);
    if (status.ok()) tw_rpc::read_reply(reply, answer);
    return status_of(status);
}

tw_rpc_status call_standby(tw_rpc_client *client, grpc::ClientContext &context,
                           tw_rpc_answer &answer) {
    const tw_rpc::messages::StandbyRequest request;
    tw_rpc::messages::StandbyReply reply;
    const grpc::Status status = client->stub->Standby(&context, request, &reply);
    if (status.ok()) tw_rpc::read_standby(reply, answer);
    return status_of(status);
}

tw_rpc_status call_report(tw_rpc_client *client, grpc::ClientContext &context,
                          const tw_rpc_call &call, tw_rpc_answer &answer) {
    tw_rpc::messages::ReportRequest request;
    tw_rpc::messages::ReportReply reply;
    tw_rpc::write_report(call, request);
    const grpc::Status status = client->stub->Report(&context, request, &reply);
    if (status.ok()) tw_rpc::read_notifications(reply, answer);
    return status_of(status);
}

} // namespace

extern "C" tw_rpc_client *tw_rpc_client_new(const char *address) {
    auto client = std::make_unique<tw_rpc_client>();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    client->stub = tw_rpc::messages::Control::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    return client.release();
}

extern "C" void tw_rpc_client_free(tw_rpc_client *client) { delete client; }

extern "C" tw_rpc_status tw_rpc_client_call(tw_rpc_client *client, const tw_rpc_call *call,
                                            double timeout_s, tw_rpc_answer *answer) {
    grpc::ClientContext context;
    *answer = {};
    set_deadline(context, timeout_s);
    switch (call->method) {
    case TW_RPC_SHOW:
        return call_show(client, context, *call, *answer);
    case TW_RPC_CHANGE:
        return call_change(client, context, *call, *answer);
    case TW_RPC_PROMOTE:
        return call_promote(client, context, *call, *answer);
    case TW_RPC_STANDBY:
        return call_standby(client, context, *answer);
    default:
        return call_report(client, context, *call, *answer);
    }
}

struct tw_rpc_feed {
    tw_rpc::messages::Control::Stub *stub;
    tw_rpc::messages::FollowRequest request;
    grpc::ClientContext context;
    std::unique_ptr<grpc::ClientReader<tw_rpc::messages::FollowMessage>> reader;
};

extern "C" tw_rpc_feed *tw_rpc_feed_open(tw_rpc_client *client, const char *node,
                                         const tw_standby_position *position, double pause_s) {
    auto feed = std::make_unique<tw_rpc_feed>();
    tw_rpc::messages::FollowRequest &request = feed->request;
    feed->stub = client->stub.get();
    request.set_node(node);
    request.set_term(position->term);
    request.set_number(position->number);
    request.set_after(position->after);
    request.set_snapshot_number(position->snapshot_number);
    request.set_pause_s(pause_s);
    return feed.release();
}

extern "C" bool tw_rpc_feed_next(tw_rpc_feed *feed, tw_standby_message *message) {
    tw_rpc::messages::FollowMessage received;
    if (feed->reader == nullptr) feed->reader = feed->stub->Follow(&feed->context, feed->request);
    if (!feed->reader->Read(&received)) return false;
    if (tw_rpc::read_feed(received, *message)) return true;
    tw_standby_message_free(message);
    return false;
}

extern "C" void tw_rpc_feed_cancel(tw_rpc_feed *feed) { feed->context.TryCancel(); }

extern "C" void tw_rpc_feed_close(tw_rpc_feed *feed) {
    if (feed == nullptr) return;
    feed->context.TryCancel();
    if (feed->reader != nullptr) feed->reader->Finish();
    delete feed;
}

extern "C" tw_rpc_status
tw_rpc_client_watch(tw_rpc_client *client, const char *key, double timeout_s,
                    int (*each)(void *context, const tw_rpc_answer *answer), void *context) {
    grpc::ClientContext call;
    tw_rpc::messages::WatchRequest request;
    tw_rpc::messages::ChangeReply reply;
    set_deadline(call, timeout_s);
    request.set_key(key);
    const auto reader = client->stub->Watch(&call, request);
    while (reader->Read(&reply)) {
        tw_rpc_answer answer;
        tw_rpc::read_reply(reply, answer);
        if (each(context, &answer) != 0) call.TryCancel();
    }
    return status_of(reader->Finish());
}
