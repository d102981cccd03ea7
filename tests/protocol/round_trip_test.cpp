#include "codec_answer.h"
#include "codec_call.h"
#include "codec_peer.h"
#include "codec_platform.h"
#include "codec_target.h"
#include "endiveusher/protocol/json.h"
#include "endiveusher/protocol/peer_codec.h"
#include "random_values.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::protocol;
using internal::random_filler;

namespace {

/// Number of random values checked per type.
constexpr std::uint64_t kSeeds = 40;

/// Checks that the JSON text equals that of JsonCodec, and that reading and rewriting reproduces
/// it.
template<typename T>
void checkJson()
{
  using wire = typename internal::codec<T>::wire;
  capnp::JsonCodec reference;
  reference.handleByAnnotation<wire>();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const T value = random_filler(seed).make<T>();
    const std::string text = toJson(value);
    capnp::MallocMessageBuilder message;
    internal::writeStruct(value, message.initRoot<wire>());
    STRCMP_EQUAL(reference.encode(message.getRoot<wire>().asReader()).cStr(), text.c_str());
    const auto read = fromJson<T>(text);
    CHECK_TEXT(read.ok(), (text + ": " + read.status().ToString()).c_str());
    STRCMP_EQUAL(text.c_str(), toJson(*read).c_str());
  }
}

template<typename... T>
void checkAllJson()
{
  (checkJson<T>(), ...);
}

/// Archive that counts the fields of one struct, excluding those of nested structs.
struct field_counter
{
  std::size_t mFields = 0;

  void operator()(auto& /*aValue*/, auto /*aAccess*/) { ++mFields; }
  void amount(auto& /*aValue*/, auto /*aAccess*/) { ++mFields; }
  void optionalList(auto& /*aValue*/, auto /*aAccess*/) { ++mFields; }
  void optionalNumber(auto& /*aValue*/, auto /*aAccess*/) { ++mFields; }
  void alternatives(auto& /*aValue*/, auto... /*aAccess*/) { ++mFields; }
};

template<typename T>
void checkMemberCount()
{
  T value;
  field_counter counted;
  internal::codec<T>::fields(counted, value);
  LONGS_EQUAL_TEXT(internal::memberCount<T>(), counted.mFields, __PRETTY_FUNCTION__);
}

template<typename... T>
void checkMemberCounts()
{
  (checkMemberCount<T>(), ...);
}

} // namespace

TEST_GROUP(round_trip){};

// Guards against JSON that loses or changes a field of a call or an answer.
TEST(round_trip, callsAndAnswersSurviveJson)
{
  checkAllJson<ticket_call, submit_call, status_call, wait_call, cancel_call, publish_call,
               show_call, dump_call, answer>();
}

// Guards against JSON that loses or changes a field of a target or platform message.
TEST(round_trip, targetAndPlatformMessagesSurviveJson)
{
  checkAllJson<exchange_request, exchange_response, control_record, job_record, vm_list,
               append_request, append_response, read_response>();
}

// Guards against an encoding that loses or changes a field of a peer message.
TEST(round_trip, peerMessagesSurviveEncoding)
{
  std::vector<peer_message> batch;
  std::set<std::size_t> kinds;
  random_filler filler(7);
  for (int i = 0; i < 400; ++i) {
    batch.push_back(filler.make<peer_message>());
    kinds.insert(batch.back().mBody.index());
  }
  LONGS_EQUAL(std::variant_size_v<peer_body>, kinds.size());
  const auto bytes = encodeBatch(batch);
  const auto read = decodeBatch(bytes);
  LONGS_EQUAL(0, read.mDropped);
  LONGS_EQUAL(batch.size(), read.mMessages.size());
  CHECK(bytes == encodeBatch(read.mMessages));
}

// Guards against a member added to a kernel struct but not to its codec.
TEST(round_trip, everyMemberHasAField)
{
  checkMemberCounts<resources, job_spec, task_key, task_attempt, limit_vector, set_team,
                    remove_team, grant_key, withdraw_key, set_zone_state>();
  checkMemberCounts<call_error, tickets_result, task_status, job_status, publish_result, team_view,
                    zone_view, config_view, dump_result, answer>();
  checkMemberCounts<target_order, target_order_result, exchange_request, running_task,
                    finished_attempt, exchange_response>();
  checkMemberCounts<join_record, leave_record, takeover_record, config_record,
                    slice_transfer_record, snapshot_record, control_record, accept_record,
                    ended_record, job_record, stored_record<control_record>, append_request,
                    append_response, log_entry, read_response, vm_entry, vm_list>();
  checkMemberCounts<team_usage, gossip, delegate, placed_task, task_report, report_ack, recall,
                    reserve, reserve_answer, commit, release, job_copy, job_copy_ack, forward_call,
                    forward_answer, slice_request, records, peer_message>();
}

// Guards against forwarded calls that lose their keys.
TEST(round_trip, forwardedCallsKeepTheirKeys)
{
  const std::vector<peer_message> batch{
    { .mBody = forward_call{ .mCallId = 1, .mCall = cancel_call{ .mKey = "k1" } } },
    { .mBody = forward_call{ .mCallId = 2, .mCall = show_call{ .mOperatorKey = "k2" } } }
  };
  const auto read = decodeBatch(encodeBatch(batch)).mMessages;
  STRCMP_EQUAL("k1",
               std::get<cancel_call>(std::get<forward_call>(read.at(0).mBody).mCall).mKey.c_str());
  STRCMP_EQUAL(
    "k2", std::get<show_call>(std::get<forward_call>(read.at(1).mBody).mCall).mOperatorKey.c_str());
}

// Guards against crashes and exceptions on batches that are truncated or corrupted.
TEST(round_trip, malformedBatchesAreDropped)
{
  random_filler filler(9);
  const std::vector<peer_message> batch{ filler.make<peer_message>() };
  auto bytes = encodeBatch(batch);
  LONGS_EQUAL(1, decodeBatch(std::span(bytes).first(5)).mDropped);
  std::mt19937_64 engine(11);
  for (int i = 0; i < 2000; ++i) {
    auto damaged = bytes;
    damaged[engine() % damaged.size()] = static_cast<std::byte>(engine());
    decodeBatch(damaged);
  }
}
