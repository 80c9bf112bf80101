/**
 * @file
 * The names that the interfaces use for fields, values and paths. They are given by the
 * platform and partly French, so they are defined only here; the code uses the terms of
 * docs/glossary.md. The strings must never change: clients, workers, the cloud and stored
 * records depend on them.
 *
 * The value of a field whose macro ends in _S is in seconds, _MS in milliseconds, _GB in
 * gigabytes. Several interfaces use the same word with different meanings; each macro is
 * listed under the interface that its name describes.
 */
#ifndef LMN_PROTOCOL_WIRE_H
#define LMN_PROTOCOL_WIRE_H

/** @name Jobs: fields of a job description (struct lmn_job_spec) and of a job's state
 * @{ */
#define WIRE_JOB_ID "Ref"       /**< id of the job, chosen by the user */
#define WIRE_CLASS "Ligne"      /**< class of jobs that objectives refer to */
#define WIRE_TEAM "Equipe"      /**< team that the quota is counted for */
#define WIRE_JOB_KIND "Sorte"   /**< WIRE_BATCH or WIRE_SERVICE */
#define WIRE_PRIORITY "Urgence" /**< "idle", "normal", "high" or "prod" */
#define WIRE_TASKS "Courses"    /**< of a job: number of tasks; elsewhere: a list */
#define WIRE_CPUS "Cpus"        /**< processors for each task, or of a machine */
#define WIRE_GPUS "Gpus"        /**< GPUs for each task, or of a machine */
#define WIRE_MEMORY_GB "MemGb"  /**< memory for each task, or of a machine */
#define WIRE_IMAGE "Gabarit"    /**< name of the image that the tasks run */
#define WIRE_IMAGE_GB "SizeGb"  /**< size of that image */
#define WIRE_MACHINE_TYPES "GabaritsMachine" /**< allowed machine types; null: any */
#define WIRE_ZONE "Secteur" /**< the only zone allowed, or the zone of a machine */
#define WIRE_ZONE_AFFINITY "SamePlace"  /**< all tasks must run in one zone */
#define WIRE_ZONE_ANTI_AFFINITY "Apart" /**< tasks must be spread over zones */
#define WIRE_SPOT "TaxiLibre"           /**< may use a spot instance; machine: is one */
#define WIRE_ESTIMATE_S "TrajetS"   /**< run time of a task as the user estimates it */
#define WIRE_CHECKPOINT_S "RelaisS" /**< interval of checkpoints; 0: none */
#define WIRE_SAVE_S "DepotS"        /**< time that writing a checkpoint takes */
#define WIRE_DEADLINE_S "EcheanceS" /**< deadline after submission; null: none */
#define WIRE_STATE "Etat"           /**< state of a job, task or machine */
#define WIRE_DONE "done"            /**< state: finished with success */
#define WIRE_RUNNING "running"      /**< state: runs on a machine */
#define WIRE_QUEUED "queued"        /**< state: waits for a machine */
#define WIRE_WAITING_S                                                                   \
    "waiting_s"                    /**< only if it is long: for how many seconds no      \
                                        machine has had free capacity for a task */
#define WIRE_CANCELLED "withdrawn" /**< state: cancelled by a user */
#define WIRE_BATCH "batch"         /**< kind of a job whose tasks end by themselves */
#define WIRE_SERVICE "daemon"      /**< kind of a job that runs until it is cancelled */
#define WIRE_JOB_ID_PREFIX "run-"  /**< prefix of each job id; digits follow */
/** @} */

/** @name Workers: heartbeats, their replies, and commands
 * @{ */
#define WIRE_MACHINE "Voiture"  /**< id of a machine */
#define WIRE_ADDRESS "Endpoint" /**< "IPv4:port" where a worker takes commands */
#define WIRE_MACHINE_TYPE "GabaritMachine" /**< name of a machine's type */
#define WIRE_AGENT_INCARNATION "Service"   /**< identifies one run of a machine's agent */
#define WIRE_SEQUENCE "Compteur"           /**< sequence number of a heartbeat */
#define WIRE_FENCING_TOKEN "Jeton"    /**< epoch of the owner that a command comes from */
#define WIRE_SPOT_NOTICE_S "PreavisS" /**< time until a spot instance is reclaimed */
#define WIRE_TASK "Course"            /**< index of a task in its job */
#define WIRE_ATTEMPT "Essai"          /**< id of one attempt to run a task */
#define WIRE_EXIT_REASON "Motif"      /**< why an attempt ended: an exit reason below */
#define WIRE_COMMANDS "Ordres"        /**< list of commands to a worker */
#define WIRE_COMMAND "Ordre"          /**< WIRE_START, WIRE_KILL or WIRE_CLEAR */
#define WIRE_GRACE_S "SursisS"        /**< time that a killed task has for a checkpoint */
#define WIRE_REDIRECT_TO "Centrale"   /**< controller that the worker should turn to */
#define WIRE_START "start"            /**< command: run an attempt */
#define WIRE_KILL "kill"              /**< command: stop an attempt */
#define WIRE_CLEAR "clear"            /**< command: forget an attempt that has ended */
#define WIRE_FETCHING "fetching"   /**< state of an attempt: the image is being pulled */
#define WIRE_SAVING "saving"       /**< state of an attempt: writes a checkpoint */
#define WIRE_ENDED "ended"         /**< state of an attempt: over */
#define WIRE_STOPPED "stopped"     /**< exit reason: killed by a command */
#define WIRE_SAVED "Saved"         /**< the attempt left a checkpoint */
#define WIRE_ERROR "error"         /**< exit reason: the task failed */
#define WIRE_NO_CAPACITY "no_room" /**< exit reason: the machine lacks free capacity */
#define WIRE_BUSY "busy"           /**< exit reason: an earlier attempt still runs here */
#define WIRE_NO_SUCH_JOB "no_such" /**< exit reason: the worker finds no such job */
/** @} */

