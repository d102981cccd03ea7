@0xe3b1d7a24c9f5a06;
# All messages of endiveusher: calls of callers and operators and their answers, messages between
# daemons, the exchange with targets, and the bodies of the platform's log service and VM list.
#
# Daemons exchange Peer calls as Cap'n Proto RPC. All other messages are sent as JSON over HTTP in the
# format of Cap'n Proto's JsonCodec: a field has its name in this file unless a Json.name annotation
# replaces it; a union is written as the one member that is set; 64-bit numbers are written as
# strings, because many JSON readers lose digits above 2^53, and are read from strings or numbers. A
# missing field has its default value. Unknown and repeated fields, null, negative amounts and numbers
# out of range are errors.
#
# Rules for changes: add fields and union members with the next free number, never renumber or
# reuse one, and keep union members in the order of the alternatives of the kernel's variants.
# Raise schemaVersion with every change.

using Cxx = import "/capnp/c++.capnp";
using Json = import "/capnp/compat/json.capnp";
$Cxx.namespace("endiveusher::schema");

const schemaVersion :UInt32 = 2;

# ---- Resources and jobs

struct Resources {
  slots @0 :Int64;
  cpuMilli @1 :Int64;
  memoryMb @2 :Int64;
  accelerators @3 :Int64;
}

# Declared size of one task, which also takes one slot.
struct TaskSize {
  cpuMilli @0 :Int64;
  memoryMb @1 :Int64;
  accelerators @2 :Int64;
}

enum JobKind {
  service @0;
  batch @1;
  gang @2;
}

struct JobSpec {
  request @0 :Text;
  team @1 :Text;
  kind @2 :JobKind = batch;
  taskCount @3 :UInt32 = 1;
  perTask @4 :TaskSize;
  runTimeMs @5 :Int64;
  urgent @6 :Bool;
  startWithinMs @7 :Int64;
  idempotent @8 :Bool = true;
  zones @9 :List(Text);
  command @10 :Text;
}

struct TaskKey {
  request @0 :Text;
  index @1 :UInt32;
}

struct TaskAttempt {
  key @0 :TaskKey;
  attempt @1 :UInt32 = 1;
  team @2 :Text;
  kind @3 :JobKind = batch;
  urgent @4 :Bool;
  idempotent @5 :Bool = true;
  size @6 :Resources;
  runTimeMs @7 :Int64;
  command @8 :Text;
  checkpoint @9 :Text;
  home @10 :Text;
  placer @11 :Text;
}

enum AttemptOutcome {
  succeeded @0;
  failed @1;
  stopped @2;
  checkpointed @3;
  leaseExpired @4 $Json.name("lease_expired");
}

enum TaskState {
  waiting @0;
  starting @1;
  running @2;
  succeeded @3;
  failed @4;
  cancelled @5;
  unknown @6;
}

# ---- Configuration

# A missing component is unlimited.
struct Limit {
  tasks @0 :Int64 = 9223372036854775807;
  cpuMilli @1 :Int64 = 9223372036854775807;
  memoryMb @2 :Int64 = 9223372036854775807;
  accelerators @3 :Int64 = 9223372036854775807;
}

enum ZoneState {
  in @0;
  out @1;
}

struct SetTeam {
  team @0 :Text;
  share @1 :Float64 = 1;
  limit @2 :Limit;
  open @3 :Bool;
}

struct RemoveTeam {
  team @0 :Text;
}

struct GrantKey {
  team @0 :Text;
  keyDigest @1 :Text;
}

struct WithdrawKey {
  keyDigest @0 :Text;
}

struct SetZoneState {
  zone @0 :Text;
  state @1 :ZoneState;
}

struct ConfigChange {
  union {
    setTeam @0 :SetTeam;
    removeTeam @1 :RemoveTeam;
    grantKey @2 :GrantKey;
    withdrawKey @3 :WithdrawKey;
    setZoneState @4 :SetZoneState;
  }
}

# ---- Calls of callers and operators. Keys are sent in the Authorization header.

struct TicketCall {
  count @0 :UInt32 = 1;
}

struct SubmitCall {
  job @0 :JobSpec;
}

struct StatusCall {
  request @0 :Text;
}

struct WaitCall {
  request @0 :Text;
  timeoutMs @1 :Int64;
}

struct CancelCall {
  request @0 :Text;
}

struct PublishCall {
  operationId @0 :Text;
  # Negative: any offset is accepted.
  expectedOffset @1 :Int64 = -1;
  changes @2 :List(ConfigChange);
}

struct ShowCall {
}

struct DumpCall {
}

# A call and its key, as forwarded from one daemon to another.
struct Call {
  key @0 :Text;
  union {
    ticket @1 :TicketCall;
    submit @2 :SubmitCall;
    status @3 :StatusCall;
    wait @4 :WaitCall;
    cancel @5 :CancelCall;
    publish @6 :PublishCall;
    show @7 :ShowCall;
    dump @8 :DumpCall;
  }
}

# ---- Answers

enum AnswerClass {
  ran @0;
  notRun @1 $Json.name("not_run");
  unknown @2;
}

