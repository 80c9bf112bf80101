/**
 * @file
 * Job descriptions as submitted by users: the structure, its encoding in messages and
 * stored records, and checks that need only the description (allowed machines,
 * feasibility, objectives). A job's runtime state is in state/job.h.
 *
 * A description does not change after it was parsed, so reading needs no lock. The
 * structure that contains the description determines who frees it.
 */
#ifndef LMN_JOB_JOB_SPEC_H
#define LMN_JOB_JOB_SPEC_H

#include "job/bitset.h"
#include "job/machine_type.h"
#include "protocol/cbor.h"
#include "config/settings.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    LMN_JOB_ID_SIZE = 32, /**< bytes of a job id's buffer, with the terminating NUL */
    LMN_MAX_JOB_ID_LENGTH = 23, /**< of a valid id */
    /** Bytes of a task's name, JOB-ID/INDEX, with the terminating NUL. */
    LMN_TASK_NAME_SIZE = LMN_JOB_ID_SIZE + 16,
    LMN_MAX_TASKS = 100000 /**< maximum number of tasks in one job */
};

/** Whether tasks end by themselves (batch) or are replicas that run until the job is
 * cancelled (service). */
enum lmn_job_kind { LMN_JOB_BATCH, LMN_JOB_SERVICE };

/** Priority of a job, in ascending order. */
enum lmn_priority {
    LMN_PRIORITY_IDLE,
    LMN_PRIORITY_NORMAL,
    LMN_PRIORITY_HIGH,
    LMN_PRIORITY_PRODUCTION
};

/** Phase of a job; done and cancelled are final. */
enum lmn_job_phase { LMN_JOB_ACTIVE, LMN_JOB_DONE, LMN_JOB_CANCELLED };

/** A job description: a number of identical tasks. Filled by lmn_job_spec_parse(),
 * released by lmn_job_spec_clear(). Each WIRE_ macro is the field's name in messages. */
struct lmn_job_spec {
    char id[LMN_JOB_ID_SIZE]; /**< WIRE_JOB_ID */
    char *class_name;       /**< WIRE_CLASS: the class that objectives refer to; owned */
    char *team;             /**< WIRE_TEAM; owned */
    char *image;            /**< WIRE_IMAGE: name of the image; owned */
    char *zone;             /**< WIRE_ZONE: the only zone allowed; owned; NULL: any */
    char **machine_types;   /**< WIRE_MACHINE_TYPES: allowed types, NULL-terminated;
                                 owned; NULL: any */
    enum lmn_job_kind kind; /**< WIRE_JOB_KIND */
    enum lmn_priority priority; /**< WIRE_PRIORITY */
    uint32_t tasks;             /**< WIRE_TASKS: number of tasks, 1 to LMN_MAX_TASKS */
    double cpus;                /**< WIRE_CPUS: processors for each task */
    double gpus;                /**< WIRE_GPUS: GPUs for each task */
    double memory_gb;           /**< WIRE_MEMORY_GB: memory for each task, GB */
    double image_gb;            /**< WIRE_IMAGE_GB: size of the image, GB */
    double estimate_s;   /**< WIRE_ESTIMATE_S: estimated run time of a task, seconds */
    double checkpoint_s; /**< WIRE_CHECKPOINT_S: interval of checkpoints, seconds; 0: the
                              tasks write none */
    double save_s; /**< WIRE_SAVE_S: time that writing a checkpoint takes, seconds */
    double
        deadline_s; /**< WIRE_DEADLINE_S: seconds from the submission; negative: none */
    bool requires_one_zone;  /**< WIRE_ZONE_AFFINITY: all tasks in one zone */
    bool spreads_over_zones; /**< WIRE_ZONE_ANTI_AFFINITY: tasks spread over zones */
    bool may_use_spot;       /**< WIRE_SPOT: spot instances are allowed */
};

/** Whether the text is a valid job id: WIRE_JOB_ID_PREFIX and decimal digits. Job ids are
 * used in file names and request paths, so no other text may pass as one. */
bool lmn_job_id_is_valid(const char *id);

/**
 * Reads a description from a CBOR map.
 * @param spec   set; previous contents are overwritten without being freed. The caller
 * must call lmn_job_spec_clear() even after a failure.
 * @param map    NULL or a value that is not a map gives -1.
 * @param field  on failure set to a static string: the name of the first missing or
 * invalid field, or "body" if `map` is not a map.
 * @return 0, or -1 if a field is missing or invalid.
 */
int lmn_job_spec_parse(struct lmn_job_spec *spec,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *map, const char **field);

/** Frees the memory that the description owns and sets all fields to zero. */
void lmn_job_spec_clear(struct lmn_job_spec *spec);

/** Appends all fields, lmn_job_spec_pair_count() pairs, to the CBOR map that the caller
 * has begun in `buffer`. */
void lmn_job_spec_write(GByteArray *buffer, const struct lmn_job_spec *spec);

/** @return the number of pairs that lmn_job_spec_write() appends. */
size_t lmn_job_spec_pair_count(void);

/** Whether a task may run on an empty machine of the type in the zone.
 * @param spot  the machine is a spot instance. */
bool lmn_job_spec_allows(const struct lmn_job_spec *spec,
                         const struct lmn_machine_type *type, const char *zone,
                         bool spot);

/**
 * Whether the job could run if all machines were free.
 * @param reason  if it could not: set to a static string with the reason, for the user.
 */
bool lmn_job_spec_is_feasible(const struct lmn_job_spec *spec,
                              const struct lmn_settings *settings,
                              const struct lmn_machine_types *types, const char **reason);

/** Whether the objective limits the start or end time of jobs with this description. */
bool lmn_objective_applies(const struct lmn_objective *objective,
                           const struct lmn_job_spec *spec);

/** Whether the job has a deadline, or an objective in the settings applies to it. */
bool lmn_job_spec_has_objective(const struct lmn_settings *settings,
                                const struct lmn_job_spec *spec);

#endif
