// Conversions between the messages of control.proto and the structs of rpc.h.
#ifndef TW_RPC_CONVERT_HPP
#define TW_RPC_CONVERT_HPP

extern "C" {
#include "rpc/rpc.h"
}
#include <control.pb.h>

#include <cstdlib>
#include <cstring>
#include <string>

namespace tw_rpc {

namespace messages = traywall::control;

/// Copies the text. Returns false if it does not fit: a truncated name would be a different name.
template <std::size_t size> bool copy_text(char (&to)[size], const std::string &from) {
    if (from.size() >= size) return false;
    std::memcpy(to, from.c_str(), from.size() + 1);
    return true;
}

// read_* converts a protobuf message to a struct; those that return bool return false if a text
// does not fit or a kind is unknown. write_* converts a struct to a protobuf message.
bool read_change(const messages::ChangeRequest &from, tw_shards_request &to);
void write_change(const tw_shards_request &from, messages::ChangeRequest &to);
void write_reply(const tw_rpc_answer &from, messages::ChangeReply &to);
void read_reply(const messages::ChangeReply &from, tw_rpc_answer &to);
void write_show(const tw_rpc_answer &from, messages::ShowReply &to);
void read_show(const messages::ShowReply &from, tw_rpc_answer &to);
bool read_report(const messages::ReportRequest &from, tw_rpc_call &to);
void write_report(const tw_rpc_call &from, messages::ReportRequest &to);
void write_notifications(const tw_rpc_answer &from, messages::ReportReply &to);
void read_notifications(const messages::ReportReply &from, tw_rpc_answer &to);
bool read_follow(const messages::FollowRequest &from, tw_rpc_call &to);
void write_feed(const tw_standby_message &from, messages::FollowMessage &to);
/// The caller frees the entries with tw_standby_message_free, also if the result is false.
bool read_feed(const messages::FollowMessage &from, tw_standby_message &to);
void write_standby(const tw_rpc_answer &from, messages::StandbyReply &to);
void read_standby(const messages::StandbyReply &from, tw_rpc_answer &to);

/// Returns a zeroed array that the caller frees with free. The program aborts if memory can't be
/// allocated.
template <typename item> item *new_items(int count) {
    void *memory = std::calloc(count > 0 ? static_cast<std::size_t>(count) : 1, sizeof(item));
    if (memory == nullptr) std::abort();
    return static_cast<item *>(memory);
}

} // namespace tw_rpc

#endif
