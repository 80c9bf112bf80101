/* What a controller tells an operator of itself. */
#ifndef LMN_CONTROLLER_STATUS_H
#define LMN_CONTROLLER_STATUS_H

#include "state/core_state.h"

/* Lines of text; to be freed with g_free. Takes the lock. */
char *lmn_status_report(struct lmn_core *core);

#endif
