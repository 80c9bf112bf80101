#include "worker/agent.h"
#include "util/clock.h"
#include "util/log.h"
#include "protocol/wire.h"

#include <stdio.h>
#include <string.h>

static const char *const whys[] = {WIRE_DONE,        WIRE_STOPPED, WIRE_ERROR,
                                   WIRE_NO_CAPACITY, WIRE_BUSY,    WIRE_NO_SUCH_JOB};

void lmn_agent_init(struct lmn_agent *agent, const struct lmn_agent_ops *ops, void *arg,
                    uint64_t session, struct timespec now)
{
    agent->ops = ops;
    agent->arg = arg;
    agent->incarnation = session;
    agent->sequence = agent->fencing_token = agent->next_run_id = 0;
    agent->is_ending = agent->has_spot_notice = false;
    agent->has_news = true;
    agent->lease_from = now;
    agent->fencing_token_reported_at = (struct timespec){0, 0};
    agent->runs = g_ptr_array_new_with_free_func(g_free);
    ops->leased(arg, lmn_time_add(now, agent->lease_s));
}

void lmn_agent_clear(struct lmn_agent *agent)
{
    g_ptr_array_free(agent->runs, TRUE);
}

struct lmn_task_run *lmn_agent_find_run(struct lmn_agent *agent, uint64_t id)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        struct lmn_task_run *r = agent->runs->pdata[i];
        if (r->id == id)
            return r;
    }
    return NULL;
}

/* --- reports --- */

static const char *state_word(const struct lmn_task_run *r)
{
    switch (r->state == LMN_RUN_ENDING ? r->reported_state : r->state) {
    case LMN_RUN_RUNNING:
        return WIRE_RUNNING;
    case LMN_RUN_SAVING:
        return WIRE_SAVING;
    case LMN_RUN_ENDED:
        return WIRE_ENDED;
    default:
        return WIRE_FETCHING;
    }
}

static void put_run(GByteArray *buffer, const struct lmn_task_run *r)
{
    char task[LMN_JOB_ID_SIZE + 16];
    bool ended = r->state == LMN_RUN_ENDED,
         stopped = ended && r->exit_reason == LMN_EXIT_STOPPED;

    g_snprintf(task, sizeof task, "%s/%u", r->job_id, r->index);
    lmn_cbor_put_map(buffer, 3 + ended + stopped);
    lmn_cbor_put_text(buffer, WIRE_TASK), lmn_cbor_put_text(buffer, task);
    lmn_cbor_put_text(buffer, WIRE_ATTEMPT), lmn_cbor_put_uint(buffer, r->attempt);
    lmn_cbor_put_text(buffer, WIRE_STATE), lmn_cbor_put_text(buffer, state_word(r));
    if (ended)
        lmn_cbor_put_text(buffer, WIRE_EXIT_REASON),
            lmn_cbor_put_text(buffer, whys[r->exit_reason]);
    if (stopped)
        lmn_cbor_put_text(buffer, WIRE_SAVED), lmn_cbor_put_bool(buffer, r->is_saved);
}

void lmn_agent_write_heartbeat(struct lmn_agent *agent, GByteArray *buffer,
                               struct timespec now)
{
    lmn_cbor_put_map(buffer, agent->has_spot_notice ? 10 : 9);
    lmn_cbor_put_text(buffer, WIRE_MACHINE), lmn_cbor_put_text(buffer, agent->name);
    lmn_cbor_put_text(buffer, WIRE_ADDRESS), lmn_cbor_put_text(buffer, agent->address);
    lmn_cbor_put_text(buffer, WIRE_MACHINE_TYPE),
        lmn_cbor_put_text(buffer, agent->type.name);
    lmn_cbor_put_text(buffer, WIRE_ZONE), lmn_cbor_put_text(buffer, agent->zone);
    lmn_cbor_put_text(buffer, WIRE_SPOT), lmn_cbor_put_bool(buffer, agent->is_spot);
    lmn_cbor_put_text(buffer, WIRE_AGENT_INCARNATION),
        lmn_cbor_put_uint(buffer, agent->incarnation);
    lmn_cbor_put_text(buffer, WIRE_SEQUENCE),
        lmn_cbor_put_uint(buffer, ++agent->sequence);
    lmn_cbor_put_text(buffer, WIRE_FENCING_TOKEN),
        lmn_cbor_put_uint(buffer, agent->fencing_token);
    if (agent->has_spot_notice)
        lmn_cbor_put_text(buffer, WIRE_SPOT_NOTICE_S),
            lmn_cbor_put_number(buffer, MAX(lmn_time_diff_s(agent->gone_at, now), 0));
    lmn_cbor_put_text(buffer, WIRE_TASKS), lmn_cbor_put_array(buffer, agent->runs->len);
    for (guint i = 0; i < agent->runs->len; i++)
        put_run(buffer, agent->runs->pdata[i]);
    agent->has_news = false;
}

