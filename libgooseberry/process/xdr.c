/**
 * @file xdr.c
 * XDR encoding and decoding of messages in memory.
 */
#include <stdlib.h>
#include <string.h>

#include "gooseberry.h"

bool
gb_xdr_encode(xdrproc_t proc, const void *msg, gb_body *out)
{
	unsigned long size = xdr_sizeof(proc, (void *)(uintptr_t)msg);
	XDR xdrs;
	bool ok;

	out->gb_body_len = 0;
	out->gb_body_val = gb_calloc(1, size);
	xdrmem_create(&xdrs, out->gb_body_val, (u_int)size, XDR_ENCODE);
	ok = proc(&xdrs, (void *)(uintptr_t)msg);
	if (ok) {
		out->gb_body_len = xdr_getpos(&xdrs);
	} else {
		free(out->gb_body_val);
		out->gb_body_val = NULL;
	}
	xdr_destroy(&xdrs);
	return ok;
}

bool
gb_xdr_decode(xdrproc_t proc, const gb_body *in, void *msg)
{
	XDR xdrs;
	bool ok;

	xdrmem_create(&xdrs, in->gb_body_val, in->gb_body_len, XDR_DECODE);
	ok = proc(&xdrs, msg);
	xdr_destroy(&xdrs);
	if (!ok)
		xdr_free(proc, msg);
	return ok;
}

/* The missing fields at the end are tried as zero bytes, one unit more at a
 * time. */
bool
gb_xdr_decode_older(xdrproc_t proc, const gb_body *row, void *out, size_t size,
    unsigned int missing_max)
{
	gb_body padded = *row;
	bool ok = false;
	unsigned int i;

	padded.gb_body_val =
	    gb_calloc(1, row->gb_body_len + missing_max * BYTES_PER_XDR_UNIT);
	if (row->gb_body_len > 0)
		memcpy(padded.gb_body_val, row->gb_body_val, row->gb_body_len);
	for (i = 0; i <= missing_max && !ok; i++) {
		memset(out, 0, size);
		ok = gb_xdr_decode(proc, &padded, out);
		padded.gb_body_len += BYTES_PER_XDR_UNIT;
	}
	free(padded.gb_body_val);
	return ok;
}

bool
gb_xdr_copy(xdrproc_t proc, const void *from, void *to, size_t size)
{
	gb_body body;
	bool ok;

	memset(to, 0, size);
	if (!gb_xdr_encode(proc, from, &body))
		return false;
	ok = gb_xdr_decode(proc, &body, to);
	free(body.gb_body_val);
	return ok;
}
