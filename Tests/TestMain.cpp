// Defines main() for each Boost.Test program.
#define BOOST_TEST_MODULE Stagepost
#include <boost/test/unit_test.hpp>
