/** @file
 * The administration client: `lemonspar admin ADDRESS COMMAND`. Its output is read by
 * operators' scripts. */
#ifndef LMN_CONTROLLER_ADMIN_CLIENT_H
#define LMN_CONTROLLER_ADMIN_CLIENT_H

/** Runs a command on the controller with the given internal address, and prints the
 * result.
 * @param argc at least 1
 * @param argv the command and its arguments
 * @return the exit status: 0: success; 1: command refused, or controller unreachable; 2:
 *     invalid command or arguments */
int lmn_admin_main(const char *address, int argc, char **argv);

#endif
