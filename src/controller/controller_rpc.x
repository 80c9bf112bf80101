/* What controllers and the administration client say to a controller: XDR over TCP, record
 * marked, as ONC RPC. */

const LMN_RPC_MAX_NAME = 64;
const LMN_RPC_MAX_TEXT = 65536;
const LMN_RPC_MAX_ITEMS = 64;
const LMN_RPC_MAX_TEAMS = 4096; /* LMN_MAX_TEAMS */
const LMN_RPC_MAX_GOSSIP = 8;
const LMN_RPC_MAX_IMAGE_NAME = 128;
const LMN_RPC_MAX_MACHINES = 64;
const LMN_RPC_MAX_ATTEMPTS = 4096;

struct lmn_rpc_setting {
    string name<LMN_RPC_MAX_NAME>;
    double value;
};

struct lmn_rpc_settings {
    lmn_rpc_setting items<LMN_RPC_MAX_ITEMS>;
};

struct lmn_rpc_reply {
    int code;                     /* 0: done */
    string text<LMN_RPC_MAX_TEXT>;    /* what was shown, or what is wrong */
};

struct lmn_rpc_set_request {
    string name<LMN_RPC_MAX_NAME>;
    double value;
};

struct lmn_rpc_machine_request {
    string machine<LMN_RPC_MAX_NAME>;
};

/* Room for which a partition finds no work of its own. */
struct lmn_rpc_capacity {
    string type<LMN_RPC_MAX_NAME>;
    string zone<LMN_RPC_MAX_NAME>;
    bool spot;
    double cpus;
    double gpus;
    double mem;
};

struct lmn_rpc_team_quota {
    string name<LMN_RPC_MAX_NAME>;
    double cpus;
    double gpus;
};

struct lmn_rpc_steal_request {
    int thief;             /* the partition that asks */
    int victim;            /* the partition that is asked */
    lmn_rpc_capacity rooms<LMN_RPC_MAX_ITEMS>;
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

/* A member's word of itself, in seconds; deaf: the part of its machines that it does not
 * hear. */
struct lmn_rpc_health {
    double behind;
    double stale;
    double deaf;
};

/* What it says of another: ages in seconds, negative: never heard. */
struct lmn_rpc_gossip {
    string of<LMN_RPC_MAX_NAME>;
    unsigned hyper incarnation;
    double heard;
    double unanswered;
    unsigned visitors;
};

/* Are you there, and what do you know of another (empty: nobody in particular)? */
struct lmn_rpc_probe {
    string from<LMN_RPC_MAX_NAME>;
    string about<LMN_RPC_MAX_NAME>;
    lmn_rpc_health word;
    lmn_rpc_gossip said<LMN_RPC_MAX_GOSSIP>;
};

struct lmn_rpc_probe_reply {
    lmn_rpc_health word;
    lmn_rpc_gossip said<LMN_RPC_MAX_GOSSIP>;
};

/* What an owner tells its standby: an attempt that may be on a machine. */
struct lmn_rpc_attempt {
    string ref<LMN_RPC_MAX_NAME>;
    unsigned index;
    unsigned hyper number;
    unsigned state;               /* 1: ended, 3: ended and done */
};

struct lmn_rpc_image {
    string name<LMN_RPC_MAX_IMAGE_NAME>;
    double gb;
    bool there;
};

/* A machine, whole; state 1: gone, 2: to be forgotten, 4: with its images. */
struct lmn_rpc_machine {
    string name<LMN_RPC_MAX_NAME>;
    unsigned hyper session;
    unsigned state;
    lmn_rpc_attempt attempts<LMN_RPC_MAX_ATTEMPTS>;
    lmn_rpc_image images<LMN_RPC_MAX_ITEMS>;
};

struct lmn_rpc_replication_batch {
    int part;
    unsigned hyper term;
    unsigned hyper stream;
    unsigned hyper number;
    lmn_rpc_machine machines<LMN_RPC_MAX_MACHINES>;
};

/* Jobs whose withdrawal was committed, and told their users. */
struct lmn_rpc_job_id {
    string ref<LMN_RPC_MAX_NAME>;
};

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
        unsigned LMN_RPC_STALENESS(void) = 7;      /* of the mirror, in milliseconds */
        unsigned LMN_RPC_QUOTA(lmn_rpc_quota_request) = 8;    /* 1: something is on its way */
        lmn_rpc_probe_reply LMN_RPC_PROBE(lmn_rpc_probe) = 9;
        lmn_rpc_reply LMN_RPC_MEMBERS(unsigned) = 10;  /* 1: as JSON */
        unsigned LMN_RPC_REPLICATE(lmn_rpc_replication_batch) = 11;  /* 0: taken, 1: unknown, 2: refused */
        lmn_rpc_reply LMN_RPC_SHUTDOWN(unsigned) = 12;    /* 0: take part again, 1: leave */
        lmn_rpc_reply LMN_RPC_OWNERSHIP(void) = 13;
        unsigned LMN_RPC_TOMBSTONES(lmn_rpc_tombstones) = 14;  /* how many it did not know of */
    } = 1;
} = 0x2c0a5b41;
