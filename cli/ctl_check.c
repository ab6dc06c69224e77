/**
 * @file ctl_check.c
 * gooseberryctl check: checks settings and documents without a server.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "node/node.h"

/** Size of the buffer for a file, in bytes; the rest is not read. */
#define FILE_MAX (1024 * 1024)

char *
ctl_file_read(const char *file)
{
	FILE *f = fopen(file, "r");
	char *text;
	size_t len;

	if (f == NULL) {
		fprintf(stderr, "gooseberryctl: %s: cannot be opened\n", file);
		return NULL;
	}
	text = gb_calloc(1, FILE_MAX);
	len = fread(text, 1, FILE_MAX - 1, f);
	text[len] = '\0';
	fclose(f);
	return text;
}

static void
dcs_add(struct gb_dcs *dcs, const char *name)
{
	if (dcs->count < GB_DCS_MAX && name != NULL)
		snprintf(dcs->name[dcs->count++], GB_NAME_MAX + 1, "%s", name);
}

/** Get the data centres of --dcs.  Without the option, every data centre in the
 * document counts as known. */
static void
dcs_read(const struct ctl *ctl, const json_t *doc, struct gb_dcs *dcs)
{
	const json_t *list =
	    json_object_get(json_object_get(doc, "placement"), "dcs");
	const json_t *item;
	char *copy;
	char *save = NULL;
	char *name;
	size_t i;

	memset(dcs, 0, sizeof(*dcs));
	if (ctl->dcs == NULL) {
		json_array_foreach(list, i, item)
		{
			dcs_add(dcs, json_string_value(item));
		}
		return;
	}
	copy = gb_strdup(ctl->dcs);
	for (name = strtok_r(copy, ",", &save); name != NULL;
	     name = strtok_r(NULL, ",", &save))
		dcs_add(dcs, name);
	free(copy);
}

/** Kind of a file: as given with --as, else by a setting that only this kind
 * has. */
static const char *
file_kind(const struct ctl *ctl, const json_t *root)
{
	if (ctl->as != NULL)
		return ctl->as;
	if (json_object_get(root, "ready") != NULL)
		return "node";
	if (json_object_get(root, "store") != NULL)
		return "sched";
	if (json_object_get(root, "scheds") != NULL)
		return "entry";
	return "document";
}

enum ctl_exit
ctl_check(const struct ctl *ctl, const char *file)
{
	static struct gb_sched_settings sched;
	static struct gb_entry_settings entry;
	static struct gb_node_settings node;
	char *text = ctl_file_read(file);
	struct gb_error err = {0};
	struct gb_dcs dcs;
	struct gb_doc doc;
	json_t *root;
	const char *kind;
	bool ok;

	if (text == NULL)
		return CTL_INVALID;
	root = json_loads(text, 0, NULL);
	kind = file_kind(ctl, root);
	if (strcmp(kind, "sched") == 0) {
		ok = gb_settings_parse(gb_sched_settings_table,
		    gb_sched_settings_count, &sched, file, text, strlen(text),
		    &err);
	} else if (strcmp(kind, "entry") == 0) {
		ok = gb_settings_parse(gb_entry_settings_table,
		    gb_entry_settings_count, &entry, file, text, strlen(text),
		    &err);
	} else if (strcmp(kind, "node") == 0) {
		ok = gb_settings_parse(gb_node_settings_table,
		    gb_node_settings_count, &node, file, text, strlen(text),
		    &err);
	} else {
		dcs_read(ctl, root, &dcs);
		ok = gb_doc_parse(&doc, &dcs, text, strlen(text), &err);
	}
	if (!ok)
		fprintf(stderr, "%s%s%s\n",
		    strcmp(kind, "document") == 0 ? file : "",
		    strcmp(kind, "document") == 0 ? ":" : "", err.text);
	else
		printf("%s: a valid %s\n", file, kind);
	json_decref(root);
	free(text);
	return ok ? CTL_OK : CTL_INVALID;
}
