#include "gateway/handover.h"

#include <glib.h>
#include <string.h>

static bool handed_over(const struct lmn_origin_record *h)
{
    return h->state == LMN_ORIGIN_OFFERED || h->state == LMN_ORIGIN_REMOTE;
}

bool lmn_origin_is_at(const struct lmn_origin_record *h, const char *site)
{
    return handed_over(h) && !strcmp(h->site, site);
}

bool lmn_origin_offer(struct lmn_origin_record *h, const char *site, uint64_t incarnation,
                      uint32_t most)
{
    if (h->state != LMN_ORIGIN_QUEUED || h->cancel_requested || h->is_revoked ||
        h->transfers >= most)
        return false;
    h->state = LMN_ORIGIN_OFFERED;
    h->epoch++;
    h->transfers++;
    g_strlcpy(h->site, site, sizeof h->site);
    h->incarnation = incarnation;
    return true;
}

bool lmn_origin_run_locally(struct lmn_origin_record *h)
{
    if (h->state != LMN_ORIGIN_QUEUED || h->cancel_requested)
        return false;
    h->state = LMN_ORIGIN_LOCAL;
    h->epoch++;
    return true;
}

static bool end(struct lmn_origin_record *h, enum lmn_handover_outcome outcome)
{
    h->state = LMN_ORIGIN_FINAL;
    h->outcome = outcome;
    return true;
}

/* Back in the queue; or withdrawn, if that is what its user waits for: nothing of it
 * runs. */
static bool come_back(struct lmn_origin_record *h)
{
    if (h->cancel_requested)
        return end(h, LMN_OUTCOME_CANCELLED);
    h->state = LMN_ORIGIN_QUEUED;
    h->site[0] = '\0';
    return true;
}

bool lmn_origin_local_finished(struct lmn_origin_record *h,
                               enum lmn_handover_outcome outcome)
{
    if (h->state != LMN_ORIGIN_LOCAL)
        return false;
    return outcome == LMN_OUTCOME_RETURNED ? come_back(h) : end(h, outcome);
}

bool lmn_origin_handle_answer(struct lmn_origin_record *h, const char *site,
                              uint64_t incarnation, uint64_t epoch,
                              enum lmn_handover_answer answer,
                              enum lmn_handover_outcome outcome, bool *heard)
{
    *heard = false;
    if (!lmn_origin_is_at(h, site) || epoch != h->epoch) {
        /* Of an epoch that is past: it changes nothing, and the host may forget it. */
        *heard = h->state != LMN_ORIGIN_FENCED && epoch <= h->epoch;
        return false;
    }
    if (incarnation != h->incarnation) {
        /* It has forgotten what it did since its backup: whether it ran the job nobody
         * knows. */
        h->state = LMN_ORIGIN_FENCED;
        return true;
    }
    switch (answer) {
    case LMN_HANDOVER_ACCEPTED:
        if (h->state == LMN_ORIGIN_REMOTE)
            return false;
        h->state = LMN_ORIGIN_REMOTE;
        return true;
    case LMN_HANDOVER_REJECTED:
        /* Only an offer can be refused; what was accepted once ends in an outcome. */
        if (h->state != LMN_ORIGIN_OFFERED)
            return false;
        *heard = true;
        return come_back(h);
    default:
        *heard = true;
        return outcome == LMN_OUTCOME_RETURNED ? come_back(h) : end(h, outcome);
    }
}

bool lmn_origin_cancel(struct lmn_origin_record *h)
{
    if (h->state == LMN_ORIGIN_FINAL || h->cancel_requested)
        return false;
    h->cancel_requested = true;
    if (h->state == LMN_ORIGIN_QUEUED)
        end(h, LMN_OUTCOME_CANCELLED);
    return true;
}

bool lmn_origin_revoke(struct lmn_origin_record *h)
{
    if (h->state == LMN_ORIGIN_FINAL || h->state == LMN_ORIGIN_FENCED || h->is_revoked)
        return false;
    h->is_revoked = true;
    return true;
}

bool lmn_origin_conclude(struct lmn_origin_record *h, bool may_run_again)
{
    if (!handed_over(h))
        return false;
    if (!h->cancel_requested && !may_run_again)
        return false;
    return come_back(h);
}

bool lmn_origin_restored(struct lmn_origin_record *h)
{
    if (h->state == LMN_ORIGIN_FINAL || h->state == LMN_ORIGIN_FENCED)
        return false;
    h->state = LMN_ORIGIN_FENCED;
    return true;
}

bool lmn_origin_unfence(struct lmn_origin_record *h)
{
    return h->state == LMN_ORIGIN_FENCED && come_back(h);
}

static void tell(const struct lmn_execution_record *f, enum lmn_handover_answer *answer)
{
    *answer =
        f->state == LMN_EXECUTION_RUNNING ? LMN_HANDOVER_ACCEPTED : LMN_HANDOVER_FINISHED;
}

bool lmn_execution_handle_offer(struct lmn_execution_record *f, uint64_t epoch, bool ours,
                                bool room, enum lmn_handover_answer *answer, bool *old)
{
    uint64_t known = MAX(f->min_epoch, f->state == LMN_EXECUTION_NONE ? 0 : f->epoch);

    *old = ours && epoch < known;
    *answer = LMN_HANDOVER_REJECTED;
    if (*old || !ours)
        return false;
    if (epoch == known) {
        if (f->state != LMN_EXECUTION_NONE && f->epoch == epoch)
            tell(f, answer);
        return false;
    }
    /* A newer one: the home has an end of the older. One that still runs here contradicts
     * that. */
    if (f->state == LMN_EXECUTION_RUNNING || !room) {
        f->min_epoch = epoch;
        return true;
    }
    *f = (struct lmn_execution_record){
        .state = LMN_EXECUTION_RUNNING, .epoch = epoch, .min_epoch = f->min_epoch};
    *answer = LMN_HANDOVER_ACCEPTED;
    return true;
}

bool lmn_execution_resolve(struct lmn_execution_record *f, uint64_t epoch, bool ours,
                           enum lmn_handover_answer *answer, bool *old)
{
    /* As an offer for which there is no room: what is not known is refused for good. */
    return lmn_execution_handle_offer(f, epoch, ours, false, answer, old);
}

bool lmn_execution_restored(struct lmn_execution_record *f)
{
    if (f->state == LMN_EXECUTION_NONE)
        return false;
    f->min_epoch = MAX(f->min_epoch, f->epoch);
    f->state = LMN_EXECUTION_NONE;
    return true;
}

bool lmn_execution_finished(struct lmn_execution_record *f,
                            enum lmn_handover_outcome outcome)
{
    if (f->state != LMN_EXECUTION_RUNNING)
        return false;
    f->state = LMN_EXECUTION_FINISHED;
    f->outcome = outcome;
    return true;
}

bool lmn_execution_cancel(struct lmn_execution_record *f, uint64_t epoch)
{
    if (f->state != LMN_EXECUTION_RUNNING || f->epoch != epoch || f->cancel_requested)
        return false;
    f->cancel_requested = true;
    return true;
}

bool lmn_execution_acknowledged(struct lmn_execution_record *f, uint64_t epoch)
{
    if (f->state != LMN_EXECUTION_FINISHED || f->epoch != epoch || f->is_acknowledged)
        return false;
    f->is_acknowledged = true;
    return true;
}
