#include "assembly/record_search.h"
#include "codec/peer_codec.h"
#include "core/controller_facts.h"
#include "membership/view_exchange.h"
#include "permits/permits.h"
#include "safety/request_key.h"
#include "tables/readers.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <set>
#include <sstream>

// Control-plane cost of one daemon in a fleet of a given size: messages and encoded bytes,
// processor time, heap and reads of the configuration service. One real core runs on a manual
// clock; this program simulates its peers and the configuration service.
//
//   record_search_benchmark                                   (a table over several sizes)
//   record_search_benchmark DAEMONS SECONDS LIST_CHANGES [reader]   (one size, for callgrind)
//   record_search_benchmark keys                              (heap per remembered request key)

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kZones = 10;
constexpr micros kStep = milliseconds(10);
constexpr micros kListChange = seconds(41); // 2,111 VMs fail, restart or are replaced per day

struct run_options
{
  std::uint32_t mDaemons = 5;
  std::uint32_t mSeconds = 30;
  std::uint32_t mListChanges = 2;
  bool mReader = false;
};

double CpuMs()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

double HeapMb()
{
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

struct traffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
};

constexpr std::array<const char*, 13> kMessageNames{
  "view",   "probe", "probe_reply", "pull",    "table",         "forward_part", "reply",
  "cancel", "stage", "suspect",     "release", "forward_query", "answer"
};

class daemon_simulation
{
public:
  explicit daemon_simulation(run_options aOptions)
    : mOptions(aOptions)
    , mReplicas(aOptions.mDaemons * 5100 / 710)
  {
    for (std::uint32_t i = 0; i < mOptions.mDaemons; ++i) {
      AddVm(i);
    }
    const auto readers = SelectReaders(mList, "zone-0", 2);
    for (const vm_spec& vm : mList.mVms) {
      const bool reads = std::find(readers.begin(), readers.end(), vm.mName) != readers.end();
      if (mSelf.empty() &&
          (mOptions.mReader ? vm.mZone == "zone-0" && reads : vm.mZone != "zone-0" || !reads)) {
        mSelf = vm.mName;
        mZone = vm.mZone;
        mAddress = vm.mAddress;
      }
    }
    if (!mOptions.mReader && mOptions.mDaemons < 2 * kZones + 1) {
      mZone = "zone-0"; // in a fleet this small every VM is a reader
    }
    mList.mRevision = 1;
    BuildPoolsText();
    mHeapBefore = HeapMb();
    core_config config;
    config.mVm = mSelf;
    config.mIncarnation = "i1";
    config.mZone = mZone;
    config.mAddress = mAddress;
    config.mSeeds = { mList.mVms.begin(), mList.mVms.begin() + 5 };
    config.mLogDecisions = false;
    mCore = std::make_unique<core>(config, RecordSearch(record_search_hooks{}), 64);
  }

  void Run()
  {
    RunFor(seconds(15)); // covers the start, the first VM lists and the take delay
    FindPermits();
    RunFor(seconds(5));
    const double warmHeap = HeapMb() - mHeapBefore;
    ResetCounts();
    RunFor(seconds(mOptions.mSeconds));
    const double steadyCpuPercent = mCpuMs / (10.0 * std::max(1U, mOptions.mSeconds));
    const auto out = mOut;
    const auto in = mIn;
    const auto reads = mReadCount;
    double first = 0;
    double last = 0;
    for (std::uint32_t i = 0; i < mOptions.mListChanges; ++i) {
      ResetCounts();
      ReplaceVm(i);
      RunFor(kListChange);
      last = mCpuMs - steadyCpuPercent * 10.0 * 41;
      first = i == 0 ? last : first;
    }
    double pools = 0;
    if (mOptions.mListChanges > 0) {
      ResetCounts();
      ++mPoolsRevision;
      RunFor(seconds(10));
      pools = mCpuMs - steadyCpuPercent * 10.0 * 10;
    }
    const double span = std::max(1U, mOptions.mSeconds);
    std::printf("%4u daemons %5u replicas %-7s cpu %7.3f%% list-change first %8.1f last %8.1f ms "
                "pools-change %8.1f ms heap %6.2f MB after changes %6.2f MB reads/s %.2f "
                "pools text %zu B vm text %zu B leads %zu holds %zu\n",
                mOptions.mDaemons,
                mReplicas,
                mOptions.mReader ? "reader" : "member",
                steadyCpuPercent,
                first,
                last,
                pools,
                warmHeap,
                HeapMb() - mHeapBefore,
                static_cast<double>(reads) / span,
                TableText(table_kind::Pools).size(),
                TableText(table_kind::Vms).size(),
                mLedServers.size(),
                mHeldServers.size());
    Print("out", out, span);
    Print("in", in, span);
    std::fflush(stdout);
  }

private:
  using counts = std::array<traffic, kMessageNames.size()>;

