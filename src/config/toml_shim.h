/* TOML as a cJSON tree. Debian has no C library for today's TOML: this wraps toml++ in one call. */
#ifndef TW_CONFIG_TOML_SHIM_H
#define TW_CONFIG_TOML_SHIM_H
#include <cjson/cJSON.h>
#include <stddef.h>
#ifdef __cplusplus
extern "C" {
#endif
/* The document, which the caller deletes; NULL: the text is not TOML, and err has what the parser
 * says. Numbers become doubles; those that are not finite, dates and times become strings. */
cJSON *tw_config_toml_parse(const char *text, char *err, size_t errlen);
#ifdef __cplusplus
}
#endif
#endif
