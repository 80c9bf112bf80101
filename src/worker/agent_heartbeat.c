/** @file
 * Writes the agent's heartbeats, in CBOR (worker/agent.h). */
#include "worker/agent.h"
#include "util/clock.h"
#include "protocol/wire.h"

/* Indexed by enum lmn_exit_reason. */
static const char *const exit_reason_names[] = {
    WIRE_DONE, WIRE_STOPPED, WIRE_ERROR, WIRE_NO_CAPACITY, WIRE_BUSY, WIRE_NO_SUCH_JOB};

static void put_text_field(GByteArray *buffer, const char *name, const char *value)
{
    lmn_cbor_put_text(buffer, name);
    lmn_cbor_put_text(buffer, value);
}

static void put_uint_field(GByteArray *buffer, const char *name, uint64_t value)
{
    lmn_cbor_put_text(buffer, name);
    lmn_cbor_put_uint(buffer, value);
}

static const char *state_name(const struct lmn_task_run *run)
{
    switch (run->state == LMN_RUN_ENDING ? run->reported_state : run->state) {
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

static void put_run(GByteArray *buffer, const struct lmn_task_run *run)
{
    char task[LMN_TASK_NAME_SIZE];
    bool ended = run->state == LMN_RUN_ENDED;
    bool stopped = ended && run->exit_reason == LMN_EXIT_STOPPED;

    g_snprintf(task, sizeof task, "%s/%u", run->job_id, run->index);
    lmn_cbor_put_map(buffer, 3 + ended + stopped);
    put_text_field(buffer, WIRE_TASK, task);
    put_uint_field(buffer, WIRE_ATTEMPT, run->attempt);
    put_text_field(buffer, WIRE_STATE, state_name(run));
    if (ended)
        put_text_field(buffer, WIRE_EXIT_REASON, exit_reason_names[run->exit_reason]);
    if (stopped) {
        lmn_cbor_put_text(buffer, WIRE_SAVED);
        lmn_cbor_put_bool(buffer, run->is_saved);
    }
}

void lmn_agent_write_heartbeat(struct lmn_agent *agent, GByteArray *buffer,
                               struct timespec now)
{
    lmn_cbor_put_map(buffer, agent->has_spot_notice ? 10 : 9);
    put_text_field(buffer, WIRE_MACHINE, agent->name);
    put_text_field(buffer, WIRE_ADDRESS, agent->address);
    put_text_field(buffer, WIRE_MACHINE_TYPE, agent->type.name);
    put_text_field(buffer, WIRE_ZONE, agent->zone);
    lmn_cbor_put_text(buffer, WIRE_SPOT);
    lmn_cbor_put_bool(buffer, agent->is_spot);
    put_uint_field(buffer, WIRE_AGENT_INCARNATION, agent->incarnation);
    put_uint_field(buffer, WIRE_SEQUENCE, ++agent->sequence);
    put_uint_field(buffer, WIRE_FENCING_TOKEN, agent->fencing_token);
    if (agent->has_spot_notice) {
        lmn_cbor_put_text(buffer, WIRE_SPOT_NOTICE_S);
        lmn_cbor_put_number(buffer, MAX(lmn_time_diff_s(agent->reclaimed_at, now), 0));
    }
    lmn_cbor_put_text(buffer, WIRE_TASKS);
    lmn_cbor_put_array(buffer, agent->runs->len);
    for (guint i = 0; i < agent->runs->len; i++)
        put_run(buffer, agent->runs->pdata[i]);
    agent->has_unreported_change = false;
}
