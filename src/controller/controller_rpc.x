/* The messages of a controller's internal address: XDR over TCP, record marked, as ONC RPC.
 *
 * The administration client and the other controllers send them; controller/rpc_server.c
 * answers. The order and the types of fields are on the wire, their names are not. A
 * procedure is never renumbered: controllers of two versions run side by side during an
 * upgrade. */

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
    int code;                      /* 0: done */
    string text<LMN_RPC_MAX_TEXT>; /* the report, or what is wrong */
};

struct lmn_rpc_set_request {
    string name<LMN_RPC_MAX_NAME>;
    double value;
};

struct lmn_rpc_machine_request {
    string machine<LMN_RPC_MAX_NAME>;
};

/* --- work stealing and quota --- */

/* Free capacity of one kind of machine, for which a partition has no work of its own. */
struct lmn_rpc_capacity {
    string type<LMN_RPC_MAX_NAME>;
    string zone<LMN_RPC_MAX_NAME>;
    bool is_spot;
    double cpus;
    double gpus;
    double memory_gb;
};

/* What a team's quota leaves free in the thief's partition. */
struct lmn_rpc_team_quota {
    string name<LMN_RPC_MAX_NAME>;
    double cpus;
    double gpus;
};

struct lmn_rpc_steal_request {
    int thief;  /* the partition with free capacity */
    int victim; /* the partition that may transfer tasks to it */
    lmn_rpc_capacity capacities<LMN_RPC_MAX_ITEMS>;
    lmn_rpc_team_quota teams<LMN_RPC_MAX_TEAMS>;
};

/* A partition is short of a team's quota: by how much at best, and at least for one task. */
struct lmn_rpc_quota_request {
    int thief;
    int victim;
    string team<LMN_RPC_MAX_NAME>;
    double cpus;
    double gpus;
    double least_cpus;
    double least_gpus;
};

/* --- membership --- */

/* What a member says of its own health. */
struct lmn_rpc_health {
    double delay_s;              /* how late it does what is due */
    double cache_age_s;          /* of its watch cache */
    double silent_machine_share; /* of its machines: those without recent heartbeats */
};

/* What a member says of another; ages in seconds. */
struct lmn_rpc_gossip {
    string member<LMN_RPC_MAX_NAME>;
    unsigned hyper incarnation;
    double last_contact_age_s;   /* negative: never */
    double unanswered_age_s;     /* since the first probe without an answer; 0: none */
    unsigned redirected_workers; /* workers of it that came here */
};

/* A probe; `about`: the member that is to be probed too, empty: none. */
struct lmn_rpc_probe {
    string from<LMN_RPC_MAX_NAME>;
    string about<LMN_RPC_MAX_NAME>;
    lmn_rpc_health health;
    lmn_rpc_gossip gossip<LMN_RPC_MAX_GOSSIP>;
};

struct lmn_rpc_probe_reply {
    lmn_rpc_health health;
    lmn_rpc_gossip gossip<LMN_RPC_MAX_GOSSIP>;
};

/* --- replication --- */

const LMN_RPC_ATTEMPT_ENDED = 1;
const LMN_RPC_ATTEMPT_DONE = 2; /* with LMN_RPC_ATTEMPT_ENDED */

/* An attempt that may be on a machine. */
struct lmn_rpc_attempt {
    string job_id<LMN_RPC_MAX_NAME>;
    unsigned index;
    unsigned hyper number;
    unsigned state; /* LMN_RPC_ATTEMPT_... */
};

struct lmn_rpc_image {
    string name<LMN_RPC_MAX_IMAGE_NAME>;
    double gb;
    bool is_present;
};

const LMN_RPC_MACHINE_TERMINATED = 1;
const LMN_RPC_MACHINE_FORGOTTEN = 2;
const LMN_RPC_MACHINE_WITH_IMAGES = 4;

/* A machine's whole state, as its owner replicates it. */
struct lmn_rpc_machine {
    string name<LMN_RPC_MAX_NAME>;
    unsigned hyper agent_incarnation;
    unsigned state; /* LMN_RPC_MACHINE_... */
    lmn_rpc_attempt attempts<LMN_RPC_MAX_ATTEMPTS>;
    lmn_rpc_image images<LMN_RPC_MAX_ITEMS>;
};

/* A batch of a replication stream. */
struct lmn_rpc_replication_batch {
    int partition;
    unsigned hyper epoch;
    unsigned hyper stream;
    unsigned hyper number;
    lmn_rpc_machine machines<LMN_RPC_MAX_MACHINES>;
};

/* --- tombstones --- */

struct lmn_rpc_job_id {
    string job_id<LMN_RPC_MAX_NAME>;
};

/* Jobs whose cancellation was committed, and of which users have been told. */
struct lmn_rpc_tombstones {
    lmn_rpc_job_id jobs<LMN_RPC_MAX_ITEMS>;
};

program LMN_RPC_PROGRAM {
    version LMN_RPC_VERSION_1 {
        void LMN_RPC_PING(void) = 0;
        lmn_rpc_reply LMN_RPC_STATUS(void) = 1;
        lmn_rpc_settings LMN_RPC_SETTINGS_GET(void) = 2;
        lmn_rpc_reply LMN_RPC_SETTINGS_SET(lmn_rpc_set_request) = 3;
        lmn_rpc_reply LMN_RPC_DRAIN(lmn_rpc_machine_request) = 4;
        unsigned LMN_RPC_LOAD(lmn_rpc_steal_request) = 5;
        unsigned LMN_RPC_STEAL(lmn_rpc_steal_request) = 6;
        unsigned LMN_RPC_STALENESS(void) = 7;      /* of the watch cache, in milliseconds */
        unsigned LMN_RPC_QUOTA(lmn_rpc_quota_request) = 8;    /* 1: some is being transferred */
        lmn_rpc_probe_reply LMN_RPC_PROBE(lmn_rpc_probe) = 9;
        lmn_rpc_reply LMN_RPC_MEMBERS(unsigned) = 10;  /* 1: as JSON */
        unsigned LMN_RPC_REPLICATE(lmn_rpc_replication_batch) = 11;  /* enum lmn_replica_result */
        lmn_rpc_reply LMN_RPC_SHUTDOWN(unsigned) = 12;    /* 0: cancel a shutdown, 1: shut down */
        lmn_rpc_reply LMN_RPC_OWNERSHIP(void) = 13;
        unsigned LMN_RPC_TOMBSTONES(lmn_rpc_tombstones) = 14;  /* how many were not known yet */
    } = 1;
} = 0x2c0a5b41;
