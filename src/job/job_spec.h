/**
 * @file
 * Job descriptions as their users submit them: the structure, its form in messages and
 * stored records, and the questions that follow from a description alone (which machines
 * it allows, whether it can ever run, whether it has an objective). What becomes of a job
 * is kept elsewhere (state/job.h).
 *
 * A description is filled once and then only read, so that no lock is needed for it; the
 * structure that contains it says who may free it.
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
    LMN_JOB_ID_SIZE = 32,  /**< bytes of a job id with its closing zero byte */
    LMN_MAX_TASKS = 100000 /**< tasks of one job */
};

/** Whether tasks end by themselves (batch) or are replicas that run until the job is
 * cancelled (service). */
enum lmn_job_kind { LMN_JOB_BATCH, LMN_JOB_SERVICE };

/** Priority of a job, the lowest first. */
enum lmn_priority {
    LMN_PRIORITY_IDLE,
    LMN_PRIORITY_NORMAL,
    LMN_PRIORITY_HIGH,
    LMN_PRIORITY_PRODUCTION
};

/** State of a whole job; done and cancelled are final. */
enum lmn_job_phase { LMN_JOB_ACTIVE, LMN_JOB_DONE, LMN_JOB_CANCELLED };

/** A job description: an array of equal tasks. Filled by lmn_job_spec_parse(), released
 * by lmn_job_spec_clear(). The names in capitals are those of the fields in messages. */
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

/** Whether the text has the form of a job id: a prefix and digits. A job with any other
 * id can never have been accepted, and ids become file names and paths of requests. */
bool lmn_job_id_is_valid(const char *id);

/**
 * Reads a description from a map.
 * @param spec   filled; its former content is overwritten, not freed. It is to be
 * released by lmn_job_spec_clear() also after a failure.
 * @param map    may be NULL or no map: a failure.
 * @param field  on failure: the name of the first field that is missing or invalid, a
 * static string ("body" if there is no map).
 * @return 0, or -1 if a field is missing or invalid.
 */
int lmn_job_spec_parse(struct lmn_job_spec *spec,
                       const struct lmn_cbor_document *document,
                       const struct lmn_cbor_value *map, const char **field);

/** Frees what the description owns and sets all of it to zero. */
void lmn_job_spec_clear(struct lmn_job_spec *spec);

/** Appends the fields to an open map, as many pairs as lmn_job_spec_pair_count() says. */
void lmn_job_spec_write(GByteArray *buffer, const struct lmn_job_spec *spec);

/** @return the pairs that lmn_job_spec_write() appends. */
size_t lmn_job_spec_pair_count(void);

/** Whether a task may run on a machine of the type, in the zone, on a spot instance or
 * not. Free capacity isn't considered. */
bool lmn_job_spec_allows(const struct lmn_job_spec *spec,
                         const struct lmn_machine_type *type, const char *zone,
                         bool spot);

/**
 * Whether the job could run if all machines were free.
 * @param reason  if it could not: why, a static string for the user.
 */
bool lmn_job_spec_is_feasible(const struct lmn_job_spec *spec,
                              const struct lmn_settings *settings,
                              const struct lmn_machine_types *types, const char **reason);

/** Whether the objective sets a time for such a job to start or to end. */
bool lmn_objective_applies(const struct lmn_objective *objective,
                           const struct lmn_job_spec *spec);

/** Whether any objective of the settings, or a deadline of its own, sets such a time. */
bool lmn_job_spec_has_objective(const struct lmn_settings *settings,
                                const struct lmn_job_spec *spec);

#endif
