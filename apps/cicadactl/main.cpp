#include "CommandLine.h"

#include <iostream>

int main(int argc, char** argv)
{
    return cicadalb::runCommandLine(argc, argv, std::cout, std::cerr);
}