enum Durability {
  memory @0;
  peer @1;
  log @2;
}

struct CallError {
  status @0 :UInt16 = 500;
  code @1 :Text;
  message @2 :Text;
  step @3 :Text;
  peer @4 :Text;
}

struct TicketsResult {
  tickets @0 :List(Text);
}

struct TaskStatus {
  index @0 :UInt32;
  state @1 :TaskState;
  attempt @2 :UInt32;
  target @3 :Text;
  exitCode @4 :Int32;
  output @5 :Text;
}

struct JobStatus {
  request @0 :Text;
  team @1 :Text;
  kind @2 :JobKind = batch;
  durability @3 :Durability;
  ended @4 :Bool;
  tasks @5 :List(TaskStatus);
  taskCount @6 :UInt32;
}

struct PublishResult {
  offset @0 :UInt64;
  inForceEverywhere @1 :Bool;
}

struct TeamView {
  team @0 :SetTeam;
  keyDigests @1 :List(Text);
  offset @2 :UInt64;
}

struct ZoneView {
  zone @0 :SetZoneState;
  offset @1 :UInt64;
}

struct ConfigView {
  offset @0 :UInt64;
  teams @1 :List(TeamView);
  zones @2 :List(ZoneView);
}

struct DumpResult {
  json @0 :Text;
}

struct Answer {
  class @0 :AnswerClass = unknown;
  union {
    error @1 :CallError;
    tickets @2 :TicketsResult;
    job @3 :JobStatus;
    published @4 :PublishResult;
    config @5 :ConfigView;
    dump @6 :DumpResult;
  }
}

# ---- Exchange with targets: POST /v1/exchange

enum OrderAction {
  start @0;
  stop @1;
  checkpoint @2;
  throttle @3;
}

struct TargetOrder {
  orderId @0 :UInt64;
  action @1 :OrderAction;
  task @2 :TaskAttempt;
  startByMs @3 :Int64;
  throttlePercent @4 :UInt32 = 100;
}

enum OrderResultCode {
  done @0;
  duplicate @1;
  expired @2;
  notOwner @3 $Json.name("not_owner");
  keyConflict @4 $Json.name("key_conflict");
  noCapacity @5 $Json.name("no_capacity");
  leaving @6;
  failedToStart @7 $Json.name("failed_to_start");
  noSuchTask @8 $Json.name("no_such_task");
}

struct TargetOrderResult {
  orderId @0 :UInt64;
  code @1 :OrderResultCode;
}

struct ExchangeRequest {
  target @0 :Text;
  daemon @1 :Text;
  ownershipLeaseMs @2 :Int64;
  acquire @3 :Bool = true;
  targetIncarnation @4 :Text;
  epoch @5 :UInt64;
  taskLeaseUntilMs @6 :Int64;
  knownTableVersion @7 :UInt64;
  orders @8 :List(TargetOrder);
  acknowledgedFinished @9 :List(UInt64);
}

struct RunningTask {
  task @0 :TaskAttempt;
  leaseUntilMs @1 :Int64;
}

struct FinishedAttempt {
  finishedId @0 :UInt64;
  task @1 :TaskAttempt;
  outcome @2 :AttemptOutcome;
  exitCode @3 :Int32;
  output @4 :Text;
  checkpoint @5 :Text;
  ranForMs @6 :Int64;
}

struct ExchangeResponse {
  target @0 :Text;
  targetIncarnation @1 :Text;
  clockMs @2 :Int64;
  granted @3 :Bool;
  owner @4 :Text;
  epoch @5 :UInt64;
  ownerUntilMs @6 :Int64;
  leaving @7 :Bool;
  capacity @8 :Resources;
  measured @9 :Resources;
  tableVersion @10 :UInt64;
  # Absent if the table version known to the caller is current; an empty list is an empty table.
  table @11 :List(RunningTask);
  orderResults @12 :List(TargetOrderResult);
  finished @13 :List(FinishedAttempt);
}

# ---- Records of the log's streams

struct JoinRecord {
  incarnation @0 :Text;
  vm @1 :Text;
  zone @2 :Text;
  peerAddress @3 :Text;
}

struct LeaveRecord {
  incarnation @0 :Text;
  successor @1 :Text;
}

struct TakeoverRecord {
  dead @0 :Text;
  successor @1 :Text;
}

struct ConfigRecord {
  operationId @0 :Text;
  # Negative: any offset is accepted.
  expectedOffset @1 :Int64 = -1;
  changes @2 :List(ConfigChange);
}

struct SliceTransferRecord {
  from @0 :Text;
  to @1 :Text;
  team @2 :Text;
  amount @3 :Limit;
}

struct SnapshotRecord {
  asOf @0 :UInt64;
  state @1 :Text;
}

# A record of stream control.
struct ControlRecord {
  id @0 :Text;
  union {
    join @1 :JoinRecord;
    leave @2 :LeaveRecord;
    takeover @3 :TakeoverRecord;
    config @4 :ConfigRecord;
    sliceTransfer @5 :SliceTransferRecord;
    snapshot @6 :SnapshotRecord;
  }
}

