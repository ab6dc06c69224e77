/**
 * @file member_source.c
 * Source address of connections of gooseberry-node-shifted, the node that the
 * soak runs.  The linker replaces uv_tcp_connect by the function here, which
 * connects from the address in SOAK_SOURCE, so that the soak's proxies know
 * which node has connected.
 */
#include <stdlib.h>
#include <uv.h>

int __real_uv_tcp_connect(
    uv_connect_t *, uv_tcp_t *, const struct sockaddr *, uv_connect_cb);
int __wrap_uv_tcp_connect(
    uv_connect_t *, uv_tcp_t *, const struct sockaddr *, uv_connect_cb);

int
__wrap_uv_tcp_connect(uv_connect_t *req, uv_tcp_t *tcp,
    const struct sockaddr *addr, uv_connect_cb done)
{
	const char *source = getenv("SOAK_SOURCE");
	struct sockaddr_in sin;
	int status;

	if (source != NULL && uv_ip4_addr(source, 0, &sin) == 0) {
		status = uv_tcp_bind(tcp, (struct sockaddr *)&sin, 0);
		if (status != 0)
			return status;
	}
	return __real_uv_tcp_connect(req, tcp, addr, done);
}
