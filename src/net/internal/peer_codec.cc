#include "net/internal/peer_codec.h"

#include <algorithm>

namespace limpetrudder::detail {
namespace {

// Remaining times are capped at this value, one hour, so that a corrupt message
// can't cause an overflow.
constexpr std::uint64_t kMaxMicros = 3'600'000'000;

Duration Micros(std::uint64_t count) {
  return Duration(static_cast<std::int64_t>(std::min(count, kMaxMicros)));
}

std::uint64_t TimeLeft(Time deadline, Time now) {
  return deadline <= now ? 0
                         : static_cast<std::uint64_t>((deadline - now).count());
}

// Converts an enum value. An unknown one, from a newer or faulty peer, becomes
// `last`.
template <typename E>
E ToEnum(std::uint32_t value, E last) {
  return static_cast<E>(std::min(value, static_cast<std::uint32_t>(last)));
}

void WriteSnapshot(const Snapshot& snapshot, wire::Snapshot* out) {
  out->set_map_epoch(snapshot.map_epoch);
  out->set_version(snapshot.version);
}

Snapshot ReadSnapshot(const wire::Snapshot& snapshot) {
  return {snapshot.map_epoch(), snapshot.version()};
}

void WriteMember(const MemberUpdate& member, wire::Member* out) {
  out->set_name(member.name);
  out->set_data_centre(member.data_centre);
  out->set_peer_address(member.peer_address);
  out->set_incarnation(member.incarnation);
  out->set_state(static_cast<std::uint32_t>(member.state));
}

MemberUpdate ReadMember(const wire::Member& member) {
  return {member.name(), member.data_centre(), member.peer_address(),
          member.incarnation(), ToEnum(member.state(), MemberState::kLeft)};
}

void WriteShardAnswer(const ShardAnswer& answer, wire::ShardAnswer* out) {
  out->set_shard(answer.shard);
  out->set_code(static_cast<std::uint32_t>(answer.code));
  WriteSnapshot(answer.snapshot, out->mutable_snapshot());
  out->set_snapshot_age_us(
      static_cast<std::uint64_t>(answer.snapshot_age.count()));
  for (const auto& held : answer.held)
    WriteSnapshot(held, out->add_held());
  for (const auto& hit : answer.hits) {
    auto* entry = out->add_hits();
    entry->set_id(hit.id);
    entry->set_title(hit.title);
    entry->set_score(hit.score);
  }
}

ShardAnswer ReadShardAnswer(const wire::ShardAnswer& answer) {
  ShardAnswer read;
  read.shard = answer.shard();
  read.code = static_cast<ResultCode>(answer.code());
  read.snapshot = ReadSnapshot(answer.snapshot());
  read.snapshot_age = Micros(answer.snapshot_age_us());
  for (const auto& held : answer.held())
    read.held.push_back(ReadSnapshot(held));
  for (const auto& hit : answer.hits())
    read.hits.push_back({hit.id(), hit.title(), hit.score()});
  return read;
}

}  // namespace

wire::SearchCall ToWire(const PeerSearch& search, Time now) {
  const SearchRequest& request = search.request;
  wire::SearchCall call;
  call.set_request_id(request.request_id);
  call.set_collection(request.collection);
  call.set_terms(request.terms);
  call.set_limit(request.limit);
  call.set_caller(request.caller);
  call.set_caller_class(static_cast<std::uint32_t>(request.caller_class));
  call.set_time_left_us(TimeLeft(request.deadline, now));
  call.set_explain(request.explain);
  for (const auto& shard : request.only_shards)
    call.add_only_shards(shard);
  WriteSnapshot(request.pinned, call.mutable_pinned());
  call.set_revision(search.revision);
  return call;
}

PeerSearch FromWire(const wire::SearchCall& call, Time now) {
  PeerSearch search;
  SearchRequest& request = search.request;
  request.request_id = call.request_id();
  request.collection = call.collection();
  request.terms = call.terms();
  request.limit = call.limit();
  request.caller = call.caller();
  request.caller_class = ToEnum(call.caller_class(), CallerClass::kReport);
  request.deadline = now + Micros(call.time_left_us());
  request.explain = call.explain();
  request.only_shards.assign(call.only_shards().begin(),
                             call.only_shards().end());
  request.pinned = ReadSnapshot(call.pinned());
  search.revision = call.revision();
  return search;
}

wire::SearchReply ToWire(const PeerSearchReply& reply) {
  wire::SearchReply out;
  out.set_http_status(static_cast<std::uint32_t>(reply.http_status));
  out.set_body(reply.body);
  out.set_not_run(reply.not_run);
  out.set_revision(reply.revision);
  return out;
}

PeerSearchReply FromWire(const wire::SearchReply& reply) {
  return {static_cast<int>(reply.http_status()), reply.body(), reply.not_run(),
          reply.revision()};
}

wire::ShardsReply ToWire(const PeerShardsReply& reply) {
  wire::ShardsReply out;
  for (const auto& answer : reply.answers)
    WriteShardAnswer(answer, out.add_answers());
  out.set_revision(reply.revision);
  return out;
}

PeerShardsReply FromWire(const wire::ShardsReply& reply) {
  PeerShardsReply read;
  for (const auto& answer : reply.answers())
    read.answers.push_back(ReadShardAnswer(answer));
  read.revision = reply.revision();
  return read;
}

wire::WriteCall ToWire(const PeerWrite& write, Time now) {
  const WriteRequest& request = write.request;
  wire::WriteCall call;
  call.set_action(static_cast<wire::WriteAction>(write.action));
  call.set_request_id(request.request_id);
  call.set_key(request.key);
  call.set_caller(request.caller);
  call.set_collection(request.collection);
  call.set_route(request.route);
  call.set_body(request.body);
  call.set_time_left_us(TimeLeft(request.deadline, now));
  call.set_revision(write.revision);
  return call;
}

PeerWrite FromWire(const wire::WriteCall& call, Time now) {
  PeerWrite write;
  // NOTE An unknown action must not run a write.
  switch (call.action()) {
    case wire::WRITE_RUN:
      write.action = WriteAction::kRun;
      break;
    case wire::WRITE_CANCEL:
      write.action = WriteAction::kCancel;
      break;
    case wire::WRITE_ISSUE_KEY:
      write.action = WriteAction::kIssueKey;
      break;
    default:
      write.action = WriteAction::kOutcome;
      break;
  }
  WriteRequest& request = write.request;
  request.request_id = call.request_id();
  request.key = call.key();
  request.caller = call.caller();
  request.collection = call.collection();
  request.route = call.route();
  request.body = call.body();
  request.deadline = now + Micros(call.time_left_us());
  write.revision = call.revision();
  return write;
}

wire::WriteReply ToWire(const PeerWriteReply& reply) {
  const WriteOutcome& outcome = reply.outcome;
  wire::WriteReply out;
  out.set_code(static_cast<std::uint32_t>(outcome.code));
  out.set_state(static_cast<std::uint32_t>(outcome.state));
  out.set_final(outcome.final);
  out.set_server_status(static_cast<std::uint32_t>(outcome.server_status));
  out.set_server_body(outcome.server_body);
  out.set_message(outcome.message);
  out.set_retry_after_us(
      static_cast<std::uint64_t>(outcome.retry_after.count()));
  out.set_revision(reply.revision);
  return out;
}

PeerWriteReply FromWire(const wire::WriteReply& reply) {
  PeerWriteReply read;
  WriteOutcome& outcome = read.outcome;
  outcome.code = static_cast<ResultCode>(reply.code());
  outcome.state = ToEnum(reply.state(), WriteState::kUnknown);
  outcome.final = reply.final();
  outcome.server_status = static_cast<int>(reply.server_status());
  outcome.server_body = reply.server_body();
  outcome.message = reply.message();
  outcome.retry_after = Micros(reply.retry_after_us());
  read.revision = reply.revision();
  return read;
}

wire::ProbeCall ToWire(const PeerProbe& probe) {
  wire::ProbeCall call;
  WriteMember(probe.message.from, call.mutable_from());
  for (const auto& update : probe.message.updates)
    WriteMember(update, call.add_updates());
  for (const auto& hash : probe.message.hashes) {
    auto* entry = call.add_hashes();
    entry->set_data_centre(hash.data_centre);
    entry->set_hash(hash.hash);
  }
  call.set_indirect_address(probe.message.indirect_address);
  call.set_revision(probe.revision);
  call.set_has_leaving(probe.leaving.has_value());
  if (probe.leaving) {
    for (const auto& server : *probe.leaving)
      call.add_leaving(server);
  }
  return call;
}

PeerProbe FromWire(const wire::ProbeCall& call) {
  PeerProbe probe;
  probe.message.from = ReadMember(call.from());
  for (const auto& update : call.updates())
    probe.message.updates.push_back(ReadMember(update));
  for (const auto& hash : call.hashes())
    probe.message.hashes.push_back({hash.data_centre(), hash.hash()});
  probe.message.indirect_address = call.indirect_address();
  probe.revision = call.revision();
  if (call.has_leaving())
    probe.leaving.emplace(call.leaving().begin(), call.leaving().end());
  return probe;
}

wire::ProbeReply ToWire(const PeerProbeReply& reply) {
  wire::ProbeReply out;
  for (const auto& update : reply.answer.updates)
    WriteMember(update, out.add_updates());
  out.set_revision(reply.revision);
  out.set_reached(reply.reached);
  return out;
}

PeerProbeReply FromWire(const wire::ProbeReply& reply) {
  PeerProbeReply read;
  for (const auto& update : reply.updates())
    read.answer.updates.push_back(ReadMember(update));
  read.revision = reply.revision();
  read.reached = reply.reached();
  return read;
}

wire::PullCall ToWire(const PeerPull& pull) {
  wire::PullCall call;
  for (const auto& part : pull.parts)
    call.add_parts(part);
  return call;
}

PeerPull FromWire(const wire::PullCall& call) {
  return {{call.parts().begin(), call.parts().end()}};
}

wire::PullReply ToWire(const PeerPullReply& reply) {
  wire::PullReply out;
  out.set_revision(reply.manifest.revision);
  for (const auto& part : reply.manifest.parts)
    out.add_manifest(part);
  for (const auto& [name, text] : reply.parts) {
    auto* part = out.add_parts();
    part->set_name(name);
    part->set_text(*text);
  }
  return out;
}

PeerPullReply FromWire(const wire::PullReply& reply) {
  PeerPullReply read;
  read.manifest.revision = reply.revision();
  read.manifest.parts.assign(reply.manifest().begin(), reply.manifest().end());
  for (const auto& part : reply.parts())
    read.parts[part.name()] = std::make_shared<const std::string>(part.text());
  return read;
}

}  // namespace limpetrudder::detail
