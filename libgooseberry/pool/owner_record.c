/**
 * @file owner_record.c
 * The owner's row of a partition, as it is stored.
 */
#include "pool.h"

/** Encodes or decodes a row.  Rows of older programs, which don't count
 * contention, end before the count; these programs ignore what follows the
 * row. */
static bool_t
owner_record_xdr(XDR *xdrs, struct gb_owner_record *record)
{
	if (!xdr_gb_owner_row(xdrs, &record->row))
		return FALSE;
	if (xdr_uint32_t(xdrs, &record->contested))
		return TRUE;
	record->contested = 0;
	return xdrs->x_op == XDR_DECODE;
}

bool
gb_owner_record_encode(const struct gb_owner_record *record, gb_body *body)
{
	return gb_xdr_encode((xdrproc_t)owner_record_xdr, record, body);
}

bool
gb_owner_record_decode(struct gb_owner_record *record, const gb_body *body)
{
	return gb_xdr_decode((xdrproc_t)owner_record_xdr, body, record);
}

void
gb_owner_record_clear(struct gb_owner_record *record)
{
	xdr_free((xdrproc_t)xdr_gb_owner_row, (char *)&record->row);
}
