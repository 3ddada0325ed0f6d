#include "jobs/sharing.h"

#include <algorithm>
#include <numeric>

namespace hemlockward::jobs {

namespace {

// Max-min fair: raises the smallest shares first, each up to its need. Returns
// what is left.
int Fill(std::vector<int>& shares, std::span<const int> needs, int left) {
  while (left > 0) {
    int* smallest = nullptr;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      if (shares[i] >= needs[i]) continue;
      if (!smallest || shares[i] < *smallest) smallest = &shares[i];
    }
    if (!smallest) break;
    ++*smallest;
    --left;
  }
  return left;
}

}  // namespace

std::vector<int> ShareVms(std::span<const PoolNeed> pools, int total) {
  std::vector<int> shares(pools.size(), 0);
  std::vector<int> needs(pools.size(), 0);
  for (const auto member :
       {&PoolNeed::least, &PoolNeed::now, &PoolNeed::soon}) {
    std::transform(pools.begin(), pools.end(), needs.begin(),
                   [member](const PoolNeed& it) { return it.*member; });
    total = Fill(shares, needs, total);
  }
  return shares;
}

}  // namespace hemlockward::jobs
