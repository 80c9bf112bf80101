/** @file
 * Reports for operators on this controller's view of each member. */
#ifndef LMN_CONTROLLER_MEMBERS_REPORT_H
#define LMN_CONTROLLER_MEMBERS_REPORT_H

#include "state/core_state.h"

/** Describes all members. Takes the core's lock.
 * @param as_json true: one JSON object; false: a line for each member
 * @return text, to be freed with g_free */
char *lmn_members_report(struct lmn_core *core, bool as_json);
/** Appends the metrics of the membership. Called with the core's lock held. */
void lmn_members_metrics(const struct lmn_core *core, GString *out);

#endif
