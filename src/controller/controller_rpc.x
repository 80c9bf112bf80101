/* The ONC RPC protocol of a controller's internal address: XDR over TCP with record marking.
 *
 * The administration client and the other controllers send the calls; controller/rpc_server.c
 * answers them. The order and types of fields are part of the wire format, their names are
 * not. A procedure is never renumbered, because controllers of two versions run side by side
 * during an upgrade. */

const LMN_RPC_MAX_NAME = 64;
const LMN_RPC_MAX_TEXT = 65536;
const LMN_RPC_MAX_ITEMS = 64;
const LMN_RPC_MAX_TEAMS = 4096; /* LMN_MAX_TEAMS */
const LMN_RPC_MAX_GOSSIP = 8;
const LMN_RPC_MAX_IMAGE_NAME = 128;
const LMN_RPC_MAX_MACHINES = 64;
const LMN_RPC_MAX_ATTEMPTS = 4096;

/* --- administration --- */

/* An operator setting. */
struct lmn_rpc_setting {
    string name<LMN_RPC_MAX_NAME>;
    double value;
};

struct lmn_rpc_settings {
    lmn_rpc_setting items<LMN_RPC_MAX_ITEMS>;
};

struct lmn_rpc_reply {
    int code;                      /* 0: success */
    string text<LMN_RPC_MAX_TEXT>; /* the report, or the error text */
};

struct lmn_rpc_set_request {
    string name<LMN_RPC_MAX_NAME>;
    double value;
};

struct lmn_rpc_machine_request {
    string machine<LMN_RPC_MAX_NAME>;
};

/* --- work stealing and quota --- */

/* Free capacity of a partition for which it has no queued tasks of its own, on all machines
 * with the same type, zone and spot flag. */
struct lmn_rpc_capacity {
    string type<LMN_RPC_MAX_NAME>;
    string zone<LMN_RPC_MAX_NAME>;
    bool is_spot;
    double cpus;
    double gpus;
    double memory_gb;
};

/* The unused part of a team's quota in the thief's partition. */
struct lmn_rpc_team_quota {
    string name<LMN_RPC_MAX_NAME>;
    double cpus;
    double gpus;
};

struct lmn_rpc_steal_request {
    int thief;  /* the partition with free capacity */
    int victim; /* the partition that is asked to transfer tasks to the thief */
    lmn_rpc_capacity capacities<LMN_RPC_MAX_ITEMS>;
    lmn_rpc_team_quota teams<LMN_RPC_MAX_TEAMS>;
};

/* A request for quota of a team. */
struct lmn_rpc_quota_request {
    int thief;  /* the partition that needs quota */
    int victim; /* the partition that is asked to transfer some */
    string team<LMN_RPC_MAX_NAME>;
    double cpus; /* that the team's queued tasks could use */
    double gpus;
    double least_cpus; /* without which the largest queued task could never start */
    double least_gpus;
};

/* --- membership --- */

/* The health that a member reports of itself. */
struct lmn_rpc_health {
    double delay_s;              /* how late its periodic tasks run */
    double cache_age_s;          /* age of its watch cache */
    double silent_machine_share; /* share of its machines without recent heartbeats, 0 to 1 */
};

/* What a member reports about another member. */
struct lmn_rpc_gossip {
    string member<LMN_RPC_MAX_NAME>;
    unsigned hyper incarnation;
    double last_contact_age_s;   /* time since the last contact; negative: never */
    double unanswered_age_s;     /* time since the first unanswered probe; 0: none */
    unsigned redirected_workers; /* workers of that member that sent heartbeats here */
};

/* A probe. */
struct lmn_rpc_probe {
    string from<LMN_RPC_MAX_NAME>;
    string about<LMN_RPC_MAX_NAME>; /* a member that the receiver should probe; "": none */
    lmn_rpc_health health;
    lmn_rpc_gossip gossip<LMN_RPC_MAX_GOSSIP>;
};

struct lmn_rpc_probe_reply {
    lmn_rpc_health health;
    lmn_rpc_gossip gossip<LMN_RPC_MAX_GOSSIP>;
};

/* --- replication --- */

const LMN_RPC_ATTEMPT_ENDED = 1;
const LMN_RPC_ATTEMPT_DONE = 2; /* succeeded; only with LMN_RPC_ATTEMPT_ENDED */

