#include "daemon/configuration_client.h"

#include <charconv>
#include <optional>
#include <utility>

namespace redwingdock {

namespace {

// Twice the largest table of 1 MB.
constexpr std::size_t kMaxTableBytes = std::size_t{ 2 } * 1024 * 1024;
// The service normally answers in milliseconds. For a watch, its wait is added.
constexpr micros kReplyTimeout = std::chrono::seconds(2);

std::optional<std::uint64_t> ParseRevision(const std::string& aText)
{
  std::uint64_t revision = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, revision);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return revision;
}

} // namespace

std::string TableRequestTarget(const read_table& aCommand)
{
  std::string target = aCommand.mKind == table_kind::Routes  ? "/v1/tables/routes"
                       : aCommand.mKind == table_kind::Pools ? "/v1/tables/pools"
                                                             : "/v1/vms";
  if (aCommand.mWait > micros(0)) {
    target += "?after=" + std::to_string(aCommand.mAfter) +
              "&wait_ms=" + std::to_string(ToMs(aCommand.mWait));
  }
  return target;
}

fact ToTableFact(const read_table& aCommand, instant aStartedAt, const result<http_message>& aReply)
{
  const auto failed = [&aCommand](std::string aText) {
    return table_read_failed{ aCommand.mKind,
                              { "read table", TableRequestTarget(aCommand), std::move(aText) } };
  };
  if (!aReply) {
    return failed(Describe(aReply.mReason));
  }
  if (aReply->mStatus != 200 && aReply->mStatus != 204) {
    return failed("status " + std::to_string(aReply->mStatus));
  }
  const std::string* field = aReply->Find("Table-Revision");
  const std::string header = field != nullptr ? *field : std::string();
  const std::optional<std::uint64_t> revision = ParseRevision(header);
  if (!revision) {
    return failed("header Table-Revision is \"" + header + "\", expected an unsigned integer");
  }
  if (aReply->mStatus == 204) {
    return table_unchanged{ aCommand.mKind, *revision, aStartedAt };
  }
  return table_read{ aCommand.mKind, *revision, aReply->mBody, aStartedAt };
}

configuration_client::configuration_client(io_loop& aLoop,
                                           std::vector<std::string> aAddresses,
                                           std::function<void(fact)> aPost)
  : mExchanges(aLoop)
  , mAddresses(std::move(aAddresses))
  , mPost(std::move(aPost))
{
}

void configuration_client::Read(const read_table& aCommand)
{
  if (mAddresses.empty()) {
    mPost(table_read_failed{ aCommand.mKind, { "read table", "", "no address is configured" } });
    return;
  }
  const std::size_t index = mCurrentAddress.load() % mAddresses.size();
  const instant startedAt = SteadyNow();
  http_exchange exchange;
  exchange.mAddress = mAddresses[index];
  exchange.mMethod = "GET";
  exchange.mTarget = TableRequestTarget(aCommand);
  exchange.mReplyLimit = kMaxTableBytes;
  exchange.mReplyTimeout = kReplyTimeout + aCommand.mWait;
  mExchanges.Start(
    exchange, [this, aCommand, index, startedAt](const result<http_message>& aReply) {
      if (!aReply) {
        std::size_t expected = index;
        mCurrentAddress.compare_exchange_strong(expected, (index + 1) % mAddresses.size());
      }
      mPost(ToTableFact(aCommand, startedAt, aReply));
    });
}

} // namespace redwingdock
