/* The whole service: what the program runs. */
#ifndef LMN_CONTROLLER_CONTROLLER_H
#define LMN_CONTROLLER_CONTROLLER_H

#include "config/settings.h"

/* Runs until the process is ended; returns only if it could not start. */
int lmn_controller_run(const struct lmn_settings *settings);

#endif
