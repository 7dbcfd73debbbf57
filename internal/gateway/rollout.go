package gateway

import "context"

// rollOut gives orders while this instance holds the lease.
func (g *Gateway) rollOut(ctx context.Context) {}
