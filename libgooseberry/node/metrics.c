/**
 * @file metrics.c
 * Counters and histograms of a node in the text format of Prometheus.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "connection/http.h"
#include "node_state.h"

/** Largest body of a request, in bytes. */
#define METRICS_BODY_MAX 1024
/** Organisations that have metrics; bounds the number of series. */
#define METRICS_ORGS_MAX 200

/** Add the messages and bytes of each kind of traffic that has occurred. */
static void
traffic_print(const struct gb_link *link, struct gb_text *out)
{
	unsigned int i;

	for (i = 0; i < GB_TRAFFIC_KINDS; i++) {
		const struct gb_traffic *t = gb_link_traffic(link, i);
		const char *name = gb_traffic_name(i);

		if (t->sent == 0 && t->in == 0)
			continue;
		gb_text_add(out,
		    "gooseberry_messages{kind=\"%s\"} %" PRIu64
		    "\ngooseberry_bytes_out{kind=\"%s\"} %" PRIu64
		    "\ngooseberry_bytes_in{kind=\"%s\"} %" PRIu64 "\n",
		    name, t->sent, name, t->out, name, t->in);
	}
}

/** Add the requests that this node has refused, by reason. */
static void
refusals_print(const struct refusals *refusals, struct gb_text *out)
{
	int i;

	for (i = 0; i < REFUSAL_REASONS; i++) {
		const struct refusal_list *list = &refusals->lists[i];
		const char *why = refusal_reason_name((enum refusal_reason)i);

		gb_text_add(out,
		    "gooseberry_requests_refused{why=\"%s\"} %" PRIu64
		    "\ngooseberry_requests_refused_unlisted{why=\"%s\"} "
		    "%" PRIu64 "\n",
		    why, list->total, why, list->omitted);
	}
}

/** Add one metric of an organisation. */
static void
org_print(
    struct gb_text *out, const char *metric, const char *org, int64_t value)
{
	gb_text_add(out, "gooseberry_org_%s{org=\"%s\"} %" PRId64 "\n", metric,
	    org, value);
}

/** Add the metrics of organisations, which only the owner of the pool has. */
static void
orgs_print(struct gb_pool *pool, struct gb_text *out)
{
	struct gb_pool_org_stat *orgs =
	    gb_calloc(METRICS_ORGS_MAX, sizeof(*orgs));
	size_t count = gb_pool_org_stats(pool, orgs, METRICS_ORGS_MAX);
	size_t i;

	for (i = 0; i < count; i++) {
		const struct gb_pool_org_stat *org = &orgs[i];

		org_print(out, "weight", org->name, org->weight);
		org_print(out, "cpu_milli", org->name, org->used.cpu);
		org_print(out, "cpu_quota_milli", org->name, org->quota.cpu);
		org_print(out, "mem_mb", org->name, org->used.mem);
		org_print(out, "mem_quota_mb", org->name, org->quota.mem);
		org_print(out, "flows_waiting", org->name, org->waiting);
		org_print(
		    out, "flows_accepted", org->name, (int64_t)org->accepted);
		org_print(out, "flows_over_share", org->name,
		    (int64_t)org->over_share);
		org_print(
		    out, "flows_refused", org->name, (int64_t)org->refused);
		org_print(
		    out, "quota_waits", org->name, (int64_t)org->quota_waits);
		org_print(out, "core_seconds", org->name, (int64_t)org->core_s);
		org_print(
		    out, "weight_share_percent", org->name, org->weight_share);
	}
	free(orgs);
}

