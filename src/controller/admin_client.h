/** @file
 * The administration client: `lemonspar admin ADDRESS COMMAND`. Its output is read by
 * operators' scripts. */
#ifndef LMN_CONTROLLER_ADMIN_CLIENT_H
#define LMN_CONTROLLER_ADMIN_CLIENT_H

/** Runs a command at the controller with that internal address, and prints the outcome.
 * @param argv the command and its arguments
 * @return the process's exit status: 0; 1 refused or unreachable; 2 wrong arguments */
int lmn_admin_main(const char *address, int argc, char **argv);

#endif
