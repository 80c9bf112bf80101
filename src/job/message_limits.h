/** @file
 * The limit on the size of messages between controllers and workers, and what follows
 * from it: how many attempts a machine may have at a time.
 *
 * Each heartbeat names every attempt on the machine, and a reply may contain a command
 * for each. The number of attempts is therefore limited like processors and memory, by
 * the largest entry of a heartbeat or reply. The limit counts messages as JSON; the sizes
 * here include the space that some encoders write after each colon and comma. Constants
 * only, computed from the words of protocol/wire.h. */
#ifndef LMN_JOB_MESSAGE_LIMITS_H
#define LMN_JOB_MESSAGE_LIMITS_H

#include "job/job_spec.h"
#include "protocol/wire.h"

/** Length of a string literal. */
#define LMN_LITERAL_LENGTH(literal) (sizeof(literal) - 1)

enum {
    /** Largest request body, and largest response to a worker or user, bytes of JSON. */
    LMN_MAX_MESSAGE_BYTES = 64 * 1024,
    /** Of these, what is left for the fields beside the list of attempts or commands:
     * names, addresses and tokens of a heartbeat. */
    LMN_MESSAGE_ENVELOPE_BYTES = 1024,
    /** The rest, for the list. */
    LMN_MAX_MESSAGE_LIST_BYTES = LMN_MAX_MESSAGE_BYTES - LMN_MESSAGE_ENVELOPE_BYTES,
};

/* Parts of an entry. */
enum {
    LMN_MAX_TASK_INDEX_DIGITS = 5, /**< of LMN_MAX_TASKS - 1 */
    LMN_MAX_TASK_NAME_LENGTH = LMN_MAX_JOB_ID_LENGTH + 1 + LMN_MAX_TASK_INDEX_DIGITS,
    LMN_MAX_UINT_DIGITS = 20,    /**< of 2^64 - 1 */
    LMN_MAX_NUMBER_LENGTH = 24,  /**< of a double with 17 significant digits */
    LMN_MAX_SEPARATOR_LENGTH = 2 /**< between two entries */
};

/* The largest entries, with their separator. */
enum {
    /** An attempt in a heartbeat: one that was stopped without a checkpoint. */
    LMN_MAX_ATTEMPT_ENTRY_BYTES =
        LMN_LITERAL_LENGTH("{\"" WIRE_TASK "\": \"\", \"" WIRE_ATTEMPT
                           "\": , \"" WIRE_STATE "\": \"" WIRE_ENDED
                           "\", \"" WIRE_EXIT_REASON "\": \"" WIRE_STOPPED
                           "\", \"" WIRE_SAVED "\": false}") +
        LMN_MAX_TASK_NAME_LENGTH + LMN_MAX_UINT_DIGITS + LMN_MAX_SEPARATOR_LENGTH,
    /** A command to start or to clear an attempt. */
    LMN_MAX_PLAIN_COMMAND_BYTES =
        LMN_LITERAL_LENGTH("{\"" WIRE_COMMAND "\": \"" WIRE_START "\", \"" WIRE_TASK
                           "\": \"\", \"" WIRE_ATTEMPT "\": }") +
        LMN_MAX_TASK_NAME_LENGTH + LMN_MAX_UINT_DIGITS + LMN_MAX_SEPARATOR_LENGTH,
    /** A command to stop one. */
    LMN_MAX_KILL_COMMAND_BYTES =
        LMN_LITERAL_LENGTH("{\"" WIRE_COMMAND "\": \"" WIRE_KILL "\", \"" WIRE_TASK
                           "\": \"\", \"" WIRE_ATTEMPT "\": , \"" WIRE_GRACE_S "\": }") +
        LMN_MAX_TASK_NAME_LENGTH + LMN_MAX_UINT_DIGITS + LMN_MAX_NUMBER_LENGTH +
        LMN_MAX_SEPARATOR_LENGTH,
    LMN_MAX_MESSAGE_ENTRY_BYTES =
        (int)LMN_MAX_ATTEMPT_ENTRY_BYTES > (int)LMN_MAX_KILL_COMMAND_BYTES
            ? (int)LMN_MAX_ATTEMPT_ENTRY_BYTES
            : (int)LMN_MAX_KILL_COMMAND_BYTES
};

/** Most attempts on one machine at a time, whatever their state: also those that have
 * ended, until the worker has cleared them. */
enum {
    LMN_MAX_MACHINE_ATTEMPTS =
        (int)LMN_MAX_MESSAGE_LIST_BYTES / (int)LMN_MAX_MESSAGE_ENTRY_BYTES
};

#endif
