#include "gateway/handover.h"

#include <glib.h>
#include <string.h>

static bool handed_over(const struct lmn_home *h)
{
    return h->state == LMN_H_OFFERED || h->state == LMN_H_AWAY;
}

bool lmn_home_is_at(const struct lmn_home *h, const char *site)
{
    return handed_over(h) && !strcmp(h->site, site);
}

bool lmn_home_offer(struct lmn_home *h, const char *site, uint64_t incarnation,
                    uint32_t most)
{
    if (h->state != LMN_H_QUEUED || h->cancel || h->recall || h->transfers >= most)
        return false;
    h->state = LMN_H_OFFERED;
    h->epoch++;
    h->transfers++;
    g_strlcpy(h->site, site, sizeof h->site);
    h->incarnation = incarnation;
    return true;
}

bool lmn_home_keep(struct lmn_home *h)
{
    if (h->state != LMN_H_QUEUED || h->cancel)
        return false;
    h->state = LMN_H_LOCAL;
    h->epoch++;
    return true;
}

static bool end(struct lmn_home *h, enum lmn_outcome_word outcome)
{
    h->state = LMN_H_FINAL;
    h->outcome = outcome;
    return true;
}

/* Back in the queue; or withdrawn, if that is what its user waits for: nothing of it
 * runs. */
static bool come_back(struct lmn_home *h)
{
    if (h->cancel)
        return end(h, LMN_O_WITHDRAWN);
    h->state = LMN_H_QUEUED;
    h->site[0] = '\0';
    return true;
}

bool lmn_home_kept_over(struct lmn_home *h, enum lmn_outcome_word outcome)
{
    if (h->state != LMN_H_LOCAL)
        return false;
    return outcome == LMN_O_RETURNED ? come_back(h) : end(h, outcome);
}

bool lmn_home_answer(struct lmn_home *h, const char *site, uint64_t incarnation,
                     uint64_t epoch, enum lmn_answer answer,
                     enum lmn_outcome_word outcome, bool *heard)
{
    *heard = false;
    if (!lmn_home_is_at(h, site) || epoch != h->epoch) {
        /* Of an epoch that is past: it changes nothing, and the host may forget it. */
        *heard = h->state != LMN_H_FENCED && epoch <= h->epoch;
        return false;
    }
    if (incarnation != h->incarnation) {
        /* It has forgotten what it did since its backup: whether it ran the job nobody
         * knows. */
        h->state = LMN_H_FENCED;
        return true;
    }
    switch (answer) {
    case LMN_A_ACCEPTED:
        if (h->state == LMN_H_AWAY)
            return false;
        h->state = LMN_H_AWAY;
        return true;
    case LMN_A_REFUSED:
        /* Only an offer can be refused; what was accepted once ends in an outcome. */
        if (h->state != LMN_H_OFFERED)
            return false;
        *heard = true;
        return come_back(h);
    default:
        *heard = true;
        return outcome == LMN_O_RETURNED ? come_back(h) : end(h, outcome);
    }
}

bool lmn_home_cancel(struct lmn_home *h)
{
    if (h->state == LMN_H_FINAL || h->cancel)
        return false;
    h->cancel = true;
    if (h->state == LMN_H_QUEUED)
        end(h, LMN_O_WITHDRAWN);
    return true;
}

bool lmn_home_recall(struct lmn_home *h)
{
    if (h->state == LMN_H_FINAL || h->state == LMN_H_FENCED || h->recall)
        return false;
    h->recall = true;
    return true;
}

bool lmn_home_conclude(struct lmn_home *h, bool may_run_again)
{
    if (!handed_over(h))
        return false;
    if (!h->cancel && !may_run_again)
        return false;
    return come_back(h);
}

bool lmn_home_restored(struct lmn_home *h)
{
    if (h->state == LMN_H_FINAL || h->state == LMN_H_FENCED)
        return false;
    h->state = LMN_H_FENCED;
    return true;
}

bool lmn_home_unfence(struct lmn_home *h)
{
    return h->state == LMN_H_FENCED && come_back(h);
}

static void tell(const struct lmn_host *f, enum lmn_answer *answer)
{
    *answer = f->state == LMN_HO_RUNS ? LMN_A_ACCEPTED : LMN_A_OVER;
}

bool lmn_host_offer(struct lmn_host *f, uint64_t epoch, bool ours, bool room,
                    enum lmn_answer *answer, bool *old)
{
    uint64_t known = MAX(f->floor, f->state == LMN_HO_NONE ? 0 : f->epoch);

    *old = ours && epoch < known;
    *answer = LMN_A_REFUSED;
    if (*old || !ours)
        return false;
    if (epoch == known) {
        if (f->state != LMN_HO_NONE && f->epoch == epoch)
            tell(f, answer);
        return false;
    }
    /* A newer one: the home has an end of the older. One that still runs here contradicts
     * that. */
    if (f->state == LMN_HO_RUNS || !room) {
        f->floor = epoch;
        return true;
    }
    *f = (struct lmn_host){.state = LMN_HO_RUNS, .epoch = epoch, .floor = f->floor};
    *answer = LMN_A_ACCEPTED;
    return true;
}

bool lmn_host_resolve(struct lmn_host *f, uint64_t epoch, bool ours,
                      enum lmn_answer *answer, bool *old)
{
    /* As an offer for which there is no room: what is not known is refused for good. */
    return lmn_host_offer(f, epoch, ours, false, answer, old);
}

bool lmn_host_restored(struct lmn_host *f)
{
    if (f->state == LMN_HO_NONE)
        return false;
    f->floor = MAX(f->floor, f->epoch);
    f->state = LMN_HO_NONE;
    return true;
}

bool lmn_host_over(struct lmn_host *f, enum lmn_outcome_word outcome)
{
    if (f->state != LMN_HO_RUNS)
        return false;
    f->state = LMN_HO_OVER;
    f->outcome = outcome;
    return true;
}

bool lmn_host_cancel(struct lmn_host *f, uint64_t epoch)
{
    if (f->state != LMN_HO_RUNS || f->epoch != epoch || f->cancel)
        return false;
    f->cancel = true;
    return true;
}

bool lmn_host_heard(struct lmn_host *f, uint64_t epoch)
{
    if (f->state != LMN_HO_OVER || f->epoch != epoch || f->heard)
        return false;
    f->heard = true;
    return true;
}