/* --- commands --- */

/* A higher token is worth a report, but not each: a claim that is disputed would flood
 * the claimants. */
static void take_token(struct lmn_agent *agent, uint64_t token, struct timespec now)
{
    if (token > agent->fencing_token &&
        lmn_time_diff_s(now, agent->fencing_token_reported_at) > agent->lease_s / 2) {
        agent->has_news = true;
        agent->fencing_token_reported_at = now;
    }
    agent->fencing_token = token;
}

static void end(struct lmn_agent *agent, struct lmn_task_run *r, enum lmn_exit_reason why)
{
    r->state = LMN_RUN_ENDED;
    r->exit_reason = why;
    agent->finished += why == LMN_EXIT_DONE;
    agent->refused += why > LMN_EXIT_ERROR;
    agent->has_news = true;
}

static bool holds_room(const struct lmn_task_run *r)
{
    return r->is_described && r->state != LMN_RUN_ENDED;
}

static bool has_room(const struct lmn_agent *agent, const struct lmn_task_run *r)
{
    double cpus = r->cpus, gpus = r->gpus, mem = r->memory_gb;

    for (guint i = 0; i < agent->runs->len; i++) {
        const struct lmn_task_run *o = agent->runs->pdata[i];
        if (o == r || !holds_room(o))
            continue;
        cpus += o->cpus;
        gpus += o->gpus;
        mem += o->memory_gb;
    }
    return cpus <= agent->type.cpus + 1e-6 && gpus <= agent->type.gpus + 1e-6 &&
           mem <= agent->type.memory_gb + 1e-6;
}

static void begin(struct lmn_agent *agent, struct lmn_task_run *r, struct timespec now)
{
    r->since = now;
    agent->has_news = true;
    if (agent->ops->has_result(agent->arg, r->job_id, r->index)) {
        end(agent, r, LMN_EXIT_DONE);
        return;
    }
    r->state = LMN_RUN_RUNNING;
    agent->ops->start(agent->arg, r);
}

void lmn_agent_described(struct lmn_agent *agent, uint64_t id,
                         const struct lmn_job_spec *spec, struct timespec now)
{
    struct lmn_task_run *r = lmn_agent_find_run(agent, id);

    if (!r || r->state != LMN_RUN_DESCRIBING)
        return;
    if (!spec || r->index >= spec->tasks) {
        end(agent, r, LMN_EXIT_NO_SUCH_JOB);
        return;
    }
    r->cpus = spec->cpus;
    r->gpus = spec->gpus;
    r->memory_gb = spec->memory_gb;
    r->save_s = spec->save_s;
    r->can_save = spec->checkpoint_s > 0;
    r->image = (char *)g_intern_string(spec->image);
    if (!has_room(agent, r)) {
        end(agent, r, LMN_EXIT_NO_CAPACITY);
        return;
    }
    r->is_described = true;
    r->state = LMN_RUN_FETCHING;
    r->since = now;
    agent->ops->fetch(agent->arg, r);
}

void lmn_agent_fetched(struct lmn_agent *agent, const char *image, bool ok,
                       struct timespec now)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        struct lmn_task_run *r = agent->runs->pdata[i];
        if (r->state != LMN_RUN_FETCHING || strcmp(r->image, image))
            continue;
        if (ok)
            begin(agent, r, now);
        else
            end(agent, r, LMN_EXIT_ERROR);
    }
}

