// Conversions between the messages of control.proto and the structs of rpc.h.
#include "rpc/convert.hpp"

namespace tw_rpc {

namespace {

tw_shards_verdict read_verdict(const std::string &name) {
    for (int i = TW_SHARDS_OK; i <= TW_SHARDS_BEHIND; i++) {
        const auto verdict = static_cast<tw_shards_verdict>(i);
        if (name == tw_shards_verdict_name(verdict)) return verdict;
    }
    return TW_SHARDS_INVALID;
}

tw_shards_state read_state(const std::string &name) {
    for (int i = TW_SHARDS_ABSENT; i <= TW_SHARDS_RELEASED; i++) {
        const auto state = static_cast<tw_shards_state>(i);
        if (name == tw_shards_state_name(state)) return state;
    }
    return TW_SHARDS_ABSENT;
}

} // namespace

bool read_change(const messages::ChangeRequest &from, tw_shards_request &to) {
    to = {};
    to.kind = static_cast<tw_shards_request_kind>(from.kind());
    to.least = from.least();
    to.spread = from.spread() ? 1 : 0;
    to.count = from.count();
    to.revision = from.revision();
    const bool fits = copy_text(to.shard, from.share()) && copy_text(to.owner, from.owner()) &&
                      copy_text(to.machine, from.machine()) && copy_text(to.zone, from.zone()) &&
                      copy_text(to.key, from.key()) && copy_text(to.to, from.to()) &&
                      copy_text(to.image, from.image());
    if (!fits || from.kind() > messages::ChangeRequest::WATCH) return false;
    if (from.machines_size() == 0) return true;
    using name = char[TW_SHARDS_NAME];
    to.machines = new_items<name>(from.machines_size());
    for (const std::string &each : from.machines())
        if (!copy_text(to.machines[to.machine_count++], each)) {
            std::free(to.machines);
            return false;
        }
    return true;
}

void write_change(const tw_shards_request &from, messages::ChangeRequest &to) {
    to.set_kind(static_cast<messages::ChangeRequest::Kind>(from.kind));
    to.set_share(from.shard);
    to.set_owner(from.owner);
    to.set_least(from.least);
    to.set_spread(from.spread != 0);
    to.set_machine(from.machine);
    to.set_zone(from.zone);
    to.set_key(from.key);
    to.set_to(from.to);
    to.set_image(from.image);
    to.set_count(from.count);
    to.set_revision(from.revision);
    for (int i = 0; i < from.machine_count; i++) to.add_machines(from.machines[i]);
}

void write_reply(const tw_rpc_answer &from, messages::ChangeReply &to) {
    const tw_shards_progress &progress = from.progress;
    to.set_verdict(tw_shards_verdict_name(from.verdict));
    to.set_leader(from.leader);
    to.set_revision(from.revision);
    to.set_floor(from.minimum_epoch);
    to.set_retry_after_s(from.retry_after_s);
    to.set_done(progress.done);
    to.set_wanted(progress.wanted);
    to.set_draining(progress.draining);
    to.set_released(progress.released);
    to.set_taken(progress.taken);
    to.set_moved(progress.moved);
    to.set_returned(progress.returned);
    to.set_lost(progress.lost);
}

void read_reply(const messages::ChangeReply &from, tw_rpc_answer &to) {
    to = {};
    to.verdict = read_verdict(from.verdict());
    copy_text(to.leader, from.leader());
    to.revision = from.revision();
    to.minimum_epoch = from.floor();
    to.retry_after_s = from.retry_after_s();
    to.progress.done = from.done();
    to.progress.wanted = from.wanted();
    to.progress.draining = from.draining();
    to.progress.released = from.released();
    to.progress.taken = from.taken();
    to.progress.moved = from.moved();
    to.progress.returned = from.returned();
    to.progress.lost = from.lost();
}

void write_show(const tw_rpc_answer &from, messages::ShowReply &to) {
    to.set_verdict(tw_shards_verdict_name(from.verdict));
    to.set_leader(from.leader);
    to.set_revision(from.revision);
    to.set_retry_after_s(from.retry_after_s);
    for (int i = 0; i < from.shard_count; i++) {
        const tw_shards_shard_view &view = from.shards[i];
        messages::Share *shard = to.add_shares();
        shard->set_name(view.name);
        shard->set_owner(view.owner);
        shard->set_least(view.least);
        shard->set_spread(view.spread != 0);
        shard->set_open(view.open);
        shard->set_taken(view.taken);
        shard->set_draining(view.draining);
    }
    for (int i = 0; i < from.notification_count; i++) {
        const tw_shards_notification &notification = from.notifications[i];
        messages::Machine *machine = to.add_machines();
        machine->set_name(notification.machine);
        machine->set_share(notification.shard);
        machine->set_owner(notification.owner);
        machine->set_state(tw_shards_state_name(notification.state));
        machine->set_epoch(notification.epoch);
    }
}

void read_show(const messages::ShowReply &from, tw_rpc_answer &to) {
    to = {};
    to.verdict = read_verdict(from.verdict());
    copy_text(to.leader, from.leader());
    to.revision = from.revision();
    to.retry_after_s = from.retry_after_s();
    to.shards = new_items<tw_shards_shard_view>(from.shares_size());
    to.notifications = new_items<tw_shards_notification>(from.machines_size());
    for (const messages::Share &shard : from.shares()) {
        tw_shards_shard_view &view = to.shards[to.shard_count++];
        copy_text(view.name, shard.name());
        copy_text(view.owner, shard.owner());
        view.least = shard.least();
        view.spread = shard.spread() ? 1 : 0;
        view.open = shard.open();
        view.taken = shard.taken();
        view.draining = shard.draining();
    }
    for (const messages::Machine &machine : from.machines()) {
        tw_shards_notification &notification = to.notifications[to.notification_count++];
        copy_text(notification.machine, machine.name());
        copy_text(notification.shard, machine.share());
        copy_text(notification.owner, machine.owner());
        notification.state = read_state(machine.state());
        notification.epoch = machine.epoch();
    }
}

bool read_report(const messages::ReportRequest &from, tw_rpc_call &to) {
    static const tw_shards_owner_effect_kind kinds[] = {
        TW_SHARDS_OWNER_SYNC, TW_SHARDS_OWNER_DRAINED, TW_SHARDS_OWNER_OPENED};
    if (!copy_text(to.owner, from.owner())) return false;
    to.position.term = from.term();
    to.position.number = from.number();
    to.messages = new_items<tw_rpc_message>(from.messages_size());
    for (const messages::OwnerMessage &each : from.messages()) {
        if (each.kind() > messages::OwnerMessage::OPENED) continue;
        tw_rpc_message &message = to.messages[to.message_count];
        message.kind = kinds[each.kind()];
        message.epoch = each.epoch();
        if (copy_text(message.machine, each.machine())) to.message_count++;
    }
    return true;
}

void write_report(const tw_rpc_call &from, messages::ReportRequest &to) {
    to.set_owner(from.owner);
    to.set_term(from.position.term);
    to.set_number(from.position.number);
    for (int i = 0; i < from.message_count; i++) {
        const tw_rpc_message &message = from.messages[i];
        messages::OwnerMessage *each = to.add_messages();
        each->set_kind(message.kind == TW_SHARDS_OWNER_DRAINED  ? messages::OwnerMessage::DRAINED
                       : message.kind == TW_SHARDS_OWNER_OPENED ? messages::OwnerMessage::OPENED
                                                                : messages::OwnerMessage::SYNC);
        each->set_machine(message.machine);
        each->set_epoch(message.epoch);
    }
}

void write_notifications(const tw_rpc_answer &from, messages::ReportReply &to) {
    to.set_leads(from.verdict == TW_SHARDS_OK);
    for (int i = 0; i < from.notification_count; i++) {
        const tw_shards_notification &notification = from.notifications[i];
        messages::Tell *each = to.add_tells();
        each->set_share(notification.shard);
        each->set_machine(notification.machine);
        each->set_state(notification.state);
        each->set_epoch(notification.epoch);
        each->set_drain_s(notification.drain_s);
        each->set_term(notification.term);
    }
}

void read_notifications(const messages::ReportReply &from, tw_rpc_answer &to) {
    to = {};
    to.verdict = from.leads() ? TW_SHARDS_OK : TW_SHARDS_NOT_LEADER;
    to.notifications = new_items<tw_shards_notification>(from.tells_size());
    for (const messages::Tell &each : from.tells()) {
        if (each.state() < TW_SHARDS_ABSENT || each.state() > TW_SHARDS_RELEASED) continue;
        tw_shards_notification &notification = to.notifications[to.notification_count];
        notification.state = static_cast<tw_shards_state>(each.state());
        notification.epoch = each.epoch();
        notification.drain_s = each.drain_s();
        notification.term = each.term();
        if (copy_text(notification.shard, each.share()) &&
            copy_text(notification.machine, each.machine()))
            to.notification_count++;
    }
}

bool read_follow(const messages::FollowRequest &from, tw_rpc_call &to) {
    to.position.term = from.term();
    to.position.number = from.number();
    to.position.snapshot_number = from.snapshot_number();
    return copy_text(to.owner, from.node()) && copy_text(to.position.after, from.after());
}

void write_feed(const tw_standby_message &from, messages::FollowMessage &to) {
    to.set_kind(static_cast<messages::FollowMessage::Kind>(from.kind));
    to.set_term(from.term);
    to.set_number(from.number);
    to.set_ledger(from.store_revision);
    to.set_digest(from.digest);
    to.set_more(from.more != 0);
    to.set_after(from.after);
    to.set_successor(from.successor);
    for (int i = 0; i < from.count; i++) {
        const tw_wire_entry &entry = from.entries[i];
        messages::Entry *added = to.add_entries();
        added->set_key(entry.key);
        added->set_stamp(entry.mod_revision);
        added->set_removed(entry.value == nullptr);
        if (entry.value != nullptr) added->set_data(entry.value);
    }
}

bool read_feed(const messages::FollowMessage &from, tw_standby_message &to) {
    to = {};
    if (from.kind() < messages::FollowMessage::DENIED ||
        from.kind() > messages::FollowMessage::SNAPSHOT)
        return false;
    to.kind = static_cast<tw_standby_message_kind>(from.kind());
    to.term = from.term();
    to.number = from.number();
    to.store_revision = from.ledger();
    to.digest = from.digest();
    to.more = from.more() ? 1 : 0;
    if (!copy_text(to.after, from.after()) || !copy_text(to.successor, from.successor()))
        return false;
    to.entries = new_items<tw_wire_entry>(from.entries_size());
    for (const messages::Entry &entry : from.entries()) {
        tw_wire_entry &added = to.entries[to.count];
        if (!copy_text(added.key, entry.key())) continue;
        added.mod_revision = entry.stamp();
        added.value = entry.removed() ? nullptr : strdup(entry.data().c_str());
        to.count++;
    }
    return true;
}

void write_standby(const tw_rpc_answer &from, messages::StandbyReply &to) {
    const tw_standby_status &status = from.status;
    to.set_node(from.node);
    to.set_state(tw_standby_state_name(status.state));
    to.set_term(status.term);
    to.set_number(status.number);
    to.set_ledger(status.store_revision);
    to.set_digest(status.digest);
    to.set_lag(status.lag);
    to.set_held_back(status.quarantined);
    to.set_records(status.records);
    to.set_differences(status.differences);
    to.set_snapshots(status.snapshots);
    to.set_gaps(status.gaps);
    to.set_leader(from.leader);
    for (int i = 0; i < from.follower_count; i++) {
        messages::Follower *added = to.add_followers();
        added->set_name(from.followers[i].name);
        added->set_lag(from.followers[i].lag);
        added->set_silent_s(from.followers[i].silent_s);
    }
}

void read_standby(const messages::StandbyReply &from, tw_rpc_answer &to) {
    to = {};
    tw_standby_status &status = to.status;
    copy_text(to.node, from.node());
    copy_text(to.leader, from.leader());
    for (int i = TW_STANDBY_BEHIND; i <= TW_STANDBY_DECIDING; i++) {
        const auto state = static_cast<tw_standby_state>(i);
        if (from.state() == tw_standby_state_name(state)) status.state = state;
    }
    status.term = from.term();
    status.number = from.number();
    status.store_revision = from.ledger();
    status.digest = from.digest();
    status.lag = from.lag();
    status.quarantined = from.held_back();
    status.records = from.records();
    status.differences = from.differences();
    status.snapshots = from.snapshots();
    status.gaps = from.gaps();
    to.followers = new_items<tw_standby_follower_status>(from.followers_size());
    for (const messages::Follower &each : from.followers()) {
        tw_standby_follower_status &added = to.followers[to.follower_count++];
        copy_text(added.name, each.name());
        added.lag = each.lag();
        added.silent_s = each.silent_s();
    }
}

} // namespace tw_rpc

extern "C" void tw_rpc_call_free(tw_rpc_call *call) {
    std::free(call->request.machines);
    std::free(call->messages);
    call->request.machines = nullptr;
    call->messages = nullptr;
}

extern "C" void tw_rpc_answer_free(tw_rpc_answer *answer) {
    std::free(answer->shards);
    std::free(answer->notifications);
    std::free(answer->followers);
    tw_standby_message_free(&answer->message);
    answer->followers = nullptr;
    answer->shards = nullptr;
    answer->notifications = nullptr;
}