  static void Print(const char* aName, const counts& aCounts, double aSpan)
  {
    std::printf("  %-3s", aName);
    double bytes = 0;
    for (std::size_t i = 0; i < kMessageNames.size(); ++i) {
      if (aCounts[i].mMessages > 0) {
        std::printf(" %s %.2f/s %.0f B/s,",
                    kMessageNames[i],
                    static_cast<double>(aCounts[i].mMessages) / aSpan,
                    static_cast<double>(aCounts[i].mBytes) / aSpan);
        bytes += static_cast<double>(aCounts[i].mBytes) / aSpan;
      }
    }
    std::printf(" total %.0f B/s\n", bytes);
  }

  void AddVm(std::uint32_t aNumber)
  {
    std::string name = std::to_string(aNumber);
    name = "vm-" + std::string(4 - std::min<std::size_t>(4, name.size()), '0') + name;
    const std::string address =
      "127.0." + std::to_string(aNumber / 250) + "." + std::to_string(aNumber % 250 + 1);
    mList.mVms.push_back({ name,
                           address + ":7000",
                           address + ":7001",
                           "zone-" + std::to_string(aNumber % kZones),
                           vm_state::Live });
  }

  void ReplaceVm(std::uint32_t aIndex)
  {
    // Replaces VMs from the end of the list, which keeps the daemon under test and the readers that
    // it pulls from.
    std::size_t at = mList.mVms.size() - 1 - aIndex;
    if (mList.mVms[at].mName == mSelf) {
      at = 0;
    }
    vm_spec vm = mList.mVms[at];
    mList.mVms.erase(mList.mVms.begin() + static_cast<std::ptrdiff_t>(at));
    vm.mName = "vm-x" + std::to_string(aIndex);
    vm.mAddress = "127.1.0." + std::to_string(aIndex + 1) + ":7000";
    mList.mVms.push_back(vm);
    ++mList.mRevision.mNumber;
  }

  // Pools of 53 shards with 2 replicas each, because at the target size a query goes to 53
  // replicas.
  void BuildPoolsText()
  {
    std::ostringstream text;
    const std::uint32_t pools = std::max(1U, mReplicas / 106);
    const std::uint32_t shards = mReplicas / pools / 2;
    for (std::uint32_t p = 0; p < pools; ++p) {
      text << "  - name: pool-" << p
           << "\n    slots: 3\n    connections: 30\n    connect_ms: 6\n    shards:\n";
      for (std::uint32_t s = 0; s < shards; ++s) {
        text << "      - name: shard-" << p << "-" << s << "\n        ranges: {1: [["
             << s * 4096 / shards << ", " << (s + 1) * 4096 / shards << "]]}\n        servers:\n";
        for (std::uint32_t r = 0; r < 2; ++r) {
          text << "          - {name: s-" << p << "-" << s << "-" << r << ", zone: zone-"
               << (s + 5 * r) % kZones << ", address: \"127.2." << p << "." << s * 2 + r + 1
               << ":9000\", draining: false}\n";
        }
      }
    }
    mPools = text.str();
  }

  std::string TableText(table_kind aKind) const
  {
    std::ostringstream text;
    if (aKind == table_kind::Vms) {
      text << "revision: " << mList.mRevision.mNumber << "\nvms:\n";
      for (const vm_spec& vm : mList.mVms) {
        text << "  - {name: " << vm.mName << ", zone: " << vm.mZone << ", address: \""
             << vm.mAddress << "\", call_address: \"" << vm.mCallAddress << "\", state: live}\n";
      }
    } else if (aKind == table_kind::Pools) {
      text << "revision: " << mPoolsRevision << "\nclosed_zones: []\npools:\n" << mPools;
    } else {
      text << "revision: 1\nroutes:\n  - {name: search, pools: [pool-0], deadline_ms: 1000}\n";
    }
    return text.str();
  }

  std::uint64_t Revision(table_kind aKind) const
  {
    return aKind == table_kind::Vms     ? mList.mRevision.mNumber
           : aKind == table_kind::Pools ? mPoolsRevision
                                        : 1;
  }

  void ResetCounts()
  {
    mOut = {};
    mIn = {};
    mReadCount = 0;
    mCpuMs = 0;
  }

