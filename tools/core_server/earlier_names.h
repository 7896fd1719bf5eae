/* Names of the core's interface in the version in production, for a tw_core_server that is built
 * with that version's sources (tests/earlier-version): each name that main.c uses today, as it was
 * called then. To be dropped once `production` in deploy/service.toml has today's names. */
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
