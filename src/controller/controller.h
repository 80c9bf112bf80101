/** @file
 * The controller process: its start, its threads and its periodic tasks. */
#ifndef LMN_CONTROLLER_CONTROLLER_H
#define LMN_CONTROLLER_CONTROLLER_H

#include "config/settings.h"

/** Runs a controller until the process is ended, by a signal or a graceful shutdown.
 * @param settings must stay as they are while the process lives
 * @return only if it could not start: 1 */
int lmn_controller_run(const struct lmn_settings *settings);

#endif
