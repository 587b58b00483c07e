// Boost.URL is used without its library: its sources are compiled in this one file.
#include <boost/url/src.hpp>
