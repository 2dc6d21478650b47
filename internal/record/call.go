package record

import (
	"context"
	"time"
)

// call sends one request with a timeout and decodes the reply.
func call(ctx context.Context, t Transport, limit time.Duration, vm, method string, request, reply any) error {
	payload, err := encode(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	encoded, err := t.Call(ctx, vm, method, payload)
	if err != nil {
		return err
	}
	return decode(encoded, reply)
}
