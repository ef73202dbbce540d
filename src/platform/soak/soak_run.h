#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_RUN_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_RUN_H

#include "platform/soak/soak_addresses.h"
#include "platform/soak/soak_configuration.h"
#include "platform/soak/soak_replicas.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

// One seed of the soak: a deployment of real daemons, its clients and its plan.

namespace redwingdock::platform {

struct soak_place
{
  std::string mProgram; // path of redwingdock_edge
  std::string mFolder;  // of settings and logs
  std::string mNetwork; // first three numbers of the loopback addresses

  auto operator<=>(const soak_place&) const = default;
};

class soak_run
{
public:
  soak_run(const soak_plan& aPlan, const soak_place& aPlace);
  ~soak_run();
  soak_run(const soak_run&) = delete;
  soak_run& operator=(const soak_run&) = delete;

  // Without a value when the deployment did not start or the run was interrupted.
  std::optional<soak_result> Run();
  bool WasInterrupted() const { return mInterrupted; }

private:
  bool WaitUntil(micros aLongest, const std::function<bool()>& aCondition);
  void PublishConfiguration(const std::function<void(configuration_state&)>& aChange);
  change_ledger Written();
  void OnStart(std::size_t aDaemon, std::size_t aEarlierStarts);
  void Apply(const soak_event& aEvent);
  void StartClients();
  std::uint64_t Random(std::uint64_t aBound);
  std::optional<soak_target> ChooseTarget(const soak_client_profile& aProfile);
  soak_request MakeRequest(std::size_t aBodyBytes);

  const soak_plan& mPlan;
  io_loop mLoop;
  soak_store mStore;
  const std::string mStoreAddress;
  soak_replicas mReplicas;
  soak_daemons mDaemons;
  address_lists mLists;
  std::vector<std::shared_ptr<soak_client>> mClients;
  std::atomic<std::uint64_t> mRequests{ 0 };
  std::atomic<bool> mInterrupted{ false }; // by SIGINT or SIGTERM; the daemons are to be killed
  std::mutex mConfigurationLock;
  configuration_state mConfiguration;
  std::map<std::uint64_t, version_routes> mVersions;
  std::mutex mRandomLock;
  std::mt19937_64 mRandom;
  std::mutex mRecordsLock;
  std::vector<request_record> mRecords;
};

} // namespace redwingdock::platform

#endif
