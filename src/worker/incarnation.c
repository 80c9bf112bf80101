/** @file
 * Allocates incarnation numbers (worker/incarnation.h). */
#include "worker/incarnation.h"
#include "util/log.h"
#include "util/process.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

uint64_t lmn_worker_next_incarnation(struct lmn_worker *worker)
{
    g_autofree char *path = g_build_filename(worker->options->directory, "session", NULL);
    g_autofree char *text = NULL;
    char line[32];
    uint64_t last = 0;

    if (g_file_get_contents(path, &text, NULL, NULL))
        last = g_ascii_strtoull(text, NULL, 10);
    last = MAX(last, worker->incarnation) + 1;
    int len = g_snprintf(line, sizeof line, "%" G_GUINT64_FORMAT "\n", last);
    if (lmn_file_replace_durably(path, line, (size_t)len) != 0) {
        /* After a restart this number could be allocated again: controllers would take
         * the tasks of two incarnations for those of one. */
        lmn_error("agent_incarnation_write_failed path=%s error=\"%s\"", path,
                  strerror(errno));
        _exit(1);
    }
    worker->incarnation = last;
    return last;
}
