#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_REPLICAS_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_REPLICAS_H

#include "platform/soak/soak_plan.h"
#include "platform/soak/soak_store.h"
#include "platform/standin.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

// The replicas of all services of a soak, and what they do with requests.

namespace redwingdock::platform {

class soak_replicas
{
public:
  soak_replicas(io_loop& aLoop, const soak_plan& aPlan);

  // Opens the addresses of the replicas and publishes them.
  bool Listen(soak_store& aStore);
  void Publish(soak_store& aStore, std::size_t aReplica, bool aDraining);
  void Remove(soak_store& aStore, std::size_t aReplica);
  std::map<std::string, replica_place> Places() const; // by id
  std::vector<replica_run> Runs() const;

  // Whether the answer to an attempt is a reply of these replicas to it.
  bool IsReply(const std::string& aRoute,
               const std::string& aAttemptId,
               const http_message& aAnswer) const;

private:
  struct entry
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    std::unique_ptr<replica_standin> mReplica;
  };

  void Add(io_loop& aLoop, const std::string& aService, std::size_t aCount);
  replica_behaviour Choose(const std::string& aService,
                           const std::string& aReplica,
                           const http_message& aMessage) const;

  const soak_plan& mPlan;
  const std::string mBody;
  std::vector<entry> mReplicas;
};

} // namespace redwingdock::platform

#endif