static void give_up_image(struct lmn_agent *agent, const char *image)
{
    for (guint i = 0; i < agent->runs->len; i++) {
        const struct lmn_task_run *r = agent->runs->pdata[i];
        if (r->state == LMN_RUN_FETCHING && !strcmp(r->image, image))
            return;
    }
    agent->ops->give_up(agent->arg, image);
}

static void start(struct lmn_agent *agent, const char *ref, uint32_t index,
                  uint64_t attempt, struct timespec now)
{
    struct lmn_task_run *r = g_new0(struct lmn_task_run, 1);
    bool busy = false;

    for (guint i = 0; i < agent->runs->len; i++) {
        const struct lmn_task_run *o = agent->runs->pdata[i];
        if (o->index == index && !strcmp(o->job_id, ref) && o->state != LMN_RUN_ENDED)
            busy = true;
    }
    r->id = ++agent->next_run_id;
    g_strlcpy(r->job_id, ref, sizeof r->job_id);
    r->index = index;
    r->attempt = attempt;
    r->since = now;
    g_ptr_array_add(agent->runs, r);
    agent->starts++;
    agent->has_news = true;
    if (busy)
        end(agent, r, LMN_EXIT_BUSY);
    else if (!lmn_job_id_is_valid(ref)) /* names become paths */
        end(agent, r, LMN_EXIT_NO_SUCH_JOB);
    else
        agent->ops->describe(agent->arg, r);
}

static void stop(struct lmn_agent *agent, struct lmn_task_run *r, double grace)
{
    switch (r->state) {
    case LMN_RUN_DESCRIBING:
        end(agent, r, LMN_EXIT_STOPPED);
        return;
    case LMN_RUN_FETCHING:
        end(agent, r, LMN_EXIT_STOPPED);
        give_up_image(agent, r->image);
        return;
    case LMN_RUN_RUNNING:
        if (r->can_save && grace >= r->save_s) {
            r->state = LMN_RUN_SAVING;
            agent->has_news = true;
            agent->ops->save(agent->arg, r, grace);
            return;
        }
        break;
    case LMN_RUN_SAVING:
        if (grace > 0)
            return;
        break;
    default:
        return;
    }
    r->reported_state = r->state;
    r->state = LMN_RUN_ENDING;
    agent->ops->kill(agent->arg, r);
}

static void obey(struct lmn_agent *agent, const struct lmn_cbor_document *document,
                 const struct lmn_cbor_value *node, struct timespec now)
{
    const struct lmn_cbor_value *command = lmn_cbor_get(document, node, WIRE_COMMAND);
    char task[LMN_JOB_ID_SIZE + 16], *slash;
    struct lmn_task_run *r = NULL;
    uint64_t attempt = 0;
    double grace = 0;

    if (!lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_TASK), task, sizeof task) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_ATTEMPT), &attempt) ||
        !(slash = strrchr(task, '/')) || slash - task >= LMN_JOB_ID_SIZE)
        return;
    *slash = '\0';
    uint32_t index = (uint32_t)g_ascii_strtoull(slash + 1, NULL, 10);
    for (guint i = 0; i < agent->runs->len && !r; i++) {
        struct lmn_task_run *o = agent->runs->pdata[i];
        if (o->attempt == attempt && o->index == index && !strcmp(o->job_id, task))
            r = o;
    }
    if (lmn_cbor_text_equals(command, WIRE_START)) {
        if (!r)
            start(agent, task, index, attempt, now);
    } else if (lmn_cbor_text_equals(command, WIRE_KILL) && r) {
        lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_GRACE_S), &grace);
        stop(agent, r, grace);
    } else if (lmn_cbor_text_equals(command, WIRE_CLEAR) && r &&
               r->state == LMN_RUN_ENDED) {
        g_ptr_array_remove(agent->runs, r);
        agent->has_news = true;
    }
}

static void obey_all(struct lmn_agent *agent, const struct lmn_cbor_document *document,
                     struct timespec now)
{
    const struct lmn_cbor_value *list =
        lmn_cbor_get(document, lmn_cbor_root(document), WIRE_COMMANDS);

    if (!list || list->type != LMN_CBOR_ARRAY)
        return;
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, list); node;
         node = lmn_cbor_next(document, node))
        obey(agent, document, node, now);
}

