#pragma once

#include <iosfwd>

/// @file
/// The command line of cicadactl.

namespace cicadalb {

/// @brief Parses the arguments, runs the command and prints what it found. @return the exit code
int runCommandLine(int argumentCount, const char* const* arguments, std::ostream& output, std::ostream& errors);

} // namespace cicadalb
