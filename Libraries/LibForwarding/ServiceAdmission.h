// What a router remembers of one service's requests in order to admit or refuse the next ones.

#pragma once

#include <LibForwarding/RequestRank.h>
#include <LibForwarding/RetryAfterPlanner.h>

#include <absl/container/node_hash_map.h>

namespace Wisteria {

struct ServiceAdmission
{
    RankedDemand demand;
    RetryAfterPlanner returns;
};

using ServiceAdmissions = absl::node_hash_map<ServiceName, ServiceAdmission>;

} // namespace Wisteria
