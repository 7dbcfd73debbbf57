package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/ledger"
	"github.com/shedhoist/shedhoist/internal/peer"
)

// ledgerClient sends claims to the owner of their ledger partition: the live member
// with the highest rendezvous score. Instances that briefly disagree about the owner
// stay safe, since their writes conflict in the platform.
type ledgerClient struct{ d *Daemon }

// claimTimeout is the deadline for one claim, whether it goes through a peer or not.
const claimTimeout = 5 * time.Second

// peerClaimTimeout is the part of claimTimeout that the call to a peer may use.
const peerClaimTimeout = 2 * time.Second

// ownerAddress returns the address of the partition's owner, or "" if this instance
// owns it.
func (l ledgerClient) ownerAddress(ctx context.Context, partition int) string {
	var best member.Member
	var topScore uint64
	for _, m := range l.d.members(ctx) {
		if m.State != member.Alive {
			continue
		}
		if score := rendezvous.Score(m.Name, strconv.Itoa(partition)); best.Name == "" || score > topScore {
			best, topScore = m, score
		}
	}
	if best.Name == l.d.set.Name {
		return ""
	}
	return best.Address
}

// Claim implements dispatch.Ledger. It calls the owner, and writes to the platform
// directly if the owner does not answer. Both may then write the claim; they carry
// the same nonce, so it counts as one claim.
func (l ledgerClient) Claim(ctx context.Context, e atmostonce.Entry) (atmostonce.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if address := l.ownerAddress(ctx, ledger.PartitionOf(e.ID)); address != "" {
		pctx, pcancel := context.WithTimeout(ctx, peerClaimTimeout)
		defer pcancel()
		var out peer.ClaimReply
		if err := l.d.pool.Call(pctx, address, "Peer.Claim", &peer.ClaimRequest{Entry: e}, &out); err == nil {
			return atmostonce.Result{Verdict: out.Verdict, Outcome: out.Outcome}, nil
		}
	}
	return l.d.ledger.Claim(ctx, e)
}

// Settle implements dispatch.Ledger. It returns at once and settles in the background.
func (l ledgerClient) Settle(id atmostonce.ID, nonce atmostonce.Nonce, o atmostonce.Outcome) {
	go func() {
		ctx, cancel := context.WithTimeout(l.d.ctx, claimTimeout)
		defer cancel()
		if address := l.ownerAddress(ctx, ledger.PartitionOf(id)); address != "" {
			if l.d.pool.Call(ctx, address, "Peer.Settle", &peer.SettleRequest{ID: id, Nonce: nonce, Outcome: o}, &peer.SettleReply{}) == nil {
				return
			}
		}
		l.d.ledger.Settle(id, nonce, o)
	}()
}

// Claim implements peer.Handler for partitions that this instance owns.
func (d *Daemon) Claim(req peer.ClaimRequest) (peer.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, claimTimeout)
	defer cancel()
	result, err := d.ledger.Claim(ctx, req.Entry)
	return peer.ClaimReply{Verdict: result.Verdict, Outcome: result.Outcome}, err
}

// Settle implements peer.Handler for partitions that this instance owns.
func (d *Daemon) Settle(req peer.SettleRequest) { d.ledger.Settle(req.ID, req.Nonce, req.Outcome) }