/** @name Cloud: machine types, and machines that are provisioned and released
 * @{ */
#define WIRE_TYPE_NAME "Sku"            /**< name of a machine type */
#define WIRE_CACHE_GB "CacheGb"         /**< room for images on a machine's disk */
#define WIRE_PULL_GB_PER_S "PullGbPerS" /**< rate at which a machine pulls images */
#define WIRE_PRICE "Rate"               /**< price of an on-demand machine for an hour */
#define WIRE_SPOT_PRICE "SpotPrice"     /**< price of a spot instance, in the same unit */
#define WIRE_BOOT_S "ReadyS"  /**< time from the request until a machine is ready */
#define WIRE_ZONES "Secteurs" /**< zones that offer a type */
#define WIRE_REQUEST_ID "Reservation" /**< makes a request for machines idempotent */
#define WIRE_COUNT "HowMany"          /**< number of machines asked for */
#define WIRE_MACHINES "Flotte"        /**< list of machines */
#define WIRE_AGE_S "AgeS"             /**< time since a machine was provisioned */
#define WIRE_HAS_MORE                                                                    \
    "HasNext" /**< true if a further request, after the last item, gets more */
#define WIRE_BOOTING "starting" /**< state of a machine: not ready yet */
#define WIRE_BROKEN "failed"    /**< state of a machine: lost for good */
/** @} */

/** @name Key-value store: items, compare-and-swap transactions, leases and watches
 * @{ */
#define WIRE_KEY "K"            /**< key of an item */
#define WIRE_VALUE "V"          /**< value of an item */
#define WIRE_VERSION "Retouche" /**< revision at which an item was written last */
#define WIRE_REVISION "Tour"    /**< revision of the whole store */
#define WIRE_LEASE "Licence"    /**< id of the lease that an item is bound to */
#define WIRE_ITEMS "Pairs"      /**< list of items */
#define WIRE_CONDITIONS "If"    /**< conditions of a transaction */
#define WIRE_OPERATIONS "Apply" /**< operations of a transaction */
#define WIRE_PUT "Write"        /**< operation: write an item */
#define WIRE_DELETE "Remove"    /**< operation: delete an item */
#define WIRE_CONFLICTS "failed" /**< keys whose condition did not hold */
#define WIRE_TTL_MS "TtlMs"     /**< lifetime of a lease after each renewal */
#define WIRE_EVENTS "Events"    /**< list of changes of a watch */
/** @} */

/** @name Paths and query parameters of all interfaces
 * @{ */
#define WIRE_PATH_JOBS "/v1/jobs"    /**< controller: submissions and queries */
#define WIRE_PATH_CANCEL "/abort"    /**< controller, after a job's path: cancel it */
#define WIRE_PATH_READY "/ready"     /**< all services: readiness probe */
#define WIRE_PATH_HEARTBEAT "/hello" /**< controller: heartbeat of a worker */
#define WIRE_PATH_COMMANDS "/do"     /**< worker: commands pushed by a controller */
#define WIRE_PATH_SHOW "/show"       /**< worker: its status */
#define WIRE_PATH_MACHINE_TYPES "/machine_types" /**< cloud: list of machine types */
#define WIRE_PATH_MACHINES "/hosts"      /**< cloud: list and provisioning of machines */
#define WIRE_PATH_RETURN "/hosts/return" /**< cloud: release of machines */
#define WIRE_PATH_STORE "/store"         /**< store: reading of items */
#define WIRE_PATH_TXN "/multi"           /**< store: compare-and-swap transaction */
#define WIRE_PATH_LEASES "/holds"        /**< store: granting and revoking of leases */
#define WIRE_PATH_RENEW "/renew"         /**< store, after a lease's path: renew it */
#define WIRE_PATH_WATCH "/changes"  /**< store: watch, answered when an item changed */
#define WIRE_QUERY_PREFIX "Under"   /**< only keys with this prefix */
#define WIRE_QUERY_AFTER "After"    /**< only keys or revisions after this one */
#define WIRE_QUERY_LIMIT "Limit"    /**< maximum number of items in the reply */
#define WIRE_QUERY_WAIT_MS "WaitMs" /**< how long a watch may wait for a change */
/** @} */

#endif
