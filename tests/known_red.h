/* Checks of a test that are listed in KNOWN-RED.txt as TEST PROGRAM/TEST. */
#ifndef LMN_TESTS_KNOWN_RED_H
#define LMN_TESTS_KNOWN_RED_H

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Whether the test's listed check is passed over: its caller prints a failure in place of
 * failing. LMN_KNOWN_RED_TEST has the test's name; tests/run sets it from KNOWN-RED.txt.
 */
static inline bool is_known_red(const char *test_name)
{
    const char *listed = getenv("LMN_KNOWN_RED_TEST");

    return listed && !strcmp(listed, test_name);
}

#endif
