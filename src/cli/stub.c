#include "cli/cli.h"
int lmn_cmd_fleet(int argc, char **argv){(void)argc;(void)argv;return 1;}
#include "cli/cli.h"
int lmn_cmd_worker(int argc, char **argv){(void)argc;(void)argv;return 1;}
#include "cli/cli.h"
int lmn_cmd_site(int argc, char **argv){(void)argc;(void)argv;return 1;}
#include "cli/cli.h"
int lmn_cmd_job(int argc, char **argv){(void)argc;(void)argv;return 1;}
#include "cli/cli.h"
int lmn_cmd_image(int argc, char **argv){(void)argc;(void)argv;return 1;}
