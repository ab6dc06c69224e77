/**
 * @file ctl_http.c
 * HTTP calls of gooseberryctl to an entry, through libcurl.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "ctl.h"

#define URL_MAX 1024
/** An answer is awaited this long after the deadline. */
#define ANSWER_GRACE_MS 5000

static size_t
on_body(char *data, size_t size, size_t count, void *arg)
{
	struct ctl_answer *answer = arg;

	gb_text_add(&answer->body, "%.*s", (int)(size * count), data);
	return size * count;
}

static size_t
on_header(char *data, size_t size, size_t count, void *arg)
{
	struct ctl_answer *answer = arg;
	char line[256];

	snprintf(line, sizeof(line), "%.*s", (int)(size * count), data);
	sscanf(line, "gooseberry-verdict: %23s", answer->verdict);
	sscanf(line, "etag: %31s", answer->etag);
	sscanf(line, "gooseberry-job: %63s", answer->job);
	return size * count;
}

static struct curl_slist *
headers_make(const struct ctl *ctl, const char *header)
{
	struct curl_slist *list;
	char text[256];

	snprintf(text, sizeof(text), "Authorization: Bearer %s", ctl->token);
	list = curl_slist_append(NULL, text);
	list = curl_slist_append(list, "Expect:");
	snprintf(text, sizeof(text), "Deadline-Ms: %lu", ctl->deadline_ms);
	list = curl_slist_append(list, text);
	if (header != NULL)
		list = curl_slist_append(list, header);
	return list;
}

/** Print the problem details of an answer; returns the exit code. */
static enum ctl_exit
problem_print(const struct ctl_answer *answer)
{
	json_t *root = answer->body.data == NULL
			   ? NULL
			   : json_loads(answer->body.data, 0, NULL);
	const char *detail = json_string_value(json_object_get(root, "detail"));
	json_t *retry = json_object_get(root, "retry_after_ms");

	fprintf(stderr, "gooseberryctl: %s (%ld, %s)",
	    detail == NULL ? "refused" : detail, answer->status,
	    answer->verdict[0] == '\0' ? "not_run" : answer->verdict);
	if (json_is_integer(retry))
		fprintf(stderr, ", try again in %lld ms",
		    (long long)json_integer_value(retry));
	fprintf(stderr, "\n");
	json_decref(root);
	if (answer->status == 412 || answer->status == 409)
		return CTL_CONFLICT;
	if (strcmp(answer->verdict, "may_have_run") == 0)
		return CTL_MAY_HAVE_RUN;
	return answer->status == 400 ? CTL_INVALID : CTL_NOT_RUN;
}

enum ctl_exit
ctl_call(const struct ctl *ctl, const char *method, const char *path,
    const char *header, const char *body, struct ctl_answer *answer)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = headers_make(ctl, header);
	char url[URL_MAX];
	CURLcode code;

	memset(answer, 0, sizeof(*answer));
	snprintf(url, sizeof(url), "%s%s", ctl->server, path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, answer);
	curl_easy_setopt(
	    easy, CURLOPT_TIMEOUT_MS, (long)ctl->deadline_ms + ANSWER_GRACE_MS);
	if (body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	if (code != CURLE_OK) {
		fprintf(stderr, "gooseberryctl: %s: %s\n", ctl->server,
		    curl_easy_strerror(code));
		return CTL_UNREACHABLE;
	}
	if (answer->status == 404 && ctl->quiet)
		return CTL_NOT_RUN;
	if (answer->status / 100 != 2)
		return problem_print(answer);
	if (answer->body.data == NULL)
		gb_text_add(&answer->body, "%s", "");
	return CTL_OK;
}

void
ctl_answer_clear(struct ctl_answer *answer)
{
	gb_text_free(&answer->body);
}
