/* The program lemonspar: runs the command line of the library. */
#include "cli/cli.h"

int main(int argc, char **argv)
{
    return lmn_cli_main(argc, argv);
}
