#include <iostream>

#include "bench/fleet.h"

int main() {
  hemlockward::bench::RunFleetBench(std::cout);
  return 0;
}