  void FindPermits()
  {
    for (const auto& [key, held] : mCore->Board().List<server_permits>()) {
      for (const permit& each : held->mPermits) {
        if (each.mHolder == mSelf) {
          (each.mIndex == 0 ? mLedServers : mHeldServers)[key] = *held;
        }
      }
    }
  }

  // Encodes a message from a peer; its decoding counts as the daemon's work.
  void Receive(const std::string& aFrom, const peer_message& aMessage)
  {
    const std::string body = AssembleEnvelope(aFrom, "i1", { EncodeMessage(aMessage) });
    mIn[aMessage.index()].mMessages += 1;
    mIn[aMessage.index()].mBytes += body.size();
    const double start = CpuMs();
    const auto envelope = DecodeEnvelope(body);
    for (const peer_message& each : envelope->mMessages) {
      mCore->Post(peer_message_received{ aFrom, "i1", each });
    }
    mCpuMs += CpuMs() - start;
  }

  const std::string& PeerName(std::uint64_t aNumber) const
  {
    const auto& vms = mList.mVms;
    const std::size_t at = aNumber % vms.size();
    return vms[at].mName == mSelf ? vms[(at + 1) % vms.size()].mName : vms[at].mName;
  }

  view_entry EntryOf(const std::string& aVm, micros aAge) const
  {
    return { aVm, "i1", mList.mRevision, 1, mPoolsRevision, false, aAge };
  }

  server_stage_message StageMessage(const std::string& aServer, bool aLeads) const
  {
    return { aServer, "s1", 2, aLeads, false, { { 1, 1 } }, milliseconds(20), false };
  }

  // Sends the periodic messages of the other daemons, at their average rates over the fleet.
  void SendPeerMessages()
  {
    const std::int64_t step = mNow.time_since_epoch() / kStep;
    if (step % 50 == 0) {
      for (int i = 0; i < 3; ++i) {
        view_message view;
        for (int entry = 0; entry < 9; ++entry) {
          view.mEntries.push_back(
            EntryOf(PeerName(mNextPeer + static_cast<std::uint64_t>(entry) * 37),
                    milliseconds(entry * 900)));
        }
        Receive(PeerName(mNextPeer), view);
        mNextPeer += 101;
      }
      for (const auto& [server, held] : mLedServers) {
        for (const permit& each : held.mPermits) {
          if (each.mHolder != mSelf) {
            Receive(each.mHolder, StageMessage(server, false));
          }
        }
      }
      for (const auto& [server, held] : mHeldServers) {
        if (held.mPermits[0].mHolder != mSelf) {
          Receive(held.mPermits[0].mHolder, StageMessage(server, true));
        }
      }
    }
    if (step % 100 == 20) {
      const std::size_t witnessOf = std::min<std::size_t>(8, mList.mVms.size() - 1);
      for (std::size_t i = 0; i < witnessOf; ++i) {
        Receive(PeerName(i * 13 + 5),
                probe_message{ mNow.time_since_epoch().count(), mList.mRevision });
      }
      if (mOptions.mReader) {
        const std::size_t zone = mList.mVms.size() / kZones;
        for (std::size_t i = 0; zone > 2 && i < (zone - 2) / 2; ++i) {
          Receive(PeerName(i * kZones), table_pull_message{ 1, mPoolsRevision, mList.mRevision });
        }
      }
    }
  }

  void AnswerPeer(const send_to_peer& aSend)
  {
    if (const auto* probe = std::get_if<probe_message>(&aSend.mMessage)) {
      Receive(aSend.mVm,
              probe_reply_message{ probe->mSentAt, mList.mRevision, true, seconds(3600), false });
    } else if (const auto* pull = std::get_if<table_pull_message>(&aSend.mMessage)) {
      if (pull->mRoutesRevision < 1) {
        Receive(aSend.mVm,
                table_message{
                  table_kind::Routes, 1, TableText(table_kind::Routes), {}, true, mPoolsRevision });
      }
      if (pull->mPoolsRevision < mPoolsRevision) {
        Receive(aSend.mVm,
                table_message{
                  table_kind::Pools, mPoolsRevision, TableText(table_kind::Pools), {}, true, 1 });
      }
      const bool newer = pull->mVmRevision < mList.mRevision;
      Receive(aSend.mVm,
              table_message{ table_kind::Vms,
                             mList.mRevision,
                             newer ? TableText(table_kind::Vms) : "",
                             micros(0),
                             false,
                             0 });
    }
  }