void
gb_node_metrics(struct gb_node *node, struct gb_text *out)
{
	const struct gb_pool_stats *s = gb_pool_stats(node->pool);
	const struct gb_counter counters[] = {
	    {"gooseberry_flows_submitted", "Submissions.", s->submitted},
	    {"gooseberry_flows_accepted", "Flows taken in.", s->accepted},
	    {"gooseberry_flows_refused", "Flows turned away.", s->refused},
	    {"gooseberry_flows_refused_for_memory",
		"Of these, as the open flows took too much memory.",
		s->refused_for_memory},
	    {"gooseberry_flows_open_bytes", "Memory of the open flows.",
		s->flow_bytes},
	    {"gooseberry_flows_repeated", "Submissions of known flows.",
		s->repeated},
	    {"gooseberry_tombstones",
		"Cancels of flows that don't exist, kept for late submissions.",
		s->tombstones},
	    {"gooseberry_cancels_refused",
		"Cancels of flows that don't exist that could not be kept.",
		s->cancels_refused},
	    {"gooseberry_starts", "Orders to start a run.", s->starts},
	    {"gooseberry_starts_refused", "Of these, refused by the worker.",
		s->starts_refused},
	    {"gooseberry_starts_lost", "Of these, without an answer.",
		s->starts_lost},
	    {"gooseberry_starts_announced",
		"Writes that announce starts before they are sent.",
		s->announcements},
	    {"gooseberry_starts_held",
		"Tasks that an earlier owner may have sent to a worker.",
		s->starts_held},
	    {"gooseberry_stops", "Orders to stop a run.", s->stops},
	    {"gooseberry_stops_for_gangs", "Of these, to make room for gangs.",
		s->preempted},
	    {"gooseberry_holds", "Looks at workers.", s->heartbeats},
	    {"gooseberry_runs_done", "Runs that ended done.", s->done},
	    {"gooseberry_runs_failed", "Runs that failed.", s->failed},
	    {"gooseberry_runs_stopped", "Runs that were stopped.", s->stopped},
	    {"gooseberry_runs_lapsed", "Runs lost with a lease.", s->lapsed},
	    {"gooseberry_runs_crashed",
		"Runs lost with a worker whose lifetime ended.", s->crashed},
	    {"gooseberry_runs_gone",
		"Runs that their worker no longer lists, without an end.",
		s->gone},
	    {"gooseberry_workers_over",
		"Lifetimes of workers that were seen to have ended.",
		s->workers_ended},
	    {"gooseberry_flows_given_up",
		"Flows that failed since a task crashes its workers.",
		s->given_up},
	    {"gooseberry_runs_broken", "Runs whose gang broke.", s->broken},
	    {"gooseberry_runs_alone", "Runs whose gang never came.",
		s->incomplete},
	    {"gooseberry_advice_calls", "Calls for advice.", s->advice_calls},
	    {"gooseberry_advice_busy", "Of these, refused.", s->advice_busy},
	    {"gooseberry_advice_lost", "Of these, without an answer.",
		s->advice_lost},
	    {"gooseberry_workers_set_aside", "Workers set aside.",
		s->quarantined},
	    {"gooseberry_store_writes", "Transactions.", s->txns},
	    {"gooseberry_store_rows", "Rows written.", s->rows},
	    {"gooseberry_store_reads", "Reads.", s->reads},
	    {"gooseberry_store_conflicts", "Conditions that did not hold.",
		s->txn_conflicts},
	    {"gooseberry_flows_not_storable",
		"Writes of a flow that the store will never take.",
		s->flows_not_storable},
	    {"gooseberry_store_lost", "Writes without an answer.", s->txn_lost},
	    {"gooseberry_takeovers", "Times this node gained the pool.",
		s->takeovers},
	    {"gooseberry_takeovers_failed", "Claims that came to nothing.",
		s->takeovers_failed},
	    {"gooseberry_ownership_losses", "Times it lost it.", s->losses},
	    {"gooseberry_authority_lapses",
		"Times that nothing confirmed it as the owner.",
		s->authority_lapses},
	    {"gooseberry_log_dropped", "Lines left out of the log.",
		node->events == NULL ? 0 : gb_events_dropped(node->events)},
	    {"gooseberry_flows_shed",
		"Flows turned away since the owner's link is full.",
		node->flows_shed},
	    {"gooseberry_shed_percent",
		"Share that this owner tells members to turn away.",
		node->shed.percent},
	    {"gooseberry_owner", "1 while this node owns the pool.",
		gb_pool_owns(node->pool)},
	    {"gooseberry_epoch", "Newest epoch known.",
		gb_pool_epoch(node->pool)},
	    {"gooseberry_flows_open", "Flows that are not over.", s->flows},
	    {"gooseberry_runs_open", "Runs that are not over.", s->running},
	    {"gooseberry_workers", "Workers known.", s->workers},
	    {"gooseberry_config_version",
		"Version of the configuration in force.",
		node->config == NULL ? 0 : node->config->version},
	    {"gooseberry_config_newest",
		"Newest version that another node is known to have.",
		node->config_newest_known},
	    {"gooseberry_configs_unreadable",
		"Versions of the configuration that could not be read.",
		node->configs_unreadable},
	    {"gooseberry_orgs_bad",
		"Organisations and keys of versions that were left out.",
		node->orgs_bad},
	    {"gooseberry_entries_unreadable",
		"Entries of workers that are no object.",
		s->entry_errors[GB_POOL_ENTRY_UNREADABLE]},
	    {"gooseberry_entries_incomplete",
		"Entries that lack a field, or have one of another type.",
		s->entry_errors[GB_POOL_ENTRY_INCOMPLETE]},
	    {"gooseberry_entries_out_of_range",
		"Entries with a value that cannot be.",
		s->entry_errors[GB_POOL_ENTRY_RANGE]},
	    {"gooseberry_entries_unknown_state",
		"Entries with a state that nobody knows.",
		s->entry_errors[GB_POOL_ENTRY_STATE]},
	};

	gb_counter_print(out, counters, sizeof(counters) / sizeof(counters[0]));
	gb_histogram_print(out, "gooseberry_accept_us", "Submission to stored.",
	    &s->accept_us);
	gb_histogram_print(out, "gooseberry_first_start_us",
	    "Submission to first start.", &s->first_start_us);
	gb_histogram_print(out, "gooseberry_finish_us",
	    "Submission to success.", &s->finish_us);
	gb_histogram_print(
	    out, "gooseberry_advice_us", "Calls for advice.", &s->advice_us);
	gb_histogram_print(
	    out, "gooseberry_store_write_us", "Transactions.", &s->txn_us);
	gb_histogram_print(
	    out, "gooseberry_start_us", "Orders to start.", &s->start_us);
	gb_histogram_print(out, "gooseberry_takeover_us",
	    "Decision to ownership.", &s->takeover_us);
	owner_monitor_metrics(node, out);
	refusals_print(&node->refusals, out);
	node_ports_metrics(node, out);
	if (gb_pool_owns(node->pool))
		orgs_print(node->pool, out);
	if (gb_env_link(node->env) != NULL)
		traffic_print(node->env->link, out);
}

static void
on_request(void *data, struct http_call *call)
{
	struct gb_text text = {0};

	if (strcmp(call->path, "/metrics") != 0) {
		http_call_answer(call, 404, "text/plain", "", 0);
		return;
	}
	gb_node_metrics(data, &text);
	http_call_answer(call, 200, "text/plain; version=0.0.4", text.data,
	    strlen(text.data));
	gb_text_free(&text);
}

static void
on_limited(void *data, const struct conn_counts *counts)
{
	gb_node_port_limited(data, GB_NODE_METRICS, counts);
}

bool
node_metrics_serve(struct gb_node *node, struct gb_error *err)
{
	const struct conn_limits limits = {
	    (unsigned int)node->settings.probes, 0};
	struct http_server *server = http_server_new(node->loop,
	    node->settings.metrics, METRICS_BODY_MAX, on_request, node, err);

	if (server == NULL)
		return false;
	http_server_set_limits(server, &limits, on_limited, node);
	return true;
}
