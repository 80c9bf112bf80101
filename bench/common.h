/* What the measuring programs share. */
#ifndef LMN_BENCH_COMMON_H
#define LMN_BENCH_COMMON_H

#include "protocol/cbor.h"
#include "http/client.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Runs this program's lemonspar with the arguments (the first its name), its output
 * dropped; the exit status, -1 if it was ended. */
static inline int bench_run(const char *const *args)
{
    pid_t pid = fork();
    int status;

    if (pid == 0) {
        FILE *f = freopen("/dev/null", "w", stdout);
        execv(LMN_PROGRAM_PATH, (char *const *)args);
        _exit(f ? 127 : 126);
    }
    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* lemonspar site WORD --config FILE */
static inline int bench_site(const char *word, const char *file)
{
    const char *const args[] = {"lemonspar", "site", word, "--config", file, NULL};
    return bench_run(args);
}

/* A number of the metrics of whoever serves there; 0 if there is none. name: with what
 * stands before it and behind, as in "\nname ". */
static inline double bench_metric(const char *addr, const char *name)
{
    struct lmn_http_client *client = lmn_http_client_new(addr);
    GByteArray *in = g_byte_array_new();
    double v = 0;

    if (lmn_http_client_call(client, "GET", "/metrics", NULL, 5, in) == 200) {
        g_byte_array_append(in, (const guint8 *)"", 1);
        const char *at = strstr((char *)in->data, name);
        v = at ? g_ascii_strtod(at + strlen(name), NULL) : 0;
    }
    g_byte_array_unref(in);
    lmn_http_client_free(client);
    return v;
}

/* Resident memory of a process, MB; pid 0: this one. */
static inline double bench_resident_mb(int pid)
{
    char *path =
        pid ? g_strdup_printf("/proc/%d/status", pid) : g_strdup("/proc/self/status");
    char *text = NULL, *at;
    double mb = 0;

    if (g_file_get_contents(path, &text, NULL, NULL) && (at = strstr(text, "VmRSS:")))
        mb = g_ascii_strtod(at + strlen("VmRSS:"), NULL) / 1024;
    g_free(text);
    g_free(path);
    return mb;
}

#endif
