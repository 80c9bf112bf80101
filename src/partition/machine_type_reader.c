/* Updates the machine types in core->cloud from the cloud's API. */
#include "partition/machine_type_reader.h"

#include "util/log.h"

#include <string.h>

/* Further machine types of the cloud are ignored. */
enum { MAX_MACHINE_TYPES = 256 };

/* Finds or adds the type with the given name. Returns NULL if the table is full. */
static struct lmn_machine_type *find_or_add_type(struct lmn_machine_types *types,
                                                 const char *name)
{
    size_t i = 0;

    while (i < types->count && strcmp(types->types[i].name, name) != 0)
        i++;
    if (i == MAX_MACHINE_TYPES)
        return NULL;
    if (i == types->count) {
        g_strlcpy(types->types[i].name, name, sizeof types->types[i].name);
        types->count++;
    }
    return &types->types[i];
}

bool lmn_machine_types_read(struct lmn_core *core, struct lmn_cloud_client *cloud)
{
    struct lmn_machine_types *types = &core->cloud.machine_types;
    struct lmn_cbor_document document;
    const struct lmn_cbor_value *list;
    char name[LMN_NAME_SIZE];

    if (!lmn_cloud_client_get_types(cloud, &document, &list))
        return false;
    pthread_mutex_lock(&core->lock);
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&document, list); node;
         node = lmn_cbor_next(&document, node)) {
        if (!lmn_cloud_parse_type_name(&document, node, name, sizeof name))
            continue;
        struct lmn_machine_type *type = find_or_add_type(types, name);
        if (!type)
            break;
        lmn_cloud_parse_type(type, &document, node);
    }
    if (!core->cloud.machine_types_known)
        lmn_info("machine_types_received count=%zu", types->count);
    core->cloud.machine_types_known = types->count > 0;
    pthread_mutex_unlock(&core->lock);
    lmn_cbor_free(&document);
    return true;
}
