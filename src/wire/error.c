/* Descriptions of the package's errors. */
#include "wire/wire.h"

const char *tw_wire_strerror(tw_wire_error error) {
    return error == TW_WIRE_OK ? "no error" : "malformed message";
}
