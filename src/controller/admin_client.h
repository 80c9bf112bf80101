/* The administration client. */
#ifndef LMN_CONTROLLER_ADMIN_CLIENT_H
#define LMN_CONTROLLER_ADMIN_CLIENT_H

/* Speaks to the controller at addr (its internal_addr); returns the process's exit
 * status: 0, 1 refused or unreachable, 2 wrong arguments. */
int lmn_admin_main(const char *addr, int argc, char **argv);

#endif
