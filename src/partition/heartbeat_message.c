/* Decodes heartbeats, and encodes the replies and pushes to workers. No other file
 * of the controller depends on their wire format. The functions depend on their arguments
 * only and need no lock. */
#include "partition/heartbeat_message.h"

#include "protocol/wire.h"

#include <stdlib.h>
#include <string.h>

enum { MAX_TASK_INDEX_DIGITS = 9 };

_Static_assert(LMN_NAME_SIZE == 64 && LMN_ADDRESS_SIZE == 64,
               "the error texts of lmn_heartbeat_parse state these limits, less 1");

static enum lmn_attempt_state attempt_state(const struct lmn_cbor_value *node)
{
    if (lmn_cbor_text_equals(node, WIRE_ENDED))
        return LMN_ATTEMPT_ENDED;
    if (lmn_cbor_text_equals(node, WIRE_FETCHING))
        return LMN_ATTEMPT_FETCHING;
    if (lmn_cbor_text_equals(node, WIRE_SAVING))
        return LMN_ATTEMPT_SAVING;
    return LMN_ATTEMPT_RUNNING;
}

bool lmn_heartbeat_parse_task(struct lmn_attempt *attempt,
                              const struct lmn_cbor_document *document,
                              const struct lmn_cbor_value *node)
{
    char task[LMN_TASK_NAME_SIZE], *slash;

    memset(attempt, 0, sizeof *attempt);
    if (!lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_TASK), task, sizeof task) ||
        !lmn_cbor_get_uint(lmn_cbor_get(document, node, WIRE_ATTEMPT),
                           &attempt->number) ||
        !(slash = strrchr(task, '/')))
        return false;
    /* Checks the index, since strtoul alone would accept "x/" as task 0 of job x. */
    size_t digits = strspn(slash + 1, "0123456789");
    if (slash == task || slash - task >= LMN_JOB_ID_SIZE || !digits ||
        digits > MAX_TASK_INDEX_DIGITS || slash[1 + digits])
        return false;
    *slash = '\0';
    g_strlcpy(attempt->job_id, task, sizeof attempt->job_id);
    attempt->index = (uint32_t)strtoul(slash + 1, NULL, 10);
    attempt->state = attempt_state(lmn_cbor_get(document, node, WIRE_STATE));
    return true;
}

/* A machine's name becomes part of record keys and of log lines, so it must not contain
 * slashes, spaces or control characters. */
static bool is_valid_name(const char *name)
{
    const char *position = name;

    while (g_ascii_isgraph(*position) && *position != '/')
        position++;
    return position > name && !*position;
}

/* Whether all entries of the task list are well-formed. One malformed entry makes the
 * whole heartbeat malformed: if it were skipped, its task would be treated as missing
 * from the machine and be started again. */
static bool all_tasks_parse(const struct lmn_cbor_document *document,
                            const struct lmn_cbor_value *tasks)
{
    struct lmn_attempt attempt;

    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(document, tasks); node;
         node = lmn_cbor_next(document, node))
        if (!lmn_heartbeat_parse_task(&attempt, document, node))
            return false;
    return true;
}

const char *lmn_heartbeat_parse(struct lmn_heartbeat *heartbeat,
                                const struct lmn_cbor_document *document)
{
    const struct lmn_cbor_value *map = lmn_cbor_root(document);
    char name[LMN_NAME_SIZE];

    memset(heartbeat, 0, sizeof *heartbeat);
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_MACHINE), name,
                           sizeof name) ||
        !is_valid_name(name))
        return WIRE_MACHINE ": expected a name";
    g_strlcpy(heartbeat->name, name, sizeof heartbeat->name);
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_ADDRESS), heartbeat->address,
                           sizeof heartbeat->address))
        return WIRE_ADDRESS
            ": expected an address of at most 63 bytes, as in 10.0.0.1:9000";
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_MACHINE_TYPE),
                           heartbeat->type, sizeof heartbeat->type))
        return WIRE_MACHINE_TYPE
            ": expected the name of a machine type, at most 63 bytes";
    if (!lmn_cbor_get_text(lmn_cbor_get(document, map, WIRE_ZONE), heartbeat->zone,
                           sizeof heartbeat->zone))
        return WIRE_ZONE ": expected the name of a zone, at most 63 bytes";
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_AGENT_INCARNATION),
                           &heartbeat->agent_incarnation) ||
        !heartbeat->agent_incarnation)
        return WIRE_AGENT_INCARNATION ": expected an integer of at least 1";
    if (!lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_SEQUENCE),
                           &heartbeat->sequence))
        return WIRE_SEQUENCE ": expected an integer of at least 0";
    lmn_cbor_get_bool(lmn_cbor_get(document, map, WIRE_SPOT), &heartbeat->is_spot);
    lmn_cbor_get_uint(lmn_cbor_get(document, map, WIRE_FENCING_TOKEN),
                      &heartbeat->fencing_token);
    heartbeat->has_spot_notice = lmn_cbor_get_number(
        lmn_cbor_get(document, map, WIRE_SPOT_NOTICE_S), &heartbeat->notice_s);
    heartbeat->tasks = lmn_cbor_get(document, map, WIRE_TASKS);
    if (heartbeat->tasks && heartbeat->tasks->type != LMN_CBOR_ARRAY)
        return WIRE_TASKS ": expected an array";
    if (!all_tasks_parse(document, heartbeat->tasks))
        return WIRE_TASKS
            ": expected a task, as in run-000412/3, and an attempt number in each entry";
    return NULL;
}