struct AcceptRecord {
  home @0 :Text;
  job @1 :JobSpec;
  bodyDigest @2 :UInt64;
}

struct EndedRecord {
  request @0 :Text;
  succeeded @1 :UInt32;
  failed @2 :UInt32;
  cancelled @3 :UInt32;
  unknown @4 :UInt32;
}

# A record of stream jobs.
struct JobRecord {
  id @0 :Text;
  union {
    accept @1 :AcceptRecord;
    ended @2 :EndedRecord;
  }
}

struct StoredControlRecord {
  offset @0 :UInt64;
  record @1 :ControlRecord;
}

# ---- The platform's log service and VM list

# POST /v1/streams/{stream}/append
struct AppendRequest {
  appendId @0 :Text;
  records @1 :List(Text);
}

struct AppendResponse {
  offset @0 :UInt64;
}

struct LogEntry {
  offset @0 :UInt64;
  record @1 :Text;
}

# GET /v1/streams/{stream}?from=&max=
struct ReadResponse {
  entries @0 :List(LogEntry);
  end @1 :UInt64;
  first @2 :UInt64;
}

enum VmRole {
  entry @0;
  target @1;
}

struct VmEntry {
  name @0 :Text;
  zone @1 :Text;
  role @2 :VmRole = target;
  address @3 :Text;
  leaving @4 :Bool;
}

# GET /v1/vms
struct VmList {
  vms @0 :List(VmEntry);
}

# ---- Messages between daemons

struct TeamUsage {
  team @0 :Text;
  used @1 :Resources;
  waiting @2 :Resources;
  unusedSlice @3 :Limit;
}

struct Gossip {
  vm @0 :Text;
  zone @1 :Text;
  peerAddress @2 :Text;
  probe @3 :UInt64;
  echoedProbe @4 :UInt64;
  controlOffset @5 :UInt64;
  freshForMs @6 :Int64;
  logReachable @7 :Bool;
  free @8 :Resources;
  total @9 :Resources;
  largestRoom @10 :Resources;
  teams @11 :List(TeamUsage);
  ownedTargets @12 :List(Text);
  sweptOffset @13 :UInt64;
  leaving @14 :Bool;
}

struct Delegate {
  tasks @0 :List(TaskAttempt);
  startWithinMs @1 :List(Int64);
  sequence @2 :UInt64;
}

enum PlacedState {
  queued @0;
  starting @1;
  running @2;
  returned @3;
  ended @4;
  unknown @5;
}

struct PlacedTask {
  key @0 :TaskKey;
  attempt @1 :UInt32 = 1;
  state @2 :PlacedState;
  target @3 :Text;
  outcome @4 :AttemptOutcome;
  exitCode @5 :Int32;
  output @6 :Text;
  checkpoint @7 :Text;
}

struct TaskReport {
  home @0 :Text;
  sequence @1 :UInt64;
  tasks @2 :List(PlacedTask);
  controlOffset @3 :UInt64;
}

struct ReportAck {
  tasks @0 :List(PlacedTask);
  closedBefore @1 :UInt64;
}

struct Recall {
  tasks @0 :List(TaskKey);
  stop @1 :Bool;
}

struct Reserve {
  reservation @0 :UInt64;
  tasks @1 :List(TaskAttempt);
  waitedMs @2 :Int64;
}

struct ReserveAnswer {
  reservation @0 :UInt64;
  request @1 :Text;
  reserved @2 :Bool;
}

struct Commit {
  reservation @0 :UInt64;
  request @1 :Text;
}

struct Release {
  reservation @0 :UInt64;
  request @1 :Text;
}

struct JobCopy {
  accept @0 :AcceptRecord;
  ended @1 :Bool;
}

struct JobCopyAck {
  request @0 :Text;
}

struct ForwardCall {
  callId @0 :UInt64;
  call @1 :Call;
}

struct ForwardAnswer {
  callId @0 :UInt64;
  answer @1 :Answer;
}

struct SliceRequest {
  team @0 :Text;
  wanted @1 :Limit;
  waitedMs @2 :Int64;
}

struct Records {
  from @0 :UInt64;
  records @1 :List(StoredControlRecord);
  end @2 :UInt64;
}

struct PeerMessage {
  from @0 :Text;
  to @1 :Text;
  union {
    gossip @2 :Gossip;
    delegate @3 :Delegate;
    taskReport @4 :TaskReport;
    reportAck @5 :ReportAck;
    recall @6 :Recall;
    reserve @7 :Reserve;
    reserveAnswer @8 :ReserveAnswer;
    commit @9 :Commit;
    release @10 :Release;
    jobCopy @11 :JobCopy;
    jobCopyAck @12 :JobCopyAck;
    forwardCall @13 :ForwardCall;
    forwardAnswer @14 :ForwardAnswer;
    sliceRequest @15 :SliceRequest;
    records @16 :Records;
  }
}

# One-way: the empty response serves only to bound the number of messages in flight.
interface Peer {
  deliver @0 (batch :List(PeerMessage)) -> ();
}
