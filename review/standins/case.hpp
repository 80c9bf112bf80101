// What the cases share: start, end, and the exit status. Arguments: a folder for
// temporary files, and the record's path. Exit status: 1 the rule was broken, 0 it held,
// 2 the case couldn't run. TROUBLE=0 in the environment leaves the disruption out.
#pragma once
#include "world.hpp"

struct Case {
    World &world;
    bool trouble = true;

    Case(World &w, int argc, char **argv) : world(w)
    {
        if (argc != 3) {
            fprintf(stderr, "usage: %s FOLDER RECORD\n", argv[0]);
            _exit(2);
        }
        const char *t = getenv("TROUBLE");
        trouble = !t || strcmp(t, "0") != 0;
        w.folder = argv[1];
        record_file = fopen(argv[2], "w");
        w.program = run_entry("deploy/service.toml");
        if (!record_file || w.program.empty())
            _exit(2);
        signal(SIGPIPE, SIG_IGN);
        record("case begins, TROUBLE=%d", trouble);
    }

    // Ends all processes and exits.
    [[noreturn]] void end(int status, const char *why)
    {
        bool ended = world.any_ended();
        if (ended && status == 0)
            status = 2;
        record("case ends with %d: %s", status, why);
        world.end_all();
        printf("%s: %s\n",
               status == 1   ? "broken"
               : status == 0 ? "held"
                             : "could not run",
               why);
        fflush(stdout);
        fflush(record_file);
        _exit(status);
    }

    void start()
    {
        world.start_services();
        if (!world.wait_ready(15, world.controllers.size()))
            end(2, "the controllers did not become ready");
    }
};
