#include "yuccascale/cli/command_line.hpp"

int main(int argc, char **argv)
{
    return yuccascale::cli::runCommandLine(argc, argv);
}
