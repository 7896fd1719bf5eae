/* Parses TOML into a cJSON tree. Debian has no C library for the current version of TOML, so this
 * file declares a wrapper of the C++ library toml++. */
#ifndef TW_CONFIG_TOML_SHIM_H
#define TW_CONFIG_TOML_SHIM_H
#include <cjson/cJSON.h>
#include <stddef.h>
#ifdef __cplusplus
extern "C" {
#endif
/* Returns the document as a cJSON object, which the caller deletes. If the text is not valid TOML,
 * returns NULL and writes the parser's message to err. Finite numbers become doubles; other
 * numbers, dates and times become strings. */
cJSON *tw_config_toml_parse(const char *text, char *err, size_t errlen);
#ifdef __cplusplus
}
#endif
#endif