struct lmn_command_list lmn_command_list_new(void)
{
    return (struct lmn_command_list){.encoded = g_byte_array_new()};
}

void lmn_command_list_free(struct lmn_command_list *commands)
{
    g_clear_pointer(&commands->encoded, g_byte_array_unref);
    commands->count = 0;
    commands->json_bytes = 0;
}

bool lmn_command_list_has_room(const struct lmn_command_list *commands, size_t json_bytes)
{
    return commands->json_bytes + json_bytes <= LMN_MAX_MESSAGE_LIST_BYTES;
}

void lmn_command_list_add(struct lmn_command_list *commands, enum lmn_command_kind kind,
                          const struct lmn_attempt *attempt, double grace_s)
{
    const struct lmn_command command = {kind, attempt, grace_s};

    lmn_command_encode(commands->encoded, &command);
    commands->count++;
    commands->json_bytes += kind == LMN_COMMAND_KILL ? LMN_MAX_KILL_COMMAND_BYTES
                                                     : LMN_MAX_PLAIN_COMMAND_BYTES;
}

void lmn_command_list_count_starts(struct lmn_command_list *commands, guint starts)
{
    commands->count += starts;
    commands->json_bytes += (size_t)starts * LMN_MAX_PLAIN_COMMAND_BYTES;
}

/* Appends the command array of a message with its key.
 * Returns the offset in `out` of the first command. */
static guint put_commands(GByteArray *out, const struct lmn_command_list *commands)
{
    lmn_cbor_put_text(out, WIRE_COMMANDS);
    lmn_cbor_put_array(out, commands ? commands->count : 0);
    guint offset = out->len;
    if (commands)
        g_byte_array_append(out, commands->encoded->data, commands->encoded->len);
    return offset;
}

guint lmn_heartbeat_reply_encode(GByteArray *out, const struct lmn_heartbeat_reply *reply)
{
    lmn_cbor_put_map(out, 2);
    lmn_cbor_put_text(out, WIRE_FENCING_TOKEN);
    lmn_cbor_put_uint(out, reply->fencing_token);
    return put_commands(out, reply->commands);
}

void lmn_heartbeat_redirect_encode(GByteArray *out, const char *member_name)
{
    lmn_cbor_put_map(out, 1);
    lmn_cbor_put_text(out, WIRE_REDIRECT_TO);
    lmn_cbor_put_text(out, member_name);
}

void lmn_heartbeat_error_encode(GByteArray *out, const char *error)
{
    lmn_cbor_put_map(out, 1);
    lmn_cbor_put_text(out, "error");
    lmn_cbor_put_text(out, error);
}

void lmn_command_push_encode(GByteArray *out, const struct lmn_command_push *push)
{
    g_byte_array_set_size(out, 0);
    lmn_cbor_put_map(out, 3);
    lmn_cbor_put_text(out, WIRE_FENCING_TOKEN);
    lmn_cbor_put_uint(out, push->fencing_token);
    lmn_cbor_put_text(out, WIRE_AGENT_INCARNATION);
    lmn_cbor_put_uint(out, push->agent_incarnation);
    put_commands(out, push->commands);
}
