// Boost.URL is header-only here: its sources are compiled once.
#include <boost/url/src.hpp>
