/** @file
 * The controller process: its start, its threads and its periodic tasks. */
#ifndef LMN_CONTROLLER_CONTROLLER_H
#define LMN_CONTROLLER_CONTROLLER_H

#include "config/settings.h"

/** Runs a controller until a signal or a graceful shutdown ends the process.
 * @param settings must not change while the process runs
 * @return 1 if the controller could not start; otherwise does not return */
int lmn_controller_run(const struct lmn_settings *settings);

#endif
