/** @file
 * Estimates of the machines' image caches; see image_cache.h. The functions depend only
 * on the machine, the job and the time. */
#include "scheduler/image_cache.h"

/** Most images in a machine's list. */
enum { MAX_IMAGES = 64 };

/** Index of the image in the machine's list; -1 if it is not there.
 * @param name interned */
static int find_image(const struct lmn_machine *machine, const char *name)
{
    for (guint i = 0; i < machine->images->len; i++)
        if (g_array_index(machine->images, struct lmn_image, i).name == name)
            return (int)i;
    return -1;
}

bool lmn_machine_has_image(const struct lmn_machine *machine, const struct lmn_job *job)
{
    return find_image(machine, job->image) >= 0;
}

/** Seconds that a fetch of the job's image takes at the machine's full rate. */
static double full_fetch_s(const struct lmn_machine *machine, const struct lmn_job *job)
{
    return machine->type && machine->type->pull_gb_per_s > 0
               ? job->spec.image_gb / machine->type->pull_gb_per_s
               : 0;
}

double lmn_image_fetch_s(const struct lmn_machine *machine, const struct lmn_job *job,
                         struct timespec now)
{
    int index = find_image(machine, job->image);

    if (index < 0)
        return full_fetch_s(machine, job);
    const struct lmn_image *image =
        &g_array_index(machine->images, struct lmn_image, (guint)index);
    return image->ready_at.tv_sec ? MAX(lmn_time_diff_s(image->ready_at, now), 0) : 0;
}

/** Number of fetches in progress on the machine. */
static guint count_fetches(const struct lmn_machine *machine, struct timespec now)
{
    guint count = 0;

    for (guint i = 0; i < machine->images->len; i++) {
        const struct lmn_image *image =
            &g_array_index(machine->images, struct lmn_image, i);
        count += image->ready_at.tv_sec && lmn_time_before(now, image->ready_at);
    }
    return count;
}

/** Removes the least recently used images, as a worker does when its cache is full. The
 * most recently used image always stays, since a worker does not evict it. */
static void evict_images(struct lmn_machine *machine)
{
    double cached_gb = 0;

    for (guint i = 0; i < machine->images->len; i++)
        cached_gb += g_array_index(machine->images, struct lmn_image, i).gb;
    while (machine->images->len > 1 &&
           ((machine->type && cached_gb > machine->type->cache_gb) ||
            machine->images->len > MAX_IMAGES)) {
        cached_gb -= g_array_index(machine->images, struct lmn_image, 0).gb;
        g_array_remove_index(machine->images, 0);
    }
}

void lmn_machine_record_image(struct lmn_machine *machine, const struct lmn_job *job,
                              bool is_cached, struct timespec now)
{
    struct lmn_image image = {job->image, job->spec.image_gb, {0, 0}};
    int index = find_image(machine, job->image);

    if (index >= 0) {
        image.ready_at =
            g_array_index(machine->images, struct lmn_image, (guint)index).ready_at;
        g_array_remove_index(machine->images, (guint)index);
    } else if (!is_cached) {
        /* Each fetch in progress takes an equal part of the machine's rate. */
        double fetch_s = full_fetch_s(machine, job) * (1 + count_fetches(machine, now));
        image.ready_at = lmn_time_add(now, fetch_s);
    }
    if (is_cached)
        image.ready_at = (struct timespec){0, 0};
    g_array_append_val(machine->images, image);
    evict_images(machine);
}