  void Execute(const command& aCommand)
  {
    if (const auto* sent = std::get_if<send_to_peer>(&aCommand)) {
      const double start = CpuMs();
      const std::string body = AssembleEnvelope(mSelf, "i1", { EncodeMessage(sent->mMessage) });
      mCpuMs += CpuMs() - start;
      mOut[sent->mMessage.index()].mMessages += 1;
      mOut[sent->mMessage.index()].mBytes += body.size();
      AnswerPeer(*sent);
    } else if (const auto* read = std::get_if<read_table>(&aCommand)) {
      ++mReadCount;
      mWatches.push_back({ *read, mNow });
    }
  }

  void AnswerReads()
  {
    auto waiting = std::move(mWatches);
    mWatches.clear();
    for (const auto& [read, since] : waiting) {
      const bool changed = read.mWait == micros(0) || Revision(read.mKind) > read.mAfter;
      if (!changed && mNow - since < read.mWait) {
        mWatches.push_back({ read, since });
        continue;
      }
      const double start = CpuMs();
      if (changed) {
        mCore->Post(table_read{ read.mKind, Revision(read.mKind), TableText(read.mKind), since });
      } else {
        mCore->Post(table_unchanged{ read.mKind, Revision(read.mKind), since });
      }
      mCpuMs += CpuMs() - start;
    }
  }

  void RunFor(micros aSpan)
  {
    const instant end = mNow + aSpan;
    while (mNow < end) {
      mNow += kStep;
      const double start = CpuMs();
      mCore->Advance(mNow);
      mCpuMs += CpuMs() - start;
      SendPeerMessages();
      AnswerReads();
      for (int round = 0; round < 4; ++round) {
        const double work = CpuMs();
        mCore->RunUntilIdle();
        const auto commands = mCore->TakeCommands();
        mCpuMs += CpuMs() - work;
        if (commands.empty()) {
          break;
        }
        for (const command& each : commands) {
          Execute(each);
        }
      }
    }
  }

  run_options mOptions;
  std::uint32_t mReplicas;
  vm_list mList;
  std::uint64_t mPoolsRevision = 1;
  std::string mPools;
  std::string mSelf;
  std::string mZone;
  std::string mAddress;
  std::unique_ptr<core> mCore;
  instant mNow{ seconds(1) };
  std::map<std::string, server_permits> mLedServers;  // of which the daemon holds permit 0
  std::map<std::string, server_permits> mHeldServers; // of which it holds another permit
  std::vector<std::pair<read_table, instant>> mWatches;
  std::uint64_t mNextPeer = 1;
  counts mOut{};
  counts mIn{};
  std::uint64_t mReadCount = 0;
  double mCpuMs = 0; // processor time of the daemon's work since ResetCounts
  double mHeapBefore = 0;
};

// Prints the heap used by finished request keys, each with an answer of one record.
void MeasureRequestKeys()
{
  for (const std::size_t keys : { 10000U, 20000U, 40000U }) {
    const double before = HeapMb();
    blackboard board(64);
    for (std::size_t i = 0; i < keys; ++i) {
      key_record done;
      done.mPhase = key_phase::Done;
      done.mQuery = i;
      done.mAnswer.mRecords = { record{ "grant-" + std::to_string(i),
                                        { { "office", "xela" }, { "state", "submitted" } } } };
      board.Write(KeyRecordKey("vm-0001.5f2c8a11.desk-7-" + std::to_string(i)), std::move(done));
    }
    std::printf("%zu keys: %.2f MB, %.0f B per key\n",
                keys,
                HeapMb() - before,
                (HeapMb() - before) * 1e6 / static_cast<double>(keys));
  }
}

} // namespace
} // namespace redwingdock

int main(int aCount, char** aArguments)
{
  if (aCount == 2) {
    redwingdock::MeasureRequestKeys();
    return 0;
  }
  if (aCount >= 4) {
    redwingdock::daemon_simulation({ static_cast<std::uint32_t>(std::atoi(aArguments[1])),
                                     static_cast<std::uint32_t>(std::atoi(aArguments[2])),
                                     static_cast<std::uint32_t>(std::atoi(aArguments[3])),
                                     aCount > 4 })
      .Run();
    return 0;
  }
  for (const bool reader : { false, true }) {
    for (const std::uint32_t daemons : { 45U, 90U, 180U, 355U, 710U }) {
      redwingdock::daemon_simulation({ daemons, 20, 3, reader }).Run();
    }
  }
  return 0;
}
