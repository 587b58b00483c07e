#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <cstddef>

/// @file
/// Seeded random numbers. Boost.Random gives the same numbers for the same seed with every standard library.

namespace cicadalb {

using Random = boost::random::mt19937_64;

/// @brief A uniform index in [0, bound); @p bound is at least 1.
inline std::size_t randomIndex(Random& random, std::size_t bound)
{
    return boost::random::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// @brief A uniform number in [0, 1).
inline double randomUnit(Random& random)
{
    return boost::random::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace cicadalb
