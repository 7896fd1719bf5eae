/* Maps the names of the core's interface used by main.c to those of the version in production, so
 * that tw_core_server can be built with the sources of that version (tests/earlier-version). Remove
 * this file once the version named by `production` in deploy/service.toml has the current names. */
#ifndef TW_CORE_SERVER_EARLIER_NAMES_H
#define TW_CORE_SERVER_EARLIER_NAMES_H

#define tw_effect tw_fx
#define tw_core_next_effect tw_core_next
#define tw_core_effect_free tw_core_fx_free
#define tw_core_pass_steps tw_core_steps
#define tw_config tw_conf
#define tw_config_parse tw_conf_parse
#define tw_config_free tw_conf_free

#endif