bool lmn_agent_heartbeat_answered(struct lmn_agent *agent, uint64_t session,
                                  struct timespec sent, const void *body, size_t len,
                                  struct timespec now)
{
    struct lmn_cbor_document d;
    uint64_t token = 0;

    /* What stood still, the clock aside, may find its lease over only here. */
    lmn_agent_tick(agent, now);
    if (agent->is_ending || session != agent->incarnation ||
        lmn_cbor_parse(&d, body, len) != 0)
        return false;
    bool good = lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN),
                                  &token) &&
                token >= agent->fencing_token;
    if (good) {
        take_token(agent, token, now);
        if (lmn_time_before(agent->lease_from, sent))
            agent->lease_from = sent;
        agent->ops->leased(agent->arg, lmn_time_add(agent->lease_from, agent->lease_s));
        obey_all(agent, &d, now);
    }
    lmn_cbor_free(&d);
    return good;
}

int lmn_agent_execute(struct lmn_agent *agent, const void *body, size_t len,
                      GByteArray *out, struct timespec now)
{
    struct lmn_cbor_document d;
    uint64_t token, session;
    int status = 200;

    lmn_agent_tick(agent, now);
    if (agent->is_ending)
        return 503;
    if (lmn_cbor_parse(&d, body, len) != 0)
        return 400;
    if (!lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN),
                           &token) ||
        !lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_AGENT_INCARNATION),
                           &session)) {
        lmn_cbor_free(&d);
        return 400;
    }
    if (token < agent->fencing_token || session != agent->incarnation) {
        status = 409;
    } else {
        take_token(agent, token, now);
        obey_all(agent, &d, now);
    }
    lmn_cbor_free(&d);
    /* The answer tells all; but the lease is renewed by reports alone, so one is due all
     * the same. */
    bool changed = agent->has_news;
    lmn_agent_write_heartbeat(agent, out, now);
    agent->has_news = changed;
    return status;
}

int lmn_agent_show(struct lmn_agent *agent, GByteArray *out, struct timespec now)
{
    lmn_agent_tick(agent, now);
    if (agent->is_ending)
        return 503;
    bool changed = agent->has_news;
    lmn_agent_write_heartbeat(agent, out, now);
    agent->has_news = changed;
    return 200;
}

/* --- ends --- */

void lmn_agent_exited(struct lmn_agent *agent, uint64_t id, bool done, bool saved,
                      struct timespec now)
{
    struct lmn_task_run *r = lmn_agent_find_run(agent, id);
    (void)now;

    if (!r || r->state == LMN_RUN_ENDED || agent->is_ending)
        return;
    bool told = r->state == LMN_RUN_SAVING || r->state == LMN_RUN_ENDING;
    r->is_saved = told && saved && !done;
    end(agent, r, done ? LMN_EXIT_DONE : told ? LMN_EXIT_STOPPED : LMN_EXIT_ERROR);
}

void lmn_agent_expire_lease(struct lmn_agent *agent, const char *why)
{
    if (agent->is_ending)
        return;
    lmn_info("agent_incarnation_ended session=%" G_GUINT64_FORMAT " tasks=%u why=\"%s\"",
             agent->incarnation, agent->runs->len, why);
    agent->is_ending = true;
    agent->expired_leases++;
    g_ptr_array_set_size(agent->runs, 0);
    agent->ops->kill_all(agent->arg);
}

void lmn_agent_tick(struct lmn_agent *agent, struct timespec now)
{
    if (!agent->is_ending && lmn_time_diff_s(now, agent->lease_from) > agent->lease_s)
        lmn_agent_expire_lease(agent, "the lease is over");
}

void lmn_agent_incarnation_ended(struct lmn_agent *agent, uint64_t session,
                                 struct timespec now)
{
    if (!agent->is_ending)
        return;
    agent->is_ending = false;
    agent->incarnation = session;
    agent->lease_from = now;
    agent->has_news = true;
    agent->ops->leased(agent->arg, lmn_time_add(now, agent->lease_s));
}

void lmn_agent_spot_notice(struct lmn_agent *agent, struct timespec gone_at)
{
    agent->has_spot_notice = true;
    agent->gone_at = gone_at;
    agent->has_news = true;
}