/* An attempt of a task that may be on a machine. */
struct lmn_rpc_attempt {
    string job_id<LMN_RPC_MAX_NAME>;
    unsigned index;        /* of the task in the job */
    unsigned hyper number; /* of the attempt */
    unsigned state;        /* LMN_RPC_ATTEMPT_... flags */
};

struct lmn_rpc_image {
    string name<LMN_RPC_MAX_IMAGE_NAME>;
    double gb;
    bool is_present;
};

const LMN_RPC_MACHINE_TERMINATED = 1;
const LMN_RPC_MACHINE_FORGOTTEN = 2;
const LMN_RPC_MACHINE_WITH_IMAGES = 4; /* `images` is valid; otherwise they are unchanged */

/* The state of a machine as its partition's owner replicates it. */
struct lmn_rpc_machine {
    string name<LMN_RPC_MAX_NAME>;
    unsigned hyper agent_incarnation;
    unsigned state; /* LMN_RPC_MACHINE_... flags */
    lmn_rpc_attempt attempts<LMN_RPC_MAX_ATTEMPTS>;
    lmn_rpc_image images<LMN_RPC_MAX_ITEMS>;
};

/* A batch of a replication stream. */
struct lmn_rpc_replication_batch {
    int partition;
    unsigned hyper epoch;  /* of the partition's ownership */
    unsigned hyper stream; /* id of the stream */
    unsigned hyper number; /* of the batch in the stream */
    lmn_rpc_machine machines<LMN_RPC_MAX_MACHINES>;
};

/* --- tombstones --- */

struct lmn_rpc_job_id {
    string job_id<LMN_RPC_MAX_NAME>;
};

/* Jobs whose cancellation was committed and has been confirmed to users. */
struct lmn_rpc_tombstones {
    lmn_rpc_job_id jobs<LMN_RPC_MAX_ITEMS>;
};

/* --- unschedulable tasks --- */

struct lmn_rpc_zone {
    string name<LMN_RPC_MAX_NAME>;
};

/* Queued tasks of a job for which no machine has had free capacity for long. */
struct lmn_rpc_unschedulable {
    string job_id<LMN_RPC_MAX_NAME>;
    unsigned tasks;
    double waited_s;
    lmn_rpc_zone zones<LMN_RPC_MAX_ITEMS>; /* in which they may start; empty: any */
};

/* All such tasks of a partition; replaces the list sent before. */
struct lmn_rpc_unschedulable_list {
    int partition;
    unsigned hyper epoch; /* of the partition's ownership */
    lmn_rpc_unschedulable items<LMN_RPC_MAX_ITEMS>;
};

program LMN_RPC_PROGRAM {
    version LMN_RPC_VERSION_1 {
        void LMN_RPC_PING(void) = 0;
        lmn_rpc_reply LMN_RPC_STATUS(void) = 1;
        lmn_rpc_settings LMN_RPC_SETTINGS_GET(void) = 2;
        lmn_rpc_reply LMN_RPC_SETTINGS_SET(lmn_rpc_set_request) = 3;
        lmn_rpc_reply LMN_RPC_DRAIN(lmn_rpc_machine_request) = 4;
        unsigned LMN_RPC_LOAD(lmn_rpc_steal_request) = 5;  /* tasks the thief could start */
        unsigned LMN_RPC_STEAL(lmn_rpc_steal_request) = 6;  /* tasks being transferred */
        unsigned LMN_RPC_STALENESS(void) = 7;  /* age of the watch cache in milliseconds */
        unsigned LMN_RPC_QUOTA(lmn_rpc_quota_request) = 8;  /* 1: quota is being transferred */
        lmn_rpc_probe_reply LMN_RPC_PROBE(lmn_rpc_probe) = 9;
        lmn_rpc_reply LMN_RPC_MEMBERS(unsigned) = 10;  /* argument 1: as JSON */
        unsigned LMN_RPC_REPLICATE(lmn_rpc_replication_batch) = 11;  /* enum lmn_replica_result */
        lmn_rpc_reply LMN_RPC_SHUTDOWN(unsigned) = 12;  /* argument 0: cancel, 1: shut down */
        lmn_rpc_reply LMN_RPC_OWNERSHIP(void) = 13;
        unsigned LMN_RPC_TOMBSTONES(lmn_rpc_tombstones) = 14;  /* number not known before */
        unsigned LMN_RPC_UNSCHEDULABLE(lmn_rpc_unschedulable_list) = 15;  /* known entries */
    } = 1;
} = 0x2c0a5b41;
