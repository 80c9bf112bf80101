/* libFuzzer: what a peer, a worker or a user may send. The first byte picks the reader.
 */
#include "job/job_spec.h"
#include "image_store/work.h"
#include "gateway/peer_connection.h"

#include <stdint.h>
#include <stddef.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    const char *bytes = (const char *)data + 1, *what;
    struct lmn_task_command w;
    lmn_gateway_rpc_request q;
    lmn_gateway_rpc_response r;

    if (len < 1)
        return 0;
    switch (data[0] % 3) {
    case 0:
        if (lmn_frame_request(bytes, len - 1, &q) == 0)
            xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_request, (char *)&q);
        return 0;
    case 1:
        if (lmn_frame_response(bytes, len - 1, &r) == 0)
            xdr_free((xdrproc_t)xdr_lmn_gateway_rpc_response, (char *)&r);
        return 0;
    default:
        if (lmn_task_command_decode(&w, bytes, len - 1, &what) == 0) {
            /* What was read is written alike. */
            GByteArray *b = lmn_task_command_encode(&w);
            g_byte_array_unref(b);
            lmn_task_command_clear(&w);
        }
        return 0;
    }
}
