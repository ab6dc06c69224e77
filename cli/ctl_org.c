/**
 * @file ctl_org.c
 * gooseberryctl organisations: reads the metrics of the instance that owns the
 * pool.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/** Prefix of the names of the metrics of organisations. */
#define ORG_METRIC "gooseberry_org_"

/** Object of an organisation in a list; it is added when it is missing. */
static json_t *
org_find(json_t *list, const char *name)
{
	json_t *org;
	size_t i;

	json_array_foreach(list, i, org)
	{
		if (strcmp(json_string_value(json_object_get(org, "org")),
			name) == 0)
			return org;
	}
	org = json_pack("{s:s}", "org", name);
	json_array_append_new(list, org);
	return org;
}

/** Add the value of a line `gooseberry_org_FIGURE{org="NAME"} VALUE`; other
 * lines are ignored. */
static void
org_line(json_t *list, const char *line)
{
	char figure[GB_NAME_MAX + 1];
	char name[GB_NAME_MAX + 1];
	int64_t value;

	if (sscanf(line, ORG_METRIC "%63[a-z_]{org=\"%63[^\"]\"} %" SCNd64,
		figure, name, &value) == 3)
		json_object_set_new(
		    org_find(list, name), figure, json_integer(value));
}

json_t *
ctl_orgs_read(const char *metrics)
{
	json_t *list = json_array();
	const char *line = metrics;

	while (line != NULL) {
		org_line(list, line);
		line = strchr(line, '\n');
		if (line != NULL)
			line++;
	}
	return list;
}

enum ctl_exit
ctl_show_orgs(const struct ctl *ctl)
{
	static const char *const columns[] = {"org", "weight", "cpu_milli",
	    "cpu_quota_milli", "mem_mb", "mem_quota_mb", "flows_waiting",
	    "flows_accepted", "flows_over_share", "flows_refused",
	    "quota_waits", "core_seconds", "weight_share_percent", NULL};
	struct ctl_answer answer;
	enum ctl_exit code =
	    ctl_call(ctl, "GET", "/metrics", NULL, NULL, &answer);
	json_t *list;

	if (code == CTL_OK) {
		list = ctl_orgs_read(answer.body.data);
		if (ctl->json)
			json_dumpf(list, stdout, JSON_INDENT(1));
		else if (json_array_size(list) == 0)
			printf("no organisations: this instance does not own "
			       "the pool, or nothing was submitted\n");
		else
			ctl_show_table(list, columns);
		json_decref(list);
	}
	ctl_answer_clear(&answer);
	return code;
}
