#include "assembly/record_search.h"
#include "core/core.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kQuery = 5;

// A daemon of the VM vm-1 that reaches the daemon of vm-2, the home of a request key.
class entry_process
{
public:
  explicit entry_process(const std::string& aIncarnation)
    : mCore(ConfigOf(aIncarnation), RecordSearch({}))
  {
    mCore.Advance(instant(seconds(100)));
    mCore.RunUntilIdle();
    for (const table_message& each :
         { table_message{ table_kind::Routes, 1, kRoutes, std::nullopt, true, 1 },
           table_message{ table_kind::Pools, 1, kPools, std::nullopt, true, 1 } }) {
      mCore.Post(peer_message_received{ "vm-2", "i1", each });
    }
    mCore.Post(peer_connection_changed{ "vm-2", true });
    mCore.RunUntilIdle();
    mCore.TakeCommands();
  }

  // Posts a submit with the number kQuery, which this process forwards to vm-2. Returns the number
  // of the message.
  std::optional<std::uint64_t> Forward(const std::string& aUnique)
  {
    query_request request;
    request.mRoute = "submit";
    request.mFilter["id"] = aUnique;
    request.mRequestKey = "vm-2.i1." + aUnique;
    mCore.Post(query_arrived{ kQuery, request });
    for (const command& each : Commands()) {
      const auto* sent = std::get_if<send_to_peer>(&each);
      if (sent != nullptr && std::holds_alternative<forward_query_message>(sent->mMessage)) {
        return std::get<forward_query_message>(sent->mMessage).mNumber;
      }
    }
    return std::nullopt;
  }

  // Delivers an answer of aVm to a forwarded query. Returns the outcome that the caller gets.
  std::optional<outcome> AnswerFrom(const std::string& aVm, std::uint64_t aNumber)
  {
    query_answer answer;
    answer.mOutcome = outcome::Complete;
    mCore.Post(peer_message_received{ aVm, "i1", query_answer_message{ aNumber, answer } });
    for (const command& each : Commands()) {
      if (const auto* sent = std::get_if<answer_query>(&each)) {
        return sent->mAnswer.mOutcome;
      }
    }
    return std::nullopt;
  }

private:
  static constexpr char kRoutes[] = "revision: 1\n"
                                    "routes:\n"
                                    "  - {name: submit, pools: [main], operation: submit}\n";
  static constexpr char kPools[] =
    "revision: 1\n"
    "pools:\n"
    "  - name: main\n"
    "    slots: 2\n"
    "    connections: 20\n"
    "    shards:\n"
    "      - name: s0\n"
    "        ranges: {1: [[0, 4096]]}\n"
    "        servers: [{name: s0a, zone: z, address: \"127.0.0.1:9001\"}]\n";

  static core_config ConfigOf(const std::string& aIncarnation)
  {
    core_config config;
    config.mVm = "vm-1";
    config.mIncarnation = aIncarnation;
    config.mZone = "z";
    config.mSeeds = { { "vm-2", "127.0.0.1:7102", "127.0.0.1:7002", "z", vm_state::Live } };
    return config;
  }

  std::vector<command> Commands()
  {
    mCore.RunUntilIdle();
    return mCore.TakeCommands();
  }

  core mCore;
};

struct forwarded_answer_row
{
  const char* mGuardsAgainst;
  const char* mForwardedBy; // incarnation of vm-1 that forwarded the query of the answer
  const char* mAnsweredBy;
  bool mDelivered;
};

class forwarded_answer_test : public testing::TestWithParam<forwarded_answer_row>
{};

TEST_P(forwarded_answer_test, BelongsToTheQuery)
{
  const forwarded_answer_row& row = GetParam();
  entry_process current("i2");
  const std::optional<std::uint64_t> own = current.Forward("new");
  ASSERT_TRUE(own.has_value());
  const std::optional<std::uint64_t> forwarded =
    std::string(row.mForwardedBy) == "i2" ? own : entry_process(row.mForwardedBy).Forward("old");
  ASSERT_TRUE(forwarded.has_value());
  EXPECT_EQ(current.AnswerFrom(row.mAnsweredBy, *forwarded).has_value(), row.mDelivered)
    << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  forwarded_answer_test,
  testing::Values(
    forwarded_answer_row{ "the answer of the home of the key does not reach the caller",
                          "i2",
                          "vm-2",
                          true },
    forwarded_answer_row{ "a caller gets the answer to a query of the process before a restart",
                          "i1",
                          "vm-2",
                          false },
    forwarded_answer_row{ "a caller gets an answer of a daemon that was not asked",
                          "i2",
                          "vm-3",
                          false }));

} // namespace
} // namespace redwingdock
