#pragma once

#include <iosfwd>

/// @file
/// The command line of cicadactl.

namespace cicadalb {

/// @brief Parses the arguments, runs the selected command and prints its outcome. @return the exit code, see ExitCode
int runCommandLine(int argumentCount, const char* const* arguments, std::ostream& output, std::ostream& errors);

} // namespace cicadalb
