#include <iostream>

#include "bench/fleet.h"
#include "bench/requests.h"

int main() {
  const std::uint64_t requests = hemlockward::bench::RunRequestBench(std::cout);
  std::cout << "Requests: " << requests << '\n';
  const std::uint64_t fleet = hemlockward::bench::RunFleetBench(std::cout);
  std::cout << "Fleet: " << fleet << '\n';
  std::cout << "Bench: " << requests * 31 + fleet << '\n';
  return 0;
}
