// Arithmetic is the same on each kind of machine, so that a seed of the simulator plays the same
// everywhere and two daemons score a placement alike.
#include <catch2/catch.hpp>

TEST_CASE("arithmetic: a product is rounded before it is added to") {
  const volatile double factor = 1 + 0x1p-27;
  const volatile double rounded = 1 + 0x1p-26;
  // The square is 1 + 2^-26 + 2^-54, whose last term is lost by rounding.
  CHECK(factor * factor - rounded == 0);
}

TEST_CASE("arithmetic: no excess precision is kept between operations") {
  const volatile double large = 0x1p53;
  const volatile double one = 1;
  CHECK((large + one) - large == 0);
}
